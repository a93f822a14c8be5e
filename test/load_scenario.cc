#include "load_scenario.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

// The share of its worth that a late job earns within kLateObjectives
// objectives.
constexpr double kLateWorth = 0.2;
constexpr int kLateObjectives = 3;

// One-way delay between a caller and an entry.
constexpr VirtualUs kCallerDelay = Ms(3);
// One-way delay between an entry and an agent in another data centre.
constexpr VirtualUs kEntryAgentDelay = 1'400;

constexpr double kStretch = 1.6;
constexpr uint32_t kObjectiveMs = 60;
// Spread of the run times of a step's tasks.
constexpr double kTaskSpread = 0.15;
// A caller cancels its job within this time after submitting it.
constexpr double kCancelWithin = 100'000;
constexpr VirtualUs kFirstJob = Ms(500);
// Time after the scenario in which open jobs may end.
constexpr VirtualUs kTail = Ms(8'000);

class Draw {
 public:
  explicit Draw(uint64_t seed) : m_random(seed) {}

  // Log-normal with the given mean.
  double Size(double mean, double spread) {
    std::lognormal_distribution<double> drawn(
        std::log(mean) - spread * spread / 2, spread);
    return drawn(m_random);
  }
  double Gap(double per_s) {
    return std::exponential_distribution<double>(per_s)(m_random);
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

 private:
  std::mt19937_64 m_random;
};

const LoadBurst* BurstAt(const LoadScenario& scenario,
                         const LoadKind& kind,
                         VirtualUs at) {
  for (const LoadBurst& burst : scenario.bursts) {
    const bool matches = burst.kind.empty() || burst.kind == kind.name;
    if (matches && at >= burst.at && at < burst.at + burst.lasts) {
      return &burst;
    }
  }
  return nullptr;
}

LoadJob DrawJob(const LoadScenario& scenario,
                int kind_number,
                VirtualUs at,
                const LoadBurst* burst,
                Draw& draw) {
  const LoadKind& kind = scenario.kinds[kind_number];
  LoadJob job;
  job.kind = kind_number;
  job.plan.at = at;
  const auto tasks = static_cast<uint32_t>(
      std::lround(draw.Size(kind.tasks, kind.tasks_spread)));
  double work_ms = draw.Size(kind.work_ms, kind.work_spread);
  work_ms = std::min(work_ms, 4 * kind.work_ms);
  if (burst != nullptr) {
    work_ms *= burst->size;
  }
  job.plan.work_ms.resize(std::clamp(tasks, 1u, kind.most_tasks));
  for (int64_t& task_ms : job.plan.work_ms) {
    task_ms =
        std::max<int64_t>(1, std::lround(work_ms * draw.Size(1, kTaskSpread)));
  }
  const double cores = std::min(draw.Size(kind.cores, 0.2), 1.5 * kind.cores);
  job.plan.tail_share = kind.tail_share;
  job.plan.tail_factor = kind.tail_factor;
  job.plan.needs = {static_cast<uint32_t>(1000 * cores), 64, 0};
  job.plan.estimate_ms = static_cast<uint32_t>(
      std::max(1.0, scenario.estimate_bias * work_ms *
                        draw.Size(1, scenario.estimate_spread)));
  JobQueue& queue = job.plan.queue;
  queue.name = kind.name;
  queue.service = "desk";
  queue.timeout_ms = 1500;
  queue.max_attempts = 3;
  queue.priority = kind.priority;
  queue.stretch = kStretch;
  queue.objective_ms = kObjectiveMs;
  const int64_t longest =
      *std::max_element(job.plan.work_ms.begin(), job.plan.work_ms.end());
  job.objective =
      Ms(static_cast<int64_t>(kStretch * static_cast<double>(longest)) +
         kObjectiveMs);
  job.plan.caller_timeout =
      kind.caller_timeout + kLateObjectives * job.objective;
  job.plan.caller_timeout_is_total = true;
  const double mean_work = kind.tasks * kind.work_ms / 1000 * kind.cores;
  const double size = 0.3 + 0.7 * job.CoreSeconds() / mean_work;
  job.worth = kind.worth * std::min(4.0, size);
  return job;
}

void Inject(RunWorld& world,
            const LoadTrouble& trouble,
            const LoadScenario& scenario) {
  const size_t workers = scenario.workers.size();
  const auto hit = static_cast<size_t>(
      std::lround(trouble.share * static_cast<double>(workers)));
  // Spread over the list, so that each kind of worker is affected.
  const auto nth = [&](size_t i) {
    return static_cast<int>(i * workers / std::max<size_t>(1, hit));
  };
  switch (trouble.kind) {
    case LoadTrouble::Kind::kPowerLoss:
      world.LoseAllPower(trouble.lasts);
      return;
    case LoadTrouble::Kind::kCrash:
      for (size_t i = 0; i < hit; ++i) {
        world.CrashWorker(nth(i), trouble.lasts);
      }
      return;
    case LoadTrouble::Kind::kEvacuation:
      world.SetEvacuated({0});
      world.At(trouble.at + trouble.lasts,
               [&world] { world.SetEvacuated({}); });
      return;
    case LoadTrouble::Kind::kLostAnswers:
      for (size_t i = 0; i < hit; ++i) {
        const int worker = nth(i);
        world.LoseAnswers(worker, static_cast<int>(100 * trouble.factor));
        world.At(trouble.at + trouble.lasts,
                 [&world, worker] { world.LoseAnswers(worker, 0); });
      }
      return;
    case LoadTrouble::Kind::kSlow:
    case LoadTrouble::Kind::kHang: {
      const bool hang = trouble.kind == LoadTrouble::Kind::kHang;
      const double factor = hang ? 1000 : trouble.factor;
      for (size_t i = 0; i < hit; ++i) {
        const int worker = nth(i);
        const double usual = scenario.workers[worker].slowness;
        world.SetSlowness(worker, usual * factor);
        world.At(trouble.at + trouble.lasts,
                 [&world, worker, usual] { world.SetSlowness(worker, usual); });
      }
    }
  }
}

void ScheduleCancels(RunWorld& world,
                     const LoadCancels& cancels,
                     const std::vector<LoadJob>& jobs,
                     uint64_t seed) {
  Draw draw(seed);
  for (size_t i = 0; i < jobs.size(); ++i) {
    const VirtualUs at = jobs[i].plan.at;
    if (at >= cancels.at && at < cancels.at + cancels.lasts &&
        draw.Uniform() < cancels.share) {
      const auto after = static_cast<VirtualUs>(kCancelWithin * draw.Uniform());
      world.CancelAt(at + after, static_cast<int>(i));
    }
  }
}

}  // namespace

double LoadJob::CoreSeconds() const {
  double seconds = 0;
  for (const int64_t task_ms : plan.work_ms) {
    seconds += static_cast<double>(task_ms) / 1000;
  }
  return seconds * plan.needs.millicores / 1000;
}

std::vector<LoadJob> DrawJobs(const LoadScenario& scenario, uint64_t seed) {
  std::vector<LoadJob> jobs;
  for (int kind = 0; kind < static_cast<int>(scenario.kinds.size()); ++kind) {
    Draw draw(seed * 1000 + static_cast<uint64_t>(kind));
    const double usual = scenario.kinds[kind].per_s * scenario.load;
    VirtualUs at = kFirstJob;
    while (true) {
      const LoadBurst* burst = BurstAt(scenario, scenario.kinds[kind], at);
      const double per_s = burst == nullptr ? usual : usual * burst->factor;
      at += static_cast<VirtualUs>(1e6 * draw.Gap(per_s));
      if (at >= scenario.lasts) {
        break;
      }
      jobs.push_back(DrawJob(scenario, kind, at, burst, draw));
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const LoadJob& left, const LoadJob& right) {
              return left.plan.at < right.plan.at;
            });
  for (size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].plan.id = absl::StrCat("job-", i);
  }
  return jobs;
}

