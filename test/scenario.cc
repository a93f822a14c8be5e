#include "scenario.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Everything is joined, fenced and past the wait of new agents by then.
constexpr VirtualUs kFirstJob = Ms(5000);

// Ten jobs of 1 to 6 tasks, a third of them not repeatable, 150 ms apart.
std::vector<JobPlan> TenJobs() {
  const std::vector<uint32_t> run_ms = {60, 90, 150, 400, 50, 1200};
  const std::vector<std::string> kinds = {"check", "price", "reserve"};
  std::vector<JobPlan> jobs;
  for (uint32_t i = 0; i < 10; ++i) {
    JobPlan job;
    job.id = "job-" + std::to_string(i);
    job.kind = kinds[i % kinds.size()];
    job.repeatable = job.kind != "reserve";
    job.at = kFirstJob + Ms(150 * i);
    job.run_ms.assign(run_ms.begin(), run_ms.begin() + 1 + (i * 5) % 6);
    job.entry = i % 3;
    jobs.push_back(job);
  }
  return jobs;
}

Scenario Steady() {
  Scenario scenario;
  scenario.name = "steady";
  scenario.jobs = TenJobs();
  scenario.end = Ms(8000);
  return scenario;
}

// Every job is sent again through other entries: at once, while it runs, and
// after its answer; two callers hang up.
Scenario ResubmissionStorm() {
  Scenario scenario = Steady();
  scenario.name = "resubmission_storm";
  for (JobPlan& job : scenario.jobs) {
    const uint32_t other = (job.entry + 1) % 3;
    job.resends = {{Ms(1), other},
                   {Ms(80), (job.entry + 2) % 3},
                   {Ms(700), job.entry},
                   {Ms(2600), other}};
  }
  scenario.jobs[2].hang_up_after = Ms(40);
  scenario.jobs[6].hang_up_after = Ms(0);
  return scenario;
}

// Operators race twice for one row while jobs of that kind run.
Scenario TableRace() {
  Scenario scenario = Steady();
  scenario.name = "table_race";
  scenario.jobs.resize(5);
  scenario.edits = {
      {Ms(5200), "check", 1, 5, 0},  {Ms(5200), "check", 1, 7, 1},
      {Ms(5900), "check", 2, 9, 2},  {Ms(5901), "price", 1, 3, 0},
      {Ms(5901), "price", 1, 4, 2},  {Ms(6500), "price", 2, 2, 1},
      {Ms(6500), "check", 1, 11, 0}, {Ms(7000), "check", 3, 6, 1}};
  return scenario;
}

Scenario StopOfEntry() {
  Scenario scenario = Steady();
  scenario.name = "stop_of_entry";
  scenario.stops = {{Ms(5800), "entry-b"}};
  return scenario;
}

Scenario StopOfAgent() {
  Scenario scenario = Steady();
  scenario.name = "stop_of_agent";
  scenario.stops = {{Ms(5700), "agent-1"}};
  return scenario;
}

// Half of a burst is cancelled: before, during and after its tasks' starts.
Scenario CancelWave() {
  Scenario scenario = Steady();
  scenario.name = "cancel_wave";
  for (uint32_t i = 0; i < scenario.jobs.size(); ++i) {
    JobPlan& job = scenario.jobs[i];
    job.at = kFirstJob + Ms(10 * i);
    if (i % 2 == 1) {
      job.cancel_after = Ms(1 + 35 * i);
    }
  }
  return scenario;
}

// An upgrade without any fault: an agent, then an entry, then another agent is
// stopped and replaced, while more work waits than runs.
Scenario RollingRestart() {
  Scenario scenario = Steady();
  scenario.name = "rolling_restart";
  for (JobPlan& job : scenario.jobs) {
    job.at = kFirstJob + (job.at - kFirstJob) / 2;
    job.run_ms.assign(6, 400);
    job.deadline_after = Ms(20'000);
  }
  scenario.stops = {{Ms(5100), "agent-1", Ms(6000)},
                    {Ms(6300), "entry-b", Ms(7500)},
                    {Ms(8000), "agent-2", Ms(9000)}};
  scenario.end = Ms(10'000);
  return scenario;
}

}  // namespace

const std::vector<Scenario>& AllScenarios() {
  static const std::vector<Scenario> scenarios = {
      Steady(),      ResubmissionStorm(), TableRace(),     StopOfEntry(),
      StopOfAgent(), CancelWave(),        RollingRestart()};
  return scenarios;
}

const Scenario* FindScenario(std::string_view name) {
  const auto& all = AllScenarios();
  const auto it = std::find_if(
      all.begin(), all.end(),
      [name](const Scenario& scenario) { return scenario.name == name; });
  return it == all.end() ? nullptr : &*it;
}

}  // namespace egretswitch::internal
