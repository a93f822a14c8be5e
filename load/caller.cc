#include "caller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "job_json.h"

namespace egretswitch::load {
namespace {

using internal::EventLoop;
using internal::HttpCallResult;
using internal::HttpFailure;

// Answers are due by the deadline; beyond this they count as lost.
constexpr double kLostAfterDeadlineMs = 2000;
constexpr double kBrokenTryPauseMs = 50;

double IdealMs(const PlannedJob& job, const CallerOptions& options) {
  const double longest =
      *std::max_element(job.run_ms.begin(), job.run_ms.end());
  const double total =
      std::accumulate(job.run_ms.begin(), job.run_ms.end(), 0.0);
  return std::max(longest, total / options.slots) + options.network_ms;
}

std::string EchoOf(const SubmissionKey& key, size_t index) {
  return absl::StrCat(key.team, "/", key.id, "/", index);
}

std::vector<TaskSpec> MakeTasks(const SubmissionKey& key,
                                const PlannedJob& job) {
  std::vector<TaskSpec> tasks(job.run_ms.size());
  for (size_t i = 0; i < tasks.size(); ++i) {
    const nlohmann::json payload = {{"run_ms", job.run_ms[i]},
                                    {"echo", EchoOf(key, i)}};
    tasks[i].payload = payload.dump();
    tasks[i].declared_ms = job.run_ms[i];
  }
  return tasks;
}

}  // namespace

struct Caller::Job {
  SubmissionKey key;
  std::string body;
  CallerRecord record;
  absl::Duration sent_at;
  int64_t deadline_ms = 0;
  bool finished = false;
  bool maybe_run = false;  // some try ended without a verdict
};

Caller::Caller(EventLoop& loop,
               CallerOptions options,
               uint64_t seed,
               std::function<void(const CallerRecord&)> done)
    : m_loop(loop),
      m_options(std::move(options)),
      m_random(seed),
      m_done(std::move(done)),
      m_http(loop) {}

Caller::~Caller() = default;

const std::string& Caller::NextEntry() {
  return m_options.entries[m_next_entry++ % m_options.entries.size()];
}

void Caller::Submit(const PlannedJob& planned) {
  const double ideal_ms = IdealMs(planned, m_options);
  Submission submission;
  submission.key = {m_options.team,
                    absl::StrCat(m_options.id_prefix, "-", m_next_id++)};
  submission.kind = planned.kind;
  submission.repeatable = planned.repeatable;
  submission.submitted_ms = EventLoop::WallNowMs();
  submission.deadline_ms =
      submission.submitted_ms +
      std::max<int64_t>(
          m_options.min_deadline_ms,
          static_cast<int64_t>(ideal_ms * m_options.deadline_factor));
  submission.tasks = MakeTasks(submission.key, planned);

  auto job = std::make_shared<Job>();
  job->key = submission.key;
  job->body = internal::SubmissionToJson(submission);
  job->record.team = submission.key.team;
  job->record.id = submission.key.id;
  job->record.kind = submission.kind;
  job->record.tasks = static_cast<uint32_t>(submission.tasks.size());
  job->record.ideal_ms = ideal_ms;
  job->sent_at = EventLoop::MonoNow();
  job->deadline_ms = submission.deadline_ms;
  ++m_open;
  Send(job);
  std::uniform_real_distribution<double> share(0, 1);
  if (share(m_random) < m_options.duplicate_share) {
    SendDuplicate(job);
  }
  const double lost_after_ms =
      static_cast<double>(job->deadline_ms - submission.submitted_ms) +
      kLostAfterDeadlineMs;
  m_loop.RunAfter(absl::Milliseconds(lost_after_ms),
                  [this, job] { Finish(job, kLost); });
}

void Caller::Send(const std::shared_ptr<Job>& job) {
  ++job->record.tries;
  internal::HttpCall call;
  call.method = internal::HttpMethod::kPost;
  call.url = absl::StrCat("http://", NextEntry(), "/v1/jobs");
  call.body = job->body;
  call.timeout = absl::Seconds(150);
  m_http.Send(std::move(call), [this, job](HttpCallResult result) {
    if (!job->finished) {
      OnResult(job, result);
    }
  });
}

// The same submission once more while the first is open: its answer must be
// the same, and no task may start for it.
void Caller::SendDuplicate(const std::shared_ptr<Job>& job) {
  internal::HttpCall call;
  call.method = internal::HttpMethod::kPost;
  call.url = absl::StrCat("http://", NextEntry(), "/v1/jobs");
  call.body = job->body;
  call.timeout = absl::Seconds(150);
  m_http.Send(std::move(call), [this, job](HttpCallResult result) {
    const auto outcome = internal::ParseOutcome(result.body);
    if (!outcome.ok()) {
      return;
    }
    if (const auto* answer = std::get_if<JobAnswer>(&*outcome)) {
      CheckAnswer(*job, *answer);
    }
  });
}

void Caller::OnResult(const std::shared_ptr<Job>& job,
                      const HttpCallResult& result) {
  if (result.failure != HttpFailure::kNone) {
    const bool certainly_not_done = result.failure == HttpFailure::kRefused ||
                                    result.failure == HttpFailure::kNotSent;
    job->maybe_run = job->maybe_run || !certainly_not_done;
    ++job->record.broken_tries;
    job->record.reason = internal::HttpFailureName(result.failure);
    TryAgain(job, kBrokenTryPauseMs);
    return;
  }
  const auto outcome = internal::ParseOutcome(result.body);
  if (!outcome.ok()) {
    job->record.reason = absl::StrCat("unreadable status ", result.status);
    Finish(job, kLost);
    return;
  }
  if (const auto* answer = std::get_if<JobAnswer>(&*outcome)) {
    CheckAnswer(*job, *answer);
    Finish(job, kComplete);
    return;
  }
  OnRefusal(job, std::get<JobRefusal>(*outcome));
}

void Caller::OnRefusal(const std::shared_ptr<Job>& job,
                       const JobRefusal& refusal) {
  job->record.reason = RefusalReasonName(refusal.reason);
  if (refusal.verdict == RunVerdict::kMayHaveRun) {
    job->maybe_run = true;
  }
  const bool again = refusal.retry_after_ms > 0;
  if (again) {
    TryAgain(job, refusal.retry_after_ms);
    return;
  }
  Finish(job, job->maybe_run ? kFailed : kRefused);
}

void Caller::TryAgain(const std::shared_ptr<Job>& job, double after_ms) {
  if (EventLoop::WallNowMs() + after_ms >= job->deadline_ms) {
    Finish(job, job->maybe_run ? kFailed : kRefused);
    return;
  }
  m_loop.RunAfter(absl::Milliseconds(after_ms), [this, job] {
    if (!job->finished) {
      Send(job);
    }
  });
}

void Caller::CheckAnswer(Job& job, const JobAnswer& answer) const {
  if (answer.outputs.size() != job.record.tasks) {
    job.record.partial = true;
    return;
  }
  for (size_t i = 0; i < answer.outputs.size(); ++i) {
    const auto output =
        nlohmann::json::parse(answer.outputs[i].payload, nullptr, false);
    if (output.is_discarded() || !output.is_object() ||
        output.value("echo", "") != EchoOf(job.key, i)) {
      job.record.crossed = true;
    }
  }
}

void Caller::Finish(const std::shared_ptr<Job>& job, const char* outcome) {
  if (job->finished) {
    return;
  }
  job->finished = true;
  job->record.outcome = outcome;
  job->record.response_ms =
      absl::ToDoubleMilliseconds(EventLoop::MonoNow() - job->sent_at);
  job->record.late = EventLoop::WallNowMs() > job->deadline_ms;
  job->body.clear();
  --m_open;
  m_done(job->record);
}

}  // namespace egretswitch::load
