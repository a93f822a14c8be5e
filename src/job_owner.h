// The owner of the jobs of this entry's shards: what reaches them from fronts,
// from agents and from time, over the services that do the work.
//
//   owner.Submit("", a17, digest);          // queued, or an outcome at once
//   owner.OnForward("entry-b", {a18});      // ForwardAnswer when it ends
#ifndef EGRETSWITCH_SRC_JOB_OWNER_H_
#define EGRETSWITCH_SRC_JOB_OWNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry_refs.h"
#include "job_closer.h"
#include "job_intake.h"
#include "job_store.h"
#include "kernel.h"
#include "owner_shares.h"
#include "slot_wants.h"
#include "task_dispatcher.h"
#include "task_progress.h"

namespace egretswitch::internal {

class JobOwner {
 public:
  explicit JobOwner(Kernel& kernel);

  // A submission of our own front; this entry serves the shard.
  std::optional<JobOutcome> Submit(Submission submission, uint64_t digest);

  // Whether this entry owns the submission's shard and can vouch that none of
  // it was started.
  bool NeverRan(const Submission& submission);

  // Cancels the job if it is open here, and tells what became of it. This
  // entry serves the shard.
  JobOutcome Cancel(const SubmissionKey& key);
  void OnCancelJob(std::string_view entry, const SubmissionKey& key);

  void OnForward(std::string_view entry, Forward forward);
  void OnShardServing(ShardId shard);
  void OnShardLost(ShardId shard);
  void OnTick();

  // Starts what can be started; to be called at the end of every event.
  void Dispatch();

  bool Idle() const { return m_store.open().empty() && m_parked.empty(); }

 private:
  // A forwarded submission whose shard this entry owns but can't serve yet.
  struct ParkedForward {
    std::string entry;
    Submission submission;
    uint64_t digest = 0;
    MonoTime since;
  };

  void Take(std::string_view entry, Submission submission, uint64_t digest);
  std::vector<ParkedForward> TakeParked(ShardId shard);
  void SendMoved(const ParkedForward& parked);
  void CancelParked(const SubmissionKey& key);
  void GiveUpParked();
  void FailDueJobs();
  void RefuseWhileIsolated();

  const EntryRefs& m_entry;
  DispatchQueue& m_queue;
  JobStore& m_store;
  OwnerShares& m_shares;
  SlotWants& m_wants;
  JobCloser& m_closer;
  TaskDispatcher& m_dispatcher;
  JobIntake& m_intake;
  TaskProgress& m_progress;
  std::map<ShardId, std::vector<ParkedForward>> m_parked;
  std::optional<MonoTime> m_isolated_since;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_OWNER_H_
