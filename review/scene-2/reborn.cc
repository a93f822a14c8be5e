// An order to start a task gets no answer and is carried out some seconds
// later. Meanwhile the worker crashes and starts again under its id, and its
// agent is frozen. The caller has sent its job again by then.
#include <signal.h>

#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller.h"
#include "event_loop.h"
#include "scenes.h"
#include "traffic.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;

constexpr int kOk = 200;
constexpr int kRounds = 4;
// Of the site file: resend_ms, node_freeze, srv_crash (4.5 s at most).
constexpr absl::Duration kResendAfter = absl::Milliseconds(1300);
constexpr absl::Duration kFreeze = absl::Seconds(4);
constexpr absl::Duration kWorkerDown = absl::Milliseconds(700);
// An order may be carried out 2 to 12 s late.
constexpr absl::Duration kOrderLate = absl::Milliseconds(3200);
constexpr absl::Duration kUntilFreeze = absl::Milliseconds(200);
constexpr absl::Duration kUntilCrash = absl::Milliseconds(150);
constexpr absl::Duration kBetweenRounds = absl::Seconds(4);

// Sends the job, and once more at the next entry if it is not answered.
void SubmitUntilAnswered(Deployment& deployment,
                         Record& record,
                         const std::string& job) {
  for (size_t attempt = 0; attempt < 2; ++attempt) {
    const Process& entry = deployment.entry(attempt);
    record.Note(absl::StrCat("POST ", job, " sent to ", entry.name));
    const CallResult result =
        Call(entry.callers_port, {.method = "POST",
                                  .path = "/checks/" + job,
                                  .body = JobBody("work 900", 1, 900)});
    record.Note(absl::StrCat("POST ", job, " at ", entry.name, " answered ",
                             result.status, " ", result.body));
    if (result.status == kOk) {
      return;
    }
    absl::SleepFor(kResendAfter);
  }
}

// The number of the worker that runs the job; the count of workers if none.
size_t WorkerOf(const Deployment& deployment,
                const Record& record,
                const std::string& job) {
  const std::vector<StartedRun> runs =
      record.StartsOf(job, absl::ZeroDuration());
  size_t number = 0;
  while (number < deployment.agents() &&
         (runs.empty() ||
          runs.back().worker != absl::StrCat("worker-", number + 1))) {
    ++number;
  }
  return number;
}

bool PlayRound(Deployment& deployment,
               Record& record,
               const std::string& job,
               bool trouble) {
  if (trouble) {
    deployment.DelayFirstOrder(job, kOrderLate);
  }
  std::thread caller([&] { SubmitUntilAnswered(deployment, record, job); });
  deployment.RunFor(kUntilFreeze);
  const size_t worker = WorkerOf(deployment, record, job);
  const bool runs = worker < deployment.agents();
  if (trouble && runs) {
    Process& agent = deployment.agent(worker);
    deployment.Signal(agent, SIGSTOP);
    deployment.RunFor(kUntilCrash);
    deployment.CrashWorker(worker);
    deployment.RunFor(kWorkerDown);
    deployment.RestartWorker(worker);
    deployment.RunFor(kFreeze - kUntilCrash - kWorkerDown);
    deployment.Signal(agent, SIGCONT);
  }
  deployment.RunFor(kBetweenRounds);
  caller.join();
  return runs;
}

}  // namespace

bool PlayReborn(Deployment& deployment, Record& record, bool trouble) {
  const Traffic traffic(deployment, record);
  deployment.RunFor(absl::Seconds(1));
  for (int round = 0; round < kRounds && !record.broken(); ++round) {
    const std::string job =
        JobId(kFirstJobOfScenes + static_cast<uint32_t>(round));
    if (!PlayRound(deployment, record, job, trouble)) {
      return false;
    }
  }
  return true;
}

}  // namespace egretswitch::review
