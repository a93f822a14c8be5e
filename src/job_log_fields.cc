#include "job_log_fields.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "duration_text.h"

namespace egretswitch::internal {
namespace {

// What delayed or ended the tasks of a job, for the line on its end.
struct TaskHistory {
  uint32_t failures = 0;
  size_t losses = 0;
  MonoTime last_sent_at = absl::ZeroDuration();
  const OpenTask* slowest = nullptr;  // of the completed ones
};

TaskHistory HistoryOf(const OpenJob& job) {
  TaskHistory history;
  for (const OpenTask& task : job.tasks) {
    history.failures += task.failures;
    history.losses += task.lost_runs.size();
    history.last_sent_at = std::max(history.last_sent_at, task.sent_at);
    if (task.state == OpenTask::State::kDone &&
        (history.slowest == nullptr || task.run_ms > history.slowest->run_ms)) {
      history.slowest = &task;
    }
  }
  return history;
}

void AppendHistory(const OpenJob& job, std::vector<NoteField>& fields) {
  const TaskHistory history = HistoryOf(job);
  fields.push_back({"moves", absl::StrCat(job.Moves())});
  fields.push_back({"failed_runs", absl::StrCat(history.failures)});
  fields.push_back({"lost_runs", absl::StrCat(history.losses)});
  if (history.last_sent_at > absl::ZeroDuration()) {
    fields.push_back({"last_sent_after_ms",
                      MillisecondsText(history.last_sent_at - job.arrived_at)});
  }
  if (history.slowest != nullptr) {
    fields.push_back({"slowest_ms", absl::StrCat(history.slowest->run_ms)});
    fields.push_back({"slowest_agent", history.slowest->agent});
  }
}

}  // namespace

std::vector<NoteField> JobEndLogFields(const OpenJob& job,
                                       const JobAnswer& answer,
                                       MonoTime now) {
  const bool sent = job.first_sent_at < absl::InfiniteDuration();
  std::vector<NoteField> fields = {
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
      {"retries", absl::StrCat(job.retries)}};
  AppendHistory(job, fields);
  return fields;
}

bool IsRoutineEnd(const OpenJob& job, const JobAnswer& answer, MonoTime now) {
  if (answer.verdict == JobVerdict::kCancelled) {
    return true;
  }
  const bool in_time = now - job.arrived_at <= job.Objective();
  return answer.verdict == JobVerdict::kCompleted && in_time &&
         job.Moves() == 0;
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
