#include "case_clients.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "fake_run_worker.h"
#include "platform/wire_names.h"
#include "run_limits.h"

namespace egretswitch::review {
namespace {

using internal::HttpCall;
using internal::HttpCallResult;
using internal::HttpFailure;
using internal::HttpMethod;

constexpr int kMaxAttempts = 3;
constexpr int kNoAnswer = -1;
constexpr int kBackgroundWorkMs = 200;

std::string BodyOf(const CaseJob& job) {
  return nlohmann::json{{"spec", absl::StrCat(job.work_ms)},
                        {"best_effort", true},
                        {"steps",
                         {{{"count", job.tasks},
                           {"cpu", internal::kFakeTaskNeeds.millicores},
                           {"mem_mb", internal::kFakeTaskNeeds.memory_mb},
                           {"estimate_ms", job.work_ms}}}}}
      .dump();
}

std::string TextOf(const HttpCallResult& result) {
  return result.failure == HttpFailure::kNone
             ? absl::StrCat(result.status, " ", result.body)
             : absl::StrCat("no answer, ",
                            std::string(HttpFailureName(result.failure)));
}

}  // namespace

CaseClients::CaseClients(internal::EventLoop& loop,
                         std::vector<std::string> entries,
                         CaseRecord& record)
    : m_loop(loop),
      m_entries(std::move(entries)),
      m_record(record),
      m_http(loop) {}

std::string CaseClients::UrlOf(const std::string& id, size_t entry) const {
  return absl::StrCat("http://", m_entries[entry], "/checks/", id);
}

void CaseClients::Send(const CaseJob& job, size_t entry, int attempt) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.url = UrlOf(job.id, entry);
  call.body = BodyOf(job);
  call.headers = {{platform::kDeadlineHeader,
                   absl::StrCat(absl::ToInt64Milliseconds(job.deadline))}};
  call.timeout = job.deadline;
  if (job.traced) {
    m_record.Add(absl::StrCat("job ", job.id, " attempt ", attempt,
                              " sent to entry-", entry, ": ", call.body));
  }
  m_http.Send(std::move(call),
              [this, job, entry, attempt](const HttpCallResult& result) {
                OnEnd(job, entry, attempt, result);
              });
}

void CaseClients::OnEnd(const CaseJob& job,
                        size_t entry,
                        int attempt,
                        const HttpCallResult& result) {
  const bool answered = result.failure == HttpFailure::kNone;
  ++m_ends[answered ? result.status : kNoAnswer];
  if (job.traced) {
    m_record.Add(absl::StrCat("job ", job.id, " attempt ", attempt,
                              " ended: ", TextOf(result)));
  }
  const bool again = !answered || result.status == 502 || result.status == 504;
  if (again && attempt < kMaxAttempts) {
    m_loop.RunAfter(internal::kResendAfter, [this, job, entry, attempt] {
      Send(job, (entry + 1) % m_entries.size(), attempt + 1);
    });
  }
}

void CaseClients::SendBackground(size_t entry, absl::Duration period) {
  if (m_stopped) {
    return;
  }
  Send({.id = absl::StrFormat("%016x", ++m_background_jobs),
        .tasks = 1,
        .work_ms = kBackgroundWorkMs,
        .deadline = absl::Milliseconds(1500)},
       entry);
  m_loop.RunAfter(period,
                  [this, entry, period] { SendBackground(entry, period); });
}

std::string CaseClients::EndsText() const {
  std::string text;
  for (const auto& [status, count] : m_ends) {
    absl::StrAppend(&text, text.empty() ? "" : ", ",
                    status == kNoAnswer ? "no answer" : absl::StrCat(status),
                    ": ", count);
  }
  return text;
}

}  // namespace egretswitch::review
