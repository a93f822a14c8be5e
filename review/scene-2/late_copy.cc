// Jobs are cancelled, and each cancel is acknowledged. One entry is stopped and
// started as planned. Seconds later a copy of each submission arrives.
#include <signal.h>

#include <future>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "caller.h"
#include "event_loop.h"
#include "scenes.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;

constexpr int kOk = 200;
constexpr uint32_t kJobs = 4;
constexpr absl::Duration kRunsBeforeCancel = absl::Milliseconds(250);
// Bounds of the site file: grace_s, cancel_ms and touch_ms.
constexpr absl::Duration kGrace = absl::Seconds(6);
constexpr absl::Duration kCancelBound = absl::Milliseconds(3000);
constexpr absl::Duration kContact = absl::Milliseconds(3000);
constexpr absl::Duration kMargin = absl::Milliseconds(500);

struct CancelledJob {
  std::string id;
  MonoTime acknowledged_at = absl::ZeroDuration();
};

std::string PathOf(const std::string& job) {
  return "/checks/" + job;
}

CallResult Submit(Record& record,
                  const Process& entry,
                  const std::string& job) {
  record.Note(absl::StrCat("POST ", job, " sent to ", entry.name));
  const CallResult result =
      Call(entry.callers_port, {.method = "POST",
                                .path = PathOf(job),
                                .body = JobBody("work 900", 2, 900)});
  record.Note(absl::StrCat("POST ", job, " at ", entry.name, " answered ",
                           result.status, " ", result.body));
  return result;
}

// True once the cancel is acknowledged.
bool Cancel(Record& record, const Process& entry, CancelledJob& job) {
  record.Note(absl::StrCat("DELETE ", job.id, " sent to ", entry.name));
  const CallResult result =
      Call(entry.callers_port, {.method = "DELETE", .path = PathOf(job.id)});
  job.acknowledged_at = EventLoop::MonoNow();
  record.Note(absl::StrCat("DELETE ", job.id, " at ", entry.name, " answered ",
                           result.status, " ", result.body));
  return result.status == kOk;
}

void CheckNotStarted(Record& record, const CancelledJob& job) {
  const MonoTime bound = job.acknowledged_at + kCancelBound;
  for (const StartedRun& run : record.StartsOf(job.id, bound)) {
    record.Break(
        absl::StrCat("UNASKED: ", run.task, " started at ", run.worker, " ",
                     absl::ToInt64Milliseconds(run.at - job.acknowledged_at),
                     " ms after its job's cancel was acknowledged"));
  }
}

}  // namespace

bool PlayLateCopy(Deployment& deployment, Record& record, bool trouble) {
  Process& restarted = deployment.entry(0);
  std::vector<CancelledJob> jobs;
  for (uint32_t i = 1; i <= kJobs; ++i) {
    CancelledJob& job = jobs.emplace_back(CancelledJob{.id = JobId(i)});
    std::future<CallResult> submitted =
        std::async(std::launch::async, [&record, &restarted, id = job.id] {
          return Submit(record, restarted, id);
        });
    deployment.RunFor(kRunsBeforeCancel);
    const bool cancelled = Cancel(record, restarted, job);
    if (submitted.get().status != kOk || !cancelled) {
      return false;
    }
  }
  if (trouble) {
    deployment.Signal(restarted, SIGTERM);
  }
  // The stop takes less than this, and the start follows at once.
  deployment.RunFor(kGrace);
  if (!deployment.AwaitReady(restarted, kGrace)) {
    return false;
  }
  const MonoTime in_touch_from = restarted.started_at + kContact + kMargin;
  deployment.RunFor(
      std::max(in_touch_from - EventLoop::MonoNow(), absl::ZeroDuration()));
  std::vector<std::future<CallResult>> copies;
  for (const CancelledJob& job : jobs) {
    for (size_t i = 0; i < deployment.entries(); ++i) {
      copies.push_back(std::async(
          std::launch::async, [&record, &entry = deployment.entry(i), &job] {
            return Submit(record, entry, job.id);
          }));
    }
  }
  copies.clear();  // waits for their answers
  for (const CancelledJob& job : jobs) {
    CheckNotStarted(record, job);
  }
  return true;
}

}  // namespace egretswitch::review
