// Ends jobs: one outcome for the whole job, told at once to everyone who
// waits, and a CancelTasks to each agent that still runs a task of it.
//
//   closer.Fail(job, RefusalReason::kTaskFailed, "task 3: no stock");
//   -> AnswerCaller / ForwardAnswer{refusal, may have run}, CancelTasks
#ifndef EGRETSWITCH_SRC_JOB_CLOSER_H_
#define EGRETSWITCH_SRC_JOB_CLOSER_H_

#include <cstdint>
#include <string>

#include "entry_refs.h"
#include "job_store.h"
#include "kernel.h"
#include "outcome.h"
#include "owned_job.h"

namespace egretswitch::internal {

// Takes the outcomes of jobs that this process's own front waits for.
class OutcomeSink {
 public:
  virtual ~OutcomeSink() = default;
  virtual void OnOwnOutcome(const SubmissionKey& key,
                            uint64_t digest,
                            const JobOutcome& outcome) = 0;
};

class JobCloser {
 public:
  explicit JobCloser(Kernel& kernel);

  // The front, which is built later.
  void SetSink(OutcomeSink* sink) { m_sink = sink; }

  // Every task has finished.
  void Complete(OwnedJob& job);

  // Ends the job without an answer and returns what everyone is told. The
  // verdict follows from what was sent.
  JobRefusal Fail(OwnedJob& job,
                  RefusalReason reason,
                  std::string detail,
                  uint32_t retry_after_ms = 0);

  // This owner has lost the shard: the job goes on under the next one.
  void HandOver(OwnedJob& job);

 private:
  // Whether the job may have run, here or under an owner we don't know of.
  RunVerdict VerdictOf(const OwnedJob& job) const;
  void CancelSent(const OwnedJob& job);
  void Close(OwnedJob& job, const JobOutcome& outcome, bool remember);

  const EntryRefs& m_entry;
  JobStore& m_store;
  AgentPicker& m_picker;
  OutcomeSink* m_sink = nullptr;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_CLOSER_H_
