// Refuses a new job at the door, at once, when it has no prospect here, and
// says when to come back, spread at random.
//
//   admission.Check(job with 1 s left, queue of 10 s work, 2 slots)
//   -> kDeadlineUnreachable, retry after 5 to 10 s
#ifndef EGRETSWITCH_SRC_ADMISSION_H_
#define EGRETSWITCH_SRC_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "clock.h"
#include "dispatch_queue.h"
#include "entry_refs.h"
#include "job_store.h"
#include "kernel.h"
#include "outcome.h"
#include "owner_shares.h"

namespace egretswitch::internal {

class Admission {
 public:
  static constexpr uint32_t kMostWaitingTasks = 200'000;
  // The wait for what is ahead now counts this many times: smaller jobs that
  // come later go first too, and a job that starts and then misses its deadline
  // wastes the slots it had.
  static constexpr double kDoubtOfWait = 2;
  static constexpr uint64_t kMostPayloadBytes = 256u << 20;

  explicit Admission(Kernel& kernel);

  // Nothing when the job may enter `row`; then its team's quota is charged.
  // The job must be new here, so that each refusal is "not run".
  std::optional<JobRefusal> Check(const Submission& submission, uint32_t row);

 private:
  struct TeamRow {
    std::string team;
    uint32_t row = 0;
    auto operator<=>(const TeamRow&) const = default;
  };
  struct Bucket {
    double tokens = 0;
    MonoTime refilled_at = absl::ZeroDuration();
  };

  JobRefusal Refuse(RefusalReason reason, double wait_ms, const char* why);
  double SlotsFor(const QueueRow& row) const;
  // Estimated time until the last task of the job could end.
  double EstimateMs(const Submission& submission, uint32_t row) const;
  bool TakeTeamToken(const std::string& team, uint32_t row, double* wait_ms);

  const EntryRefs& m_entry;
  const DispatchQueue& m_queue;
  const AgentPicker& m_picker;
  const JobStore& m_store;
  const OwnerShares& m_shares;
  std::map<TeamRow, Bucket> m_buckets;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ADMISSION_H_
