// Takes a submission in at its owner: joined to the job it repeats, refused,
// attached to what a takeover found, or queued as a new job.
//
//   intake.Submit("entry-b", a17, digest)  -> nothing: answered later
//   intake.Submit("entry-b", a17, digest)  -> nothing: joined
//   intake.Submit("", a17 with other content, other digest) -> kIdConflict
#ifndef EGRETSWITCH_SRC_JOB_INTAKE_H_
#define EGRETSWITCH_SRC_JOB_INTAKE_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "admission.h"
#include "entry_refs.h"
#include "job_closer.h"
#include "job_store.h"
#include "kernel.h"
#include "outcome.h"
#include "owner_shares.h"
#include "task_dispatcher.h"

namespace egretswitch::internal {

class JobIntake {
 public:
  // How long after the start workers may still be unknown.
  static constexpr absl::Duration kMembershipLearning = absl::Seconds(5);

  explicit JobIntake(Kernel& kernel);

  // Takes the submission for `front`, another entry or "" for our own. Returns
  // the outcome if there is one already; else the closer will tell it. This
  // entry must serve the shard.
  std::optional<JobOutcome> Submit(std::string_view front,
                                   Submission submission,
                                   uint64_t digest);

  // Whether this entry can vouch that no owner started any of the submission.
  // It must serve the shard.
  bool NeverRan(const Submission& submission, ShardId shard);

  // Queues the jobs that fit a worker now, and refuses those that turn out to
  // fit none, once the workers are known.
  void RecheckUnplaceable();

 private:
  // What is known of a new job's past under former owners.
  struct Past {
    const RecoveredJob* recovered = nullptr;
    bool in_doubt = false;
    bool known = true;  // no owner that we don't know of can have run it
    RunVerdict Verdict() const;
  };

  Past PastOf(const Submission& submission, ShardId shard) const;
  std::optional<JobOutcome> RefuseNew(const Submission& submission,
                                      uint64_t digest,
                                      const Past& past,
                                      uint32_t row);
  std::optional<JobOutcome> Attach(OwnedJob& job, const Past& past);
  bool MembershipLearnt();
  bool FitsSomeWorker(const Submission& submission) const;
  static void AddWaiter(OwnedJob& job, std::string_view front);

  const EntryRefs& m_entry;
  DispatchQueue& m_queue;
  AgentPicker& m_picker;
  JobStore& m_store;
  OwnerShares& m_shares;
  Admission& m_admission;
  JobCloser& m_closer;
  TaskDispatcher& m_dispatcher;
  std::optional<MonoTime> m_started_at;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_INTAKE_H_
