#include "traffic.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller.h"

namespace egretswitch::review {
namespace {

constexpr uint32_t kJobsOfCaller = 100'000;
constexpr absl::Duration kPause = absl::Milliseconds(10);

}  // namespace

Traffic::Traffic(Deployment& deployment, Record& record) : m_record(record) {
  for (size_t i = 0; i < deployment.entries(); ++i) {
    m_threads.emplace_back([this, i, &entry = deployment.entry(i)] {
      SubmitJobs(static_cast<uint32_t>(i), entry);
    });
  }
}

Traffic::~Traffic() {
  m_ended = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void Traffic::SubmitJobs(uint32_t caller, const Process& entry) {
  for (uint32_t i = 0; !m_ended; ++i) {
    const std::string job = JobId(caller * kJobsOfCaller + i);
    const CallResult result =
        Call(entry.callers_port, {.method = "POST",
                                  .path = "/checks/" + job,
                                  .body = JobBody("work 60", 2, 60)});
    m_record.Note(absl::StrCat("POST ", job, " at ", entry.name, " answered ",
                               result.status, " ", result.body));
    absl::SleepFor(kPause);
  }
}

}  // namespace egretswitch::review
