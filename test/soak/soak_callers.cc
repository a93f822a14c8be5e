#include "soak_callers.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "fake_run_worker.h"
#include "platform/wire_names.h"
#include "run_limits.h"

namespace egretswitch::soak {
namespace {

using internal::EventLoop;
using internal::HttpCall;
using internal::HttpCallResult;
using internal::HttpFailure;

constexpr absl::Duration kPatience = absl::Milliseconds(2500);
// With tasks of 1.5 to 3.6 s.
constexpr absl::Duration kPatienceWithLongTasks = absl::Seconds(6);
constexpr int kShortWorkMs = 151;
constexpr int kMaxAttempts = 4;
// With long tasks, no job is handed in for the last part of each period, so
// that runs go on without any other traffic at their workers.
constexpr absl::Duration kTrafficPeriod = absl::Seconds(4);
constexpr absl::Duration kQuietPeriod = absl::Milliseconds(1900);
// Of the short jobs beside long tasks.
constexpr int kFailingOneIn = 10;
// What the answer to a refused job tells its caller to wait at least.
constexpr absl::Duration kAfterRefusal = absl::Seconds(1);
// A request that was sent so shortly before its connection ended may not have
// been read by the process that ended.
constexpr absl::Duration kUnread = absl::Milliseconds(200);

AttemptEnd EndOf(const HttpCallResult& result) {
  if (result.failure == HttpFailure::kTimeout) {
    return AttemptEnd::kTimeout;
  }
  if (result.failure != HttpFailure::kNone) {
    return AttemptEnd::kBroken;
  }
  if (result.status == 200) {
    return result.body.find("completed") != std::string::npos
               ? AttemptEnd::kCompleted
               : AttemptEnd::kFailed;
  }
  return result.status == 503 || result.status == 429 ? AttemptEnd::kNotRun
                                                      : AttemptEnd::kMayHaveRun;
}

}  // namespace

SoakCallers::SoakCallers(EventLoop& loop,
                         RunLedger& ledger,
                         std::vector<std::string> entries,
                         const SoakCallersOptions& options)
    : m_loop(loop),
      m_ledger(ledger),
      m_entries(std::move(entries)),
      m_options(options),
      m_random(options.seed),
      m_http(loop) {}

int SoakCallers::Draw(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(m_random);
}

void SoakCallers::Begin() {
  m_began_at = EventLoop::MonoNow();
  for (int i = 0; i < m_options.count; ++i) {
    ++m_busy;
    Pause(absl::Milliseconds(Draw(0, 300)), [this] { HandInNext(); });
  }
}

void SoakCallers::Pause(absl::Duration pause, std::function<void()> then) {
  m_loop.RunAfter(pause, std::move(then));
}

int SoakCallers::DrawWorkMs() {
  if (m_options.long_tasks) {
    return Draw(0, 9) == 0 ? Draw(1500, 3600) : Draw(20, kShortWorkMs - 1);
  }
  return Draw(0, 3) == 0 ? Draw(300, 900) : Draw(20, 150);
}

// How long the present quiet period lasts; zero outside of one.
absl::Duration SoakCallers::QuietFor() const {
  if (!m_options.long_tasks) {
    return absl::ZeroDuration();
  }
  const absl::Duration elapsed =
      (EventLoop::MonoNow() - m_began_at) % kTrafficPeriod;
  return elapsed < kTrafficPeriod - kQuietPeriod ? absl::ZeroDuration()
                                                 : kTrafficPeriod - elapsed;
}

void SoakCallers::HandInNext() {
  if (m_ended) {
    --m_busy;
    return;
  }
  if (const absl::Duration quiet = QuietFor(); quiet > absl::ZeroDuration()) {
    Pause(quiet, [this] { HandInNext(); });
    return;
  }
  const int work_ms = DrawWorkMs();
  Job job;
  job.fails = m_options.long_tasks && work_ms < kShortWorkMs &&
              Draw(1, kFailingOneIn) == 1;
  job.id = absl::StrFormat("%08x%08x", static_cast<uint32_t>(m_options.seed),
                           static_cast<uint32_t>(++m_jobs));
  job.body =
      nlohmann::json{{"spec", absl::StrCat(work_ms, job.fails ? " fails" : "")},
                     {"best_effort", true},
                     {"steps",
                      {{{"count", Draw(1, m_options.long_tasks ? 2 : 4)},
                        {"cpu", internal::kFakeTaskNeeds.millicores},
                        {"mem_mb", internal::kFakeTaskNeeds.memory_mb},
                        {"estimate_ms", work_ms}}}}}
          .dump();
  m_ledger.JobHandedIn(job.id);
  if (job.fails) {
    m_ledger.ExpectFailure(job.id);
  }
  Send(std::move(job));
}

absl::Duration SoakCallers::Patience() const {
  return m_options.long_tasks ? kPatienceWithLongTasks : kPatience;
}

void SoakCallers::Send(Job job) {
  ++job.attempts;
  const int entry = Draw(0, static_cast<int>(m_entries.size()) - 1);
  HttpCall call;
  call.method = internal::HttpMethod::kPost;
  call.url = absl::StrCat("http://", m_entries[entry], "/checks/", job.id);
  call.body = job.body;
  call.headers = {{platform::kDeadlineHeader,
                   absl::StrCat(absl::ToInt64Milliseconds(Patience()))}};
  call.timeout = Patience();
  m_ledger.Trace(
      job.id, absl::StrCat("attempt ", job.attempts, " sent to entry-", entry));
  m_http.Send(
      std::move(call),
      [this, job = std::move(job), sent_at = EventLoop::MonoNow()](
          const HttpCallResult& result) { OnResult(job, sent_at, result); });
}

void SoakCallers::OnResult(Job job,
                           MonoTime sent_at,
                           const HttpCallResult& result) {
  AttemptEnd end = EndOf(result);
  if (job.fails && end == AttemptEnd::kCompleted) {
    m_ledger.BreakFor(job.id, absl::StrCat(job.id,
                                           " completed, though each of "
                                           "its runs fails"));
  } else if (job.fails && end == AttemptEnd::kFailed) {
    end = AttemptEnd::kCompleted;  // the answer that it should have
  }
  m_ledger.AttemptEnded(job.id, end);
  const absl::Duration taken = EventLoop::MonoNow() - sent_at;
  m_ledger.Trace(job.id,
                 absl::StrCat("attempt ", job.attempts, " ended: ",
                              std::string(HttpFailureName(result.failure)), " ",
                              result.status));
  if (result.failure == HttpFailure::kRefused ||
      result.failure == HttpFailure::kNotSent) {
    m_ledger.AttemptNotSent();
  }
  if (m_options.calm && end == AttemptEnd::kBroken && taken > kUnread) {
    m_ledger.BreakFor(
        job.id, absl::StrCat(job.id, " was cut off after ",
                             absl::ToInt64Milliseconds(taken), " ms: ",
                             std::string(HttpFailureName(result.failure))));
  }
  const bool unanswered = end == AttemptEnd::kBroken ||
                          end == AttemptEnd::kTimeout ||
                          end == AttemptEnd::kMayHaveRun;
  if (unanswered && job.attempts < kMaxAttempts) {
    Pause(internal::kResendAfter,
          [this, job = std::move(job)]() mutable { Send(std::move(job)); });
    return;
  }
  const absl::Duration pause = end == AttemptEnd::kNotRun
                                   ? kAfterRefusal
                                   : absl::Milliseconds(Draw(5, 100));
  Pause(pause, [this] { HandInNext(); });
}

}  // namespace egretswitch::soak
