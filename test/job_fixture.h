// The jobs' side of one entry, "entry-a", in virtual time: agents and other
// entries are played by the test, the authority is a fake.
//
//   AddAgent("agent-1", 2);
//   Submit(7, MakeJob("a17", 2));     // Sent<StartTasks>() holds one message
//   Finish("agent-1", "a17", {0, 1}); // Answers() holds {7, whole answer}
#ifndef EGRETSWITCH_TEST_JOB_FIXTURE_H_
#define EGRETSWITCH_TEST_JOB_FIXTURE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent_directory.h"
#include "control_state.h"
#include "job_service.h"
#include "node_context.h"
#include "node_limits.h"
#include "shard_authority.h"

namespace egretswitch::internal {

class FakeAuthority : public ShardAuthority {
 public:
  bool Serves(ShardId) const override { return serves; }
  Epoch EpochOf(ShardId) const override { return epoch; }
  std::optional<EntryId> OwnerOf(ShardId) const override { return owner; }
  absl::Duration OwnerSilentFor(ShardId) const override {
    return owner_silent_for;
  }
  bool MayStart(MonoTime received) const override {
    return received + kPermissionLife <= lease_until;
  }
  int64_t DoubtMs(ShardId) const override { return doubt_ms; }
  const RecoveredJob* FindRecovered(const SubmissionKey& key) const override {
    const auto it = recovered.find(key);
    return it == recovered.end() ? nullptr : &it->second;
  }
  bool TakeoversPossible() const override { return takeovers_possible; }

  bool serves = true;
  Epoch epoch = 5;
  std::optional<EntryId> owner = EntryId{"entry-a", 1};
  absl::Duration owner_silent_for = absl::ZeroDuration();
  MonoTime lease_until = absl::InfiniteDuration();
  int64_t doubt_ms = 0;
  std::map<SubmissionKey, RecoveredJob> recovered;
  bool takeovers_possible = true;
};

template <typename T>
struct SentTo {
  std::string peer;
  T message;
};

class JobFixture {
 public:
  JobFixture();

  // Carries out `step` as one event and keeps its actions.
  template <typename Step>
  void Event(Step step) {
    context.Begin(now);
    step();
    actions = context.TakeActions();
  }

  void AddRow(TableRow row);

  // Links an agent that says all its slots are free.
  void AddAgent(const std::string& name,
                uint32_t slots,
                const std::string& data_centre = "dc-1",
                TaskNeeds capacity = {});
  // Only the link; the incarnation may be another one.
  void LinkAgent(const std::string& name, uint32_t slots, uint64_t incarnation);
  void CutAgent(const std::string& name, uint64_t incarnation);
  void TellStatus(const std::string& agent,
                  uint32_t free,
                  uint32_t offered = 0);
  void LinkEntry(const std::string& name, uint64_t incarnation = 1);
  void CutEntry(const std::string& name, uint64_t incarnation = 1);

  Submission MakeJob(const std::string& id, uint32_t tasks = 1) const;
  void Submit(CallerToken token, Submission submission);
  // Under token 99, a call of its own.
  void Cancel(const std::string& id);

  // Reports of tasks 0.. of the job; the agent then has `free` free slots.
  void Report(const std::string& agent,
              const std::string& id,
              std::vector<uint32_t> indexes,
              TaskStatus status,
              uint32_t free = 0,
              uint32_t run_ms = 100);
  // Reports results "ID/INDEX".
  void Finish(const std::string& agent,
              const std::string& id,
              std::vector<uint32_t> indexes,
              uint32_t free = 0,
              uint32_t run_ms = 100);

  // Lets the time pass and one tick come.
  void Pass(absl::Duration time);

  // Of the last event.
  template <typename T>
  std::vector<SentTo<T>> Sent() const {
    std::vector<SentTo<T>> sent;
    for (const Action& action : actions) {
      const auto* send = std::get_if<Send>(&action);
      if (send && std::holds_alternative<T>(send->message)) {
        sent.push_back({send->peer, std::get<T>(send->message)});
      }
    }
    return sent;
  }
  std::vector<AnswerCaller> Answers() const;
  // The refusal in the only answer of the last event, or in that for `token`.
  JobRefusal OnlyRefusal() const;
  JobRefusal RefusalFor(CallerToken token) const;
  // The whole answer in the only answer of the last event.
  JobAnswer OnlyAnswer() const;
  uint32_t StartsSent() const;  // tasks in StartTasks of the last event

  NodeContext context{1};
  ControlState control{kDefaultShardCount};
  FakeAuthority authority;
  AgentDirectory agents;
  Hello self;
  JobService jobs;
  Now now{absl::Seconds(100), 1'700'000'000'000};
  Actions actions;

 private:
  uint64_t m_permission = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_JOB_FIXTURE_H_
