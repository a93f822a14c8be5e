// Beside other traffic, a number of jobs are cancelled, each at another entry
// than the one that runs it. One entry is frozen meanwhile and wakes again.
#include <signal.h>

#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller.h"
#include "scenes.h"
#include "traffic.h"

namespace egretswitch::review {
namespace {

// The dose of `node_freeze` where none is given.
constexpr absl::Duration kFreeze = absl::Seconds(5);
constexpr int kRounds = 3;
constexpr uint32_t kJobsOfRound = 45;
constexpr absl::Duration kUntilCancels = absl::Milliseconds(300);
constexpr absl::Duration kBetweenCancels = absl::Microseconds(450);
constexpr absl::Duration kUntilFreeze = absl::Milliseconds(10);
constexpr absl::Duration kAfter = absl::Milliseconds(2500);

void Send(Record& record, const Process& entry, const CallerCall& call) {
  const CallResult result = Call(entry.callers_port, call);
  record.Note(absl::StrCat(call.method, " ", call.path, " at ", entry.name,
                           " answered ", result.status, " ", result.body));
}

void PlayRound(Deployment& deployment,
               Record& record,
               uint32_t first_job,
               bool trouble) {
  std::vector<std::thread> callers;
  const auto path_of = [first_job](uint32_t i) {
    return "/checks/" + JobId(first_job + i);
  };
  const auto entry_of = [&deployment](uint32_t i) -> const Process& {
    return deployment.entry(i % deployment.entries());
  };
  for (uint32_t i = 0; i < kJobsOfRound; ++i) {
    callers.emplace_back([&record, &entry = entry_of(i), path = path_of(i)] {
      Send(record, entry,
           {.method = "POST",
            .path = path,
            .body = JobBody("work 900", 1, 900)});
    });
  }
  deployment.RunFor(kUntilCancels);
  for (uint32_t i = 0; i < kJobsOfRound; ++i) {
    callers.emplace_back([&record, &entry = entry_of(i + 1), path = path_of(i),
                          wait = i * kBetweenCancels] {
      absl::SleepFor(wait);
      Send(record, entry, {.method = "DELETE", .path = path});
    });
  }
  absl::SleepFor(kUntilFreeze);
  Process& frozen = deployment.entry(0);
  if (trouble) {
    deployment.Signal(frozen, SIGSTOP);
  }
  deployment.RunFor(kFreeze);
  if (trouble) {
    deployment.Signal(frozen, SIGCONT);
  }
  deployment.RunFor(kAfter);
  for (std::thread& caller : callers) {
    caller.join();
  }
}

}  // namespace

bool PlayFrozenCancel(Deployment& deployment, Record& record, bool trouble) {
  const Traffic traffic(deployment, record);
  const Process& frozen = deployment.entry(0);
  deployment.RunFor(absl::Seconds(1));
  for (uint32_t round = 0; round < kRounds && frozen.own_ends == 0; ++round) {
    PlayRound(deployment, record, kFirstJobOfScenes + round * kJobsOfRound,
              trouble);
  }
  for (size_t i = 0; i < deployment.entries(); ++i) {
    const Process& entry = deployment.entry(i);
    if (entry.own_ends > 0) {
      record.Break(absl::StrCat("a crash: ", entry.name, " ended by itself"));
    }
  }
  return true;
}

}  // namespace egretswitch::review
