// One entry's ownership side in virtual time, with a log that is a vector of
// records, and peers and agents that answer as a test tells them to.
//
//   ControlHarness entry("entry-a");
//   entry.RegisterAgents({"agent-1"});
//   entry.LinkAgent("agent-1");
//   entry.Advance(absl::Seconds(1));
//   entry.authority().Serves(0);
#ifndef EGRETSWITCH_TEST_CONTROL_HARNESS_H_
#define EGRETSWITCH_TEST_CONTROL_HARNESS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry_control.h"

namespace egretswitch::internal {

// How the log treats a call.
enum class TestLogMode : uint8_t {
  kUp = 0,
  kDown,        // every call fails at once, without effect
  kLoseReply,   // appends take effect, and fail as unknown
  kLoseAppend,  // appends have no effect, and fail as unknown
  kSilent       // no effect, and no reply at all
};

// How a linked entry answers pings. Without a fold_offset it says ours.
struct TestPeer {
  uint64_t incarnation = 1;
  bool answers = true;
  bool lacks_log = false;
  bool draining = false;
  std::optional<uint64_t> fold_offset = std::nullopt;
};

// How a linked agent answers fences.
struct TestAgent {
  uint64_t incarnation = 1;
  bool answers = true;
  int64_t memory_since_ms = 0;
  std::vector<Holding> holdings;
};

class ControlHarness : public ControlObserver {
 public:
  static constexpr uint32_t kShards = 4;
  static constexpr uint64_t kIncarnation = 100;
  static constexpr int64_t kWallAtStart = 1'700'000'000'000;

  explicit ControlHarness(std::string name);

  // The log, written to from outside.
  uint64_t Put(RecordBody body, std::string append_id = "outside");
  void PutEntry(const std::string& name, uint64_t incarnation = 1);
  void RegisterAgents(const std::vector<std::string>& names);
  // Gives every shard to `owner`, or only `shard`.
  void PutClaim(const EntryId& owner);
  void PutClaim(const EntryId& owner, ShardId shard);

  // Links, and what comes over them.
  void LinkEntry(const std::string& name, const TestPeer& peer = {});
  void LinkAgent(const std::string& name, const TestAgent& agent = {});
  void Unlink(const std::string& name);
  void Refuse(const std::string& name,
              MonoTime dialled_at = absl::InfiniteDuration());
  void Arrive(const std::string& peer, uint64_t incarnation, Message message);

  // Runs one event, and one after the other the events that answer it.
  template <typename Act>
  void Do(Act act) {
    context.Begin(now);
    act();
    control.Update();
    Carry(context.TakeActions());
  }

  // Lets time pass in ticks of 10 ms.
  void Advance(absl::Duration by);

  // What was sent to `peer` as this type since the last Clear().
  template <typename T>
  std::vector<T> SentTo(std::string_view peer) const {
    std::vector<T> found;
    for (const Send& send : sent) {
      if (const auto* typed = std::get_if<T>(&send.message);
          typed != nullptr && send.peer == peer) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  // The bodies of this type among the log's records.
  template <typename T>
  std::vector<T> Logged() const {
    std::vector<T> found;
    for (const LogEntry& entry : log) {
      if (const auto* typed = std::get_if<T>(&entry.record.body)) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  // The names of the changes of state noted since the last call.
  std::vector<std::string> TakeNoted() {
    std::vector<std::string> events;
    for (NoteStateChange& note : std::exchange(notes, {})) {
      events.push_back(std::move(note.what));
    }
    return events;
  }

  const ShardAuthority& authority() const { return control.authority(); }
  uint32_t serving() const { return control.Status(now).shards_serving; }
  bool MayStartNow() const { return authority().MayStart(now.mono); }
  EntryId self() const { return {name, kIncarnation}; }

  // ControlObserver.
  void OnShardServing(ShardId shard) override { served.push_back(shard); }
  std::vector<ReleasedJob> StartedJobs(ShardId shard) const override;
  void OnShardLost(ShardId shard) override;
  void OnOwnerChanged(ShardId shard) override { changed.push_back(shard); }
  void OnTableChanged() override { ++table_changes; }
  void OnEntryEnded(const EntryId& id) override { ended.push_back(id); }

  const std::string name;
  Now now{absl::Seconds(1000), kWallAtStart};
  TestLogMode log_mode = TestLogMode::kUp;
  std::vector<LogEntry> log;  // kept records, the first at first_kept
  uint64_t first_kept = 0;
  std::map<std::string, TestPeer> peers;
  std::map<std::string, TestAgent> agents;
  std::vector<Send> sent;
  std::vector<ReadLog> reads;
  std::vector<AnswerOperator> answers;
  std::vector<SetDialTargets> targets;
  std::vector<NoteStateChange> notes;
  std::map<ShardId, std::vector<ReleasedJob>> started;  // by the jobs' side
  std::vector<ShardId> served;
  std::vector<ShardId> lost;
  std::vector<ShardId> changed;
  std::vector<EntryId> ended;
  bool released_before_lost = false;
  bool idle = true;
  bool stopped = false;
  int table_changes = 0;

  NodeContext context{1};
  AgentDirectory directory;
  Kernel kernel;
  EntryControl control;

 private:
  void Carry(const Actions& actions);
  void CarryOne(const Send& send);
  void CarryOne(const SetDialTargets& set) { targets.push_back(set); }
  void CarryOne(const ReadLog& read);
  void CarryOne(const AppendLog& append);
  void CarryOne(const AnswerOperator& answer) { answers.push_back(answer); }
  void CarryOne(const NoteStateChange& note) { notes.push_back(note); }
  void CarryOne(const Stop&) { stopped = true; }
  template <typename Other>
  void CarryOne(const Other&) {}
  void AnswerRead();

  std::optional<ReadLog> m_read;
  uint64_t head() const { return first_kept + log.size(); }
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_CONTROL_HARNESS_H_
