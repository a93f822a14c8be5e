// The front: holds the callers' open requests, passes each submission to the
// owner of its shard, and answers once.
//
//   Submit(7, a17)             -> Forward{a17} to entry-b
//   entry-b is lost            -> Forward{a17} to its successor
//   OnForwardAnswer({a17, d})  -> AnswerCaller{7, whole answer}
//
// A refusal of its own says "not run" only where no entry can have run any
// sending of the submission.
#ifndef EGRETSWITCH_SRC_JOB_FRONT_H_
#define EGRETSWITCH_SRC_JOB_FRONT_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cancel_calls.h"
#include "entry_refs.h"
#include "job_closer.h"
#include "job_owner.h"
#include "kernel.h"
#include "node_events.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

class JobFront : public OutcomeSink {
 public:
  // Time after the deadline in which an owner's answer is still awaited.
  static constexpr int64_t kDeadlineGraceMs = 50;
  // Pause before an owner that said "moved" without being replaced is asked
  // again: its fold of the log or ours is behind.
  static constexpr absl::Duration kMovedRetryPeriod = absl::Milliseconds(100);

  explicit JobFront(Kernel& kernel);

  void Submit(CallerToken token, Submission submission);
  // Cancels the job; `token` is told what became of it, unless it is that of
  // the job's own open request.
  void Cancel(CallerToken token, const SubmissionKey& key);
  void CallerGone(CallerToken token);

  void OnForwardAnswer(std::string_view entry, const ForwardAnswer& answer);
  void OnForwardMoved(std::string_view entry, const ForwardMoved& moved);
  void OnEntryLinkUp(const Hello& entry);
  void OnEntryLinkDown(std::string_view name, uint64_t incarnation);
  void OnEntryEnded(std::string_view name, uint64_t incarnation);

  // The owner of the shard has changed, or serves now.
  void OnShardChanged(ShardId shard);
  void OnShardLost(ShardId shard);
  void OnTick();

  void BeginDrain() { m_draining = true; }
  bool Idle() const { return m_requests.empty() && m_cancels.Idle(); }
  uint32_t requests_open() const {
    return static_cast<uint32_t>(m_requests.size());
  }

  // OutcomeSink.
  void OnOwnOutcome(const SubmissionKey& key,
                    uint64_t digest,
                    const JobOutcome& outcome) override;

 private:
  struct RequestId {
    SubmissionKey key;
    uint64_t digest = 0;
    auto operator<=>(const RequestId&) const = default;
  };

  enum class Place : uint8_t {
    kUnsent = 0,  // no owner can be reached now
    kHere,        // this entry owns the job
    kForwarded,   // the owner has it
  };

  struct Request {
    uint64_t serial = 0;
    RequestId id;
    Submission submission;
    ShardId shard = 0;
    std::vector<CallerToken> tokens;
    Place place = Place::kUnsent;
    EntryId owner;           // while forwarded
    bool ever_sent = false;  // to any owner, this entry included
    std::optional<MonoTime> unsent_since;
    MonoTime not_before;  // no new try earlier
  };

  struct Due {
    int64_t at_ms;
    uint64_t serial;
    auto operator<=>(const Due&) const = default;
  };

  // Sends the request where it belongs now, or keeps it, or refuses it.
  void Route(Request& request);
  void SendToOwner(Request& request, const EntryId& owner);
  void Keep(Request& request);
  void Requeue(Request& request);
  void RouteUnsent(ShardId shard);
  void RequeueForwarded(std::string_view owner, uint64_t incarnation);
  bool IsLinked(const EntryId& entry) const;
  // The shard's owner has long been silent, and nobody can replace it now.
  bool IsGivenUp(ShardId shard) const;
  void GiveUpForwarded();
  // Whether no owner can have had any sending of the request's submission.
  bool NeverRan(const Request& request) const;
  Request* Find(const RequestId& id);
  Request* FindBySerial(uint64_t serial);
  std::vector<uint64_t> SerialsOf(const SubmissionKey& key) const;
  JobRefusal RefuseDraining(const Submission& submission);
  void CancelUnsent(const SubmissionKey& key);
  JobRefusal OwnRefusal(const Request& request,
                        RefusalReason reason,
                        const char* why);
  void Answer(Request& request, JobOutcome outcome);
  void Drop(const Request& request);

  const EntryRefs& m_entry;
  JobOwner& m_owner;
  CancelCalls& m_cancels;
  bool m_draining = false;
  uint64_t m_next_serial = 1;
  std::map<uint64_t, Request> m_requests;
  std::map<RequestId, uint64_t> m_by_id;
  std::map<CallerToken, uint64_t> m_by_token;
  std::set<uint64_t> m_unsent;
  std::set<Due> m_deadlines;
  std::map<ShardId, int64_t> m_ownerless_since_ms;        // wall time
  std::map<std::string, uint64_t, std::less<>> m_linked;  // name: incarnation
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_FRONT_H_