namespace {

// Every third worker is larger by a half, and slower.
std::vector<WorkerPlan> MixedWorkers(int count, uint32_t usual = 64'000) {
  std::vector<WorkerPlan> workers;
  for (int i = 0; i < count; ++i) {
    const bool large = i % 3 == 2;
    const uint32_t millicores = large ? usual / 2 * 3 : usual;
    workers.push_back(
        {{millicores, 262'144, 0}, large ? 1.3 : 1.0, large ? "b" : "a"});
  }
  return workers;
}

}  // namespace

LoadScenario MixedLoad() {
  LoadScenario scenario;
  scenario.name = "mixed";
  scenario.workers = MixedWorkers(11);
  scenario.kinds = {
      {.name = "short",
       .priority = 0,
       .per_s = 37.7,
       .tasks = 8,
       .work_ms = 60,
       .worth = 0.0291},
      {.name = "long",
       .priority = 2,
       .per_s = 6.85,
       .tasks = 4,
       .most_tasks = 16,
       .work_ms = 900,
       .worth = 0.16},
      {.name = "middle",
       .priority = 1,
       .per_s = 109.6,
       .tasks = 2,
       .most_tasks = 8,
       .work_ms = 200,
       .worth = 0.01},
  };
  return scenario;
}

// A worker holds four of these tasks instead of ten, and only one task in
// thirty is a run of the entry's own, whose end reports free capacity to it.
LoadScenario FleetLoad(double share) {
  LoadScenario scenario = MixedLoad();
  scenario.name = "fleet";
  scenario.lasts = Ms(10'000);
  scenario.workers = MixedWorkers(static_cast<int>(240 * share));
  // Up to three in a hundred caller machines use the same entry, and some
  // entries get no callers.
  scenario.entries = static_cast<int>(55 * share);
  for (int i = 0; i < scenario.entries; ++i) {
    constexpr int kPattern[] = {1, 2, 0, 1, 0, 3, 1, 1, 0, 2, 1};
    scenario.entry_shares.push_back(kPattern[i % std::size(kPattern)]);
  }
  const double rates[] = {334, 75.9, 973};
  for (size_t i = 0; i < scenario.kinds.size(); ++i) {
    scenario.kinds[i].per_s = rates[i] * share;
    scenario.kinds[i].cores = 15;
  }
  return scenario;
}

LoadScenario ManySmallJobsLoad() {
  LoadScenario scenario = MixedLoad();
  scenario.name = "many_small_jobs";
  scenario.lasts = Ms(14'000);
  scenario.workers = MixedWorkers(68, 16'000);
  scenario.entries = 12;
  scenario.entry_shares = {1, 2, 1, 1, 3, 1, 2, 1, 1, 2, 1, 1};
  const double rates[] = {184, 73, 536};
  for (size_t i = 0; i < scenario.kinds.size(); ++i) {
    scenario.kinds[i].per_s = rates[i];
    scenario.kinds[i].cores = 1.6;
  }
  return scenario;
}

LoadScenario TwoKindsLoad() {
  LoadScenario scenario = ManySmallJobsLoad();
  scenario.name = "two_kinds";
  scenario.workers = MixedWorkers(66, 16'000);
  for (WorkerPlan& worker : scenario.workers) {
    worker.slowness = worker.kind == "b" ? 1.7 : 0.7;
  }
  scenario.entries = 6;
  scenario.entry_shares = {1, 2, 1, 1, 3, 1};
  const double rates[] = {180, 33, 520};
  const double work_ms[] = {51, 760, 170};
  for (size_t i = 0; i < scenario.kinds.size(); ++i) {
    LoadKind& kind = scenario.kinds[i];
    kind.per_s = rates[i];
    kind.work_ms = work_ms[i];
    kind.tail_share = 0.03;
    kind.tail_factor = 7;
  }
  return scenario;
}

std::unique_ptr<RunWorld> SimulateLoad(const LoadScenario& scenario,
                                       const std::vector<LoadJob>& jobs,
                                       uint64_t seed,
                                       const DispatchPolicy& policy,
                                       std::vector<double>* busy) {
  RunWorldOptions options;
  options.seed = seed;
  options.entries = scenario.entries;
  options.entry_shares = scenario.entry_shares;
  options.faults = 0;
  options.workers = scenario.workers;
  options.link_delay = kEntryAgentDelay;
  options.caller_delay = kCallerDelay;
  options.policy = policy;
  options.count_bytes = scenario.count_bytes;
  for (const LoadJob& job : jobs) {
    options.plans.push_back(job.plan);
  }
  auto world = std::make_unique<RunWorld>(options);
  for (const LoadTrouble& trouble : scenario.troubles) {
    world->At(trouble.at, [&world = *world, &trouble, &scenario] {
      Inject(world, trouble, scenario);
    });
  }
  ScheduleCancels(*world, scenario.cancels, jobs, seed);
  for (VirtualUs at = 0; busy != nullptr && at < scenario.lasts;
       at += kBusyStep) {
    world->At(at,
              [&world = *world, busy] { busy->push_back(world.BusyShare()); });
  }
  world->Run(scenario.lasts + kTail);
  return world;
}

double WorthOf(const LoadJob& job, const JobOutcome& outcome) {
  if (outcome.verdict != JobVerdict::kCompleted) {
    return 0;
  }
  const VirtualUs took = outcome.ended_at + kCallerDelay - job.plan.at;
  if (took <= job.objective) {
    return job.worth;
  }
  return took <= kLateObjectives * job.objective ? kLateWorth * job.worth : 0;
}

double ShareServed(const std::vector<LoadJob>& jobs,
                   const RunWorld& world,
                   VirtualUs from,
                   VirtualUs to,
                   int kind) {
  double total = 0;
  double served = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    const LoadJob& job = jobs[i];
    const bool matches = kind < 0 || job.kind == kind;
    if (matches && job.plan.at >= from && job.plan.at < to) {
      total += job.worth;
      served += WorthOf(job, world.OutcomeOf(static_cast<int>(i)));
    }
  }
  return total == 0 ? 1 : served / total;
}

}  // namespace egretswitch::internal
