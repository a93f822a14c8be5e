// Follows the control stream: reads it, folds it, appends to it and finds out
// what became of an append whose reply was lost.
//
//   id = log.Append(ShardsClaimed{...});     // -> AppendLog
//   LogAppendFailed{id, may_have_taken_effect}
//   a later read shows a record with `id`    // -> OnAppendSettled(id, verdict)
//
// Exactly one read is outstanding at any time. A read that reached the head of
// the stream is the evidence on which owner_lease.h rests.
#ifndef EGRETSWITCH_SRC_LOG_FOLLOWER_H_
#define EGRETSWITCH_SRC_LOG_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "control_state.h"
#include "log_records.h"
#include "node_context.h"
#include "node_events.h"

namespace egretswitch::internal {

// What became of a wish to append.
enum class AppendResult : uint8_t {
  kAccepted = 0,
  kSuperseded,   // folded, but it lost its race
  kInvalid,      // folded, and ignored by every process
  kNotAppended,  // the log refused it: it never takes effect
  kUnknown,      // in the stream, but a snapshot hid what became of it
};

// Told by the follower while it handles an event.
class LogObserver {
 public:
  virtual ~LogObserver() = default;

  // One record was folded. A snapshot across a gap also comes here.
  virtual void OnFolded(const LogEntry&, FoldVerdict) {}

  // A read asked for at `asked_at` has reached the head of the stream.
  virtual void OnHeadReached(MonoTime /*asked_at*/) {}

  virtual void OnAppendSettled(std::string_view /*append_id*/, AppendResult) {}
};

class LogFollower {
 public:
  LogFollower(const EntryId& self, uint32_t shard_count, NodeContext* context);
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void AddObserver(LogObserver* observer);

  void OnTick();
  void OnReadDone(const LogReadDone& done);
  void OnReadFailed(const LogReadFailed& failed);
  void OnAppendDone(const LogAppendDone& done);
  void OnAppendFailed(const LogAppendFailed& failed);

  // Folds records that a peer passed on. They are no evidence about the log.
  void OnRelay(const LogRelay& relay);

  // Appends `body` and returns the append_id under which it is settled.
  std::string Append(RecordBody body);

  // The records from `offset` on that are still kept for peers, oldest first;
  // empty when they aren't all there.
  std::vector<LogEntry> RecordsFrom(uint64_t offset) const;

  ControlState& control() { return m_control; }
  const ControlState& control() const { return m_control; }

  // The head was reached at least once.
  bool complete() const { return m_complete; }

  // The log answers reads: none failed or is late since the last success.
  bool Answers() const;

  // Worth trying to append now: the log answers, and no append failed lately.
  bool CanAppend() const;

  // An append that can change who may start tasks (a claim, a join or a leave)
  // is outstanding or of unknown outcome.
  bool HasOpenOwnershipAppend() const;

  // What rule 5 calls lacking the log: it doesn't answer, and no such append is
  // open. An edit that was lost with the log must not stop the other entries.
  bool SaysLacking() const;

  // When the read of the last success was asked for (none: minus infinity).
  MonoTime last_success_asked() const { return m_last_success_asked; }

  // Since when Answers() has been true without a break.
  MonoTime answering_since() const { return m_answering_since; }

 private:
  enum class AppendStage : uint8_t {
    kSent,     // waiting for the reply
    kWritten,  // in the stream, waiting to be folded
    kUnknown,  // the reply was lost
  };
  struct Wish {
    LogRecord record;
    AppendStage stage = AppendStage::kSent;
    MonoTime since = absl::ZeroDuration();  // when the stage was entered
    uint64_t offset = 0;                    // kWritten only
    bool maybe_written = false;             // an earlier reply was lost
  };

  void StartRead();
  void EndRead(MonoTime retry_at);
  void Fail();
  void Fold(const LogEntry& entry);
  void Keep(const LogEntry& entry);
  void Settle(const std::string& append_id, AppendResult result);
  void SettleHidden();
  void ResendLost(MonoTime asked_at);
  void SendAppend(Wish& wish);
  void ExpireLostReplies();
  void PlanScan(const LogReadDone& done);

  const EntryId m_self;
  NodeContext& m_context;
  ControlState m_control;
  std::vector<LogObserver*> m_observers;

  bool m_complete = false;
  bool m_reading = false;
  bool m_last_read_failed = false;
  MonoTime m_read_asked = absl::ZeroDuration();
  MonoTime m_next_read = -absl::InfiniteDuration();
  MonoTime m_last_success_asked = -absl::InfiniteDuration();
  MonoTime m_answering_since = absl::ZeroDuration();
  std::optional<uint64_t> m_scan_from;

  uint64_t m_next_append = 1;
  MonoTime m_append_failed = -absl::InfiniteDuration();
  std::map<std::string, Wish> m_wishes;
  std::deque<LogEntry> m_recent;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOG_FOLLOWER_H_
