#include "job_log_fields.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "duration_text.h"

namespace egretswitch::internal {

std::vector<NoteField> JobEndLogFields(const OpenJob& job,
                                       const JobAnswer& answer,
                                       MonoTime now) {
  const bool sent = job.first_sent_at < absl::InfiniteDuration();
  return {
      {"job", job.job.id},
      {"queue", job.queue.name},
      {"verdict", std::string(JobVerdictName(answer.verdict))},
      {"reason", answer.reason},
      {"took_ms", MillisecondsText(now - job.arrived_at)},
      {"patience_ms", MillisecondsText(job.caller_timeout)},
      {"timeout_ms", absl::StrCat(job.queue.timeout_ms)},
      {"objective_ms", MillisecondsText(job.Objective())},
      {"sent_after_ms",
       sent ? MillisecondsText(job.first_sent_at - job.arrived_at) : "never"},
      {"tasks", absl::StrCat(job.tasks.size())},
      {"done", absl::StrCat(job.done)},
      {"waiting", absl::StrCat(job.waiting)},
      {"retries", absl::StrCat(job.retries)},
      {"moved", absl::StrCat(job.Moves())}};
}

void AppendCapacityLogFields(const WorkerPool::View& view,
                             std::vector<NoteField>& fields) {
  fields.push_back({"workers", absl::StrCat(view.workers)});
  fields.push_back({"accepting", absl::StrCat(view.accepting)});
  fields.push_back({"evacuated", absl::StrCat(view.evacuated)});
  fields.push_back({"usable", absl::StrCat(view.usable)});
  fields.push_back({"in_reach", absl::StrCat(view.in_subset)});
  fields.push_back({"free_millicores", absl::StrCat(view.free_millicores)});
  fields.push_back(
      {"unheard_millicores", absl::StrCat(view.unreported_millicores)});
}

}  // namespace egretswitch::internal
