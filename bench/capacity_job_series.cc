// What an entry spends on jobs: waiting ones, large ones, and many teams.
#include <string>

#include "absl/strings/str_format.h"
#include "capacity_entry_driver.h"
#include "capacity_series.h"

namespace egretswitch::internal {
namespace {

// 100 bytes for each task, after the sizes of a price check.
std::string Payload() {
  return std::string(100, 'p');
}

// All agents are full, so that every job waits.
std::vector<double> MeasureWaiting(uint32_t jobs) {
  EntryDriver driver({.agents = 16, .agents_full = true});
  driver.Start();
  const double before = LiveHeapBytes();
  driver.ResetMeters();
  for (uint32_t i = 0; i < jobs; ++i) {
    driver.SubmitJob(absl::StrFormat("team-%03d", i % 340), 1, Payload());
  }
  const double memory = LiveHeapBytes() - before;
  const double submit_ns = driver.cpu().ns();
  driver.Expect(driver.status().tasks_waiting == jobs, "a job does not wait");
  driver.ResetMeters();
  driver.RunIdle(absl::Seconds(1));
  return {submit_ns, memory, driver.cpu().ns()};
}

// Each event of an entry that is short of slots looks for agents to ask.
std::vector<double> MeasureFullWorkers(uint32_t agents) {
  constexpr int kJobs = 200;
  EntryDriver driver({.agents = agents, .agents_full = true});
  driver.Start();
  driver.SubmitJob("team-001", 1, Payload());
  driver.ResetMeters();
  for (int i = 0; i < kJobs; ++i) {
    driver.SubmitJob("team-001", 1, Payload());
  }
  driver.Expect(driver.status().tasks_waiting == kJobs + 1,
                "a job does not wait");
  return {driver.cpu().ns() / kJobs, driver.sent().messages / kJobs};
}

std::vector<double> MeasureTasks(uint32_t tasks) {
  constexpr int kJobs = 12;
  EntryDriver driver({.agents = 128});
  driver.Start();
  const double before = LiveHeapBytes();
  driver.ResetMeters();
  for (int i = 0; i < kJobs; ++i) {
    driver.SubmitJob("team-001", tasks, Payload());
  }
  const double kept = LiveHeapBytes() - before;
  driver.Expect(driver.answers() == kJobs, "a job was not answered");
  return {driver.cpu().ns() / kJobs, driver.sent().bytes / kJobs,
          driver.received().bytes / kJobs,
          (driver.sent().messages + driver.received().messages) / kJobs,
          kept / kJobs};
}

// One job of each team, all with a rate of their own.
std::vector<double> MeasureTeams(uint32_t teams) {
  EntryDriver driver({.agents = 16, .team_rate = 100});
  driver.Start();
  driver.SubmitJob("team-first", 1, Payload());
  const double before = LiveHeapBytes();
  driver.ResetMeters();
  for (uint32_t i = 0; i < teams; ++i) {
    driver.SubmitJob(absl::StrFormat("team-%03d", i), 1, Payload());
  }
  driver.Expect(driver.answers() == teams, "a job was not answered");
  return {driver.cpu().ns(), LiveHeapBytes() - before};
}

}  // namespace

std::vector<Family> JobFamilies() {
  return {
      {"waiting",
       [](uint32_t repeats) {
         return RunFamily("waiting jobs",
                          {{"entry.submit_cpu.waiting_jobs", "ns"},
                           {"entry.memory.waiting_jobs", "bytes"},
                           {"entry.idle_cpu.waiting_jobs", "ns/s"}},
                          {2000, 4000, 8000, 16000}, repeats, MeasureWaiting);
       }},
      {"full_workers",
       [](uint32_t repeats) {
         return RunFamily("workers",
                          {{"entry.full_submit_cpu.workers", "ns/event"},
                           {"entry.full_wants.workers", "messages/event"}},
                          {100, 325, 650, 1300}, repeats, MeasureFullWorkers);
       }},
      {"tasks",
       [](uint32_t repeats) {
         return RunFamily("tasks a job",
                          {{"entry.job_cpu.tasks", "ns/job"},
                           {"entry.job_sent.tasks", "bytes/job"},
                           {"entry.job_received.tasks", "bytes/job"},
                           {"entry.job_messages.tasks", "messages/job"},
                           {"entry.done_memory.tasks", "bytes/job"}},
                          {1, 100, 200, 395, 790}, repeats, MeasureTasks);
       }},
      {"teams",
       [](uint32_t repeats) {
         return RunFamily("teams",
                          {{"entry.submit_cpu.teams", "ns"},
                           {"entry.memory.teams", "bytes"}},
                          {34, 85, 170, 340}, repeats, MeasureTeams);
       }},
  };
}

}  // namespace egretswitch::internal
