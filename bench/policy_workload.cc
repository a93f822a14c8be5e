#include "policy_workload.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>

namespace egretswitch::bench {
namespace {

// New agents refuse starts for kOwnerLease; the queues then need some time to
// reach their usual length, and the owners to learn run times.
constexpr VirtualUs kFirstJob = Ms(5000);
constexpr VirtualUs kWarmUp = Ms(8000);
constexpr VirtualUs kAfterLastJob = Ms(12'000);
constexpr VirtualUs kDeadlineAfter = Ms(10'000);
constexpr double kMostDeclarationError = 10;
constexpr uint32_t kContendingRows = 4;
constexpr double kDemandOfRow = 0.6;
constexpr uint32_t kTasksOfContender = 4;

// What an operator may choose who wants short answers from short kinds.
uint32_t ChosenWeight(const std::string& kind) {
  if (kind == "mill_order") {
    return 1;
  }
  if (kind == "photo_set") {
    return 4;
  }
  return kind == "pricing" ? 20 : 8;
}

// Draws jobs of one workload in the order in which they arrive.
class Generator {
 public:
  Generator(Workload& workload, uint64_t seed)
      : m_workload(workload),
        m_plan(workload.deployment.profile, seed),
        m_random(seed * 7919 + 1) {}

  void AddStream(double jobs_per_second, int contender) {
    std::exponential_distribution<double> pause(jobs_per_second / 1e6);
    double at = kFirstJob + pause(m_random);
    for (; at < m_workload.measured_until; at += pause(m_random)) {
      Add(static_cast<VirtualUs>(at),
          contender < 0 ? m_plan.Next() : Contender(contender));
    }
  }

  void AddBurst(VirtualUs at) {
    double left_ms = kBurstSeconds * 1000 * m_workload.deployment.slots();
    while (left_ms > 0) {
      const load::PlannedJob job = m_plan.NextOfBurst();
      left_ms -= std::accumulate(job.run_ms.begin(), job.run_ms.end(), 0.0);
      Add(at, job);
    }
  }

 private:
  load::PlannedJob Contender(int row) {
    std::uniform_int_distribution<uint32_t> run_ms(50, 150);
    load::PlannedJob job;
    job.kind = "row_" + std::to_string(row + 1);
    job.run_ms.resize(kTasksOfContender);
    std::generate(job.run_ms.begin(), job.run_ms.end(),
                  [&] { return run_ms(m_random); });
    return job;
  }

  uint32_t RowOf(const std::string& kind) {
    const auto [it, is_new] =
        m_rows.try_emplace(kind, static_cast<uint32_t>(m_workload.rows.size()));
    if (is_new) {
      const bool weighted =
          m_workload.condition.trouble == Trouble::kWeightedRows;
      m_workload.rows.push_back({kind, weighted ? ChosenWeight(kind) : 1});
    }
    return it->second;
  }

  uint32_t Declare(uint32_t run_ms) {
    if (m_workload.condition.trouble != Trouble::kWrongDeclarations) {
      return run_ms;
    }
    std::uniform_real_distribution<double> error(-1, 1);
    return static_cast<uint32_t>(std::max(
        1.0, run_ms * std::pow(kMostDeclarationError, error(m_random))));
  }

  void Add(VirtualUs at, load::PlannedJob planned) {
    ArrivingJob job;
    job.at = at;
    job.deadline = at + kDeadlineAfter;
    job.entry =
        static_cast<uint32_t>(m_random() % m_workload.deployment.entries);
    job.row = RowOf(planned.kind);
    job.repeatable = planned.repeatable;
    job.is_measured = at >= m_workload.measured_from;
    job.run_ms = std::move(planned.run_ms);
    for (const uint32_t run_ms : job.run_ms) {
      job.declared_ms.push_back(Declare(run_ms));
    }
    m_workload.jobs.push_back(std::move(job));
  }

  Workload& m_workload;
  load::JobPlan m_plan;
  std::mt19937_64 m_random;
  std::map<std::string, uint32_t> m_rows;
};

void AddContenders(Workload& workload, Generator& generator) {
  constexpr double kMeanWorkMs = kTasksOfContender * 100.0;
  const double jobs_per_second =
      kDemandOfRow * workload.deployment.slots() * 1000 / kMeanWorkMs;
  for (uint32_t row = 0; row < kContendingRows; ++row) {
    generator.AddStream(jobs_per_second, static_cast<int>(row));
    workload.rows[row].weight = row + 1;
  }
}

}  // namespace

const char* TroubleName(Trouble trouble) {
  switch (trouble) {
    case Trouble::kNone:
      return "homogeneous";
    case Trouble::kStraggler:
      return "straggler";
    case Trouble::kFailingWorker:
      return "failing_worker";
    case Trouble::kWrongDeclarations:
      return "wrong_declarations";
    case Trouble::kBursts:
      return "bursts";
    case Trouble::kWeightedRows:
      return "weighted_rows";
    case Trouble::kContention:
      return "contention";
  }
  return "";
}

double ArrivingJob::WorkMs() const {
  return std::accumulate(run_ms.begin(), run_ms.end(), 0.0);
}

VirtualUs Workload::IdealUs(const ArrivingJob& job) const {
  const double longest_ms =
      *std::max_element(job.run_ms.begin(), job.run_ms.end());
  const double spread_ms = job.WorkMs() / deployment.slots();
  return static_cast<VirtualUs>(std::max(longest_ms, spread_ms) * 1000) +
         2 * (deployment.to_caller + deployment.within_centre);
}

Workload MakeWorkload(const Deployment& deployment,
                      Condition condition,
                      uint64_t seed,
                      double measured_seconds) {
  Workload workload;
  workload.deployment = deployment;
  workload.condition = condition;
  workload.measured_from = kFirstJob + kWarmUp;
  workload.measured_until =
      workload.measured_from + static_cast<VirtualUs>(measured_seconds * 1e6);
  workload.end = workload.measured_until + kAfterLastJob;
  Generator generator(workload, seed);
  if (condition.trouble == Trouble::kContention) {
    AddContenders(workload, generator);
  } else {
    const load::JobPlan plan(deployment.profile, seed);
    generator.AddStream(
        condition.load * deployment.slots() * 1000 / plan.MeanWorkMs(), -1);
  }
  if (condition.trouble == Trouble::kBursts) {
    for (VirtualUs at = workload.measured_from; at < workload.measured_until;
         at += kBurstPeriod) {
      generator.AddBurst(at);
    }
  }
  std::stable_sort(
      workload.jobs.begin(), workload.jobs.end(),
      [](const auto& left, const auto& right) { return left.at < right.at; });
  return workload;
}

}  // namespace egretswitch::bench
