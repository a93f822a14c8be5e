#include "admission.h"

#include <algorithm>

#include "retry_after.h"

namespace egretswitch::internal {

Admission::Admission(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_queue(kernel.Find<DispatchQueue>("queue")),
      m_picker(kernel.Find<AgentPicker>("picker")),
      m_store(kernel.Find<JobStore>("store")),
      m_shares(kernel.Find<OwnerShares>("shares")) {
  kernel.Register("admission", this);
}

JobRefusal Admission::Refuse(RefusalReason reason,
                             double wait_ms,
                             const char* why) {
  return JobRefusal{reason, RunVerdict::kNotRun,
                    SpreadRetryAfterMs(wait_ms, m_entry.context.random()), why};
}

double Admission::SlotsFor(const QueueRow& row) const {
  // Other owners use the rest of the slots; what runs for this one now shows
  // what it gets in fact.
  const double by_shards = m_picker.total_slots() * m_shares.owned_part();
  const double slots = std::max<double>(by_shards, m_store.tasks_running());
  const double weight = row.weight;
  const double all = std::max<double>(
      m_queue.BackloggedWeight() + (row.waiting == 0 ? weight : 0), weight);
  return std::max(1.0,
                  std::min<double>(slots * weight / all, row.running_limit));
}

double Admission::EstimateMs(const Submission& submission,
                             uint32_t row_number) const {
  const QueueRow& row = m_queue.row(row_number);
  const double run_ms = row.estimate.TaskMs(0);
  const double own_ms = run_ms * static_cast<double>(submission.tasks.size());
  const double ahead_ms = m_queue.WorkAheadMs(row_number, own_ms);
  const double slots = SlotsFor(row);
  return kDoubtOfWait * ahead_ms / slots + std::max(run_ms, own_ms / slots);
}

bool Admission::TakeTeamToken(const std::string& team,
                              uint32_t row,
                              double* wait_ms) {
  const double rate = m_shares.TeamRate(row);
  if (rate < 0) {
    return true;
  }
  const double most = std::max(1.0, rate);
  const MonoTime now = m_entry.context.now().mono;
  Bucket& bucket =
      m_buckets.try_emplace({team, row}, Bucket{most, now}).first->second;
  const double passed = absl::ToDoubleSeconds(now - bucket.refilled_at);
  bucket.tokens = std::min(most, bucket.tokens + passed * rate);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    *wait_ms = rate > 0 ? (1 - bucket.tokens) / rate * 1000 : 1000;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

std::optional<JobRefusal> Admission::Check(const Submission& submission,
                                           uint32_t row_number) {
  const Now& now = m_entry.context.now();
  if (!m_entry.authority.MayStart(now.mono)) {
    return Refuse(RefusalReason::kOwnerIsolated, 1000,
                  "the owner's authority can't be confirmed now");
  }
  const QueueRow& row = m_queue.row(row_number);
  const double estimate_ms = EstimateMs(submission, row_number);
  const uint64_t tasks = submission.tasks.size();
  if (m_queue.waiting() + tasks > kMostWaitingTasks ||
      m_store.payload_bytes() > kMostPayloadBytes) {
    return Refuse(RefusalReason::kOverloaded, estimate_ms,
                  "too much is waiting at this entry");
  }
  if (row.running_limit == 0) {
    return Refuse(RefusalReason::kQueueFull, 1000,
                  "max_running leaves this owner no slot");
  }
  if (row.waiting + tasks > row.queued_limit) {
    return Refuse(RefusalReason::kQueueFull, estimate_ms,
                  "max_queued of the kind is reached");
  }
  const double left_ms =
      static_cast<double>(submission.deadline_ms - now.wall_ms);
  if (row.estimate.learnt() && m_picker.total_slots() > 0 &&
      estimate_ms > left_ms) {
    return Refuse(RefusalReason::kDeadlineUnreachable, estimate_ms,
                  "the learned wait is longer than the time left");
  }
  double wait_ms = 0;
  if (!TakeTeamToken(submission.key.team, row_number, &wait_ms)) {
    return Refuse(RefusalReason::kTeamQuota, wait_ms,
                  "the team's rate for this kind is used up");
  }
  return std::nullopt;
}

}  // namespace egretswitch::internal
