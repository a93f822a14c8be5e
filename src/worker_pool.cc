// Scores workers by their expected slowness plus a share for how full they are.
// The lowest score is best: the fastest worker, and the emptier of equally fast
// ones.
//
//   slowness 1.0, half full -> 1.15     slowness 1.3, empty -> 1.30
//
// A worker on which several jobs in a row fail or hang is ejected for a while,
// then gets a single run on probation. At most a third of the workers is
// ejected at once, because more failures than that have a cause outside the
// workers.
#include "worker_pool.h"

#include <algorithm>
#include <utility>

#include "internal_assert.h"
#include "run_limits.h"
#include "task_needs.h"
#include "worker_incarnation.h"
#include "worker_subset.h"

namespace egretswitch::internal {
namespace {

// Weight of a full worker against an empty one, as a share of slowness. Below
// the difference between the kinds of workers (a third), so that speed decides
// first.
constexpr double kFullnessWeight = 0.25;
// Random part of the score, so that entries with the same reports choose
// different workers.
constexpr double kScoreNoise = 0.05;
// A worker's free capacity changes some thirty times a second, so a report this
// recent is very likely still true.
constexpr absl::Duration kFreshReport = absl::Milliseconds(10);

// The record of an agent is retained over a short loss of its link.
constexpr absl::Duration kUnlinkedRetention = absl::Seconds(10);

constexpr uint32_t kBadJobsToEject = 3;
// A few runs in a hundred are long on any worker, so three in a row are hardly
// ever an accident.
constexpr double kChanceToEject = 1e-4;
constexpr absl::Duration kEjectionTime = absl::Seconds(2);
constexpr double kMaxEjectedShare = 1.0 / 3;

}  // namespace

void PooledWorker::RecordRenewal(MonoTime now) {
  next_renewal = now + kRenewPeriod;
  unanswered_since = std::min(unanswered_since, now);
}

bool PooledWorker::Suspect(MonoTime now) const {
  return !linked || now - unanswered_since > kAgentSuspectAfter;
}

// Calls of a former agent, and those to a former incarnation of the worker, are
// fenced once the present agent has called the present one.
MonoTime PooledWorker::RunsOverAt(uint64_t agent_incarnation,
                                  MonoTime last_message_at) const {
  const bool called_since = agent_incarnation == incarnation
                                ? worker_answered_at > last_message_at
                                : worker_answered_at >= replaced_at;
  const absl::Duration limit = may_restart_under_id && !called_since
                                   ? kLateStartsOver
                                   : kRunCertainlyOver;
  return std::max(last_message_at + limit, lease_bound_until);
}

bool PooledWorker::Usable(MonoTime now) const {
  return status.accepting && !evacuated && now >= ejected_until &&
         !(on_probation && runs > 0) && !Suspect(now);
}

bool PooledWorker::HasFreshStatus(MonoTime now) const {
  return in_subset || now - last_received_at < kFreshReport;
}

PooledWorker& WorkerPool::LinkUp(const std::string& agent,
                                 uint64_t incarnation,
                                 std::string_view data_centre,
                                 MonoTime now) {
  PooledWorker& worker = m_workers[agent];
  if (worker.incarnation != incarnation) {
    const uint32_t runs = worker.runs;
    const MonoTime last_sent = worker.last_sent;
    const MonoTime lease_bound_until = worker.lease_bound_until;
    const bool may_restart_under_id = worker.may_restart_under_id;
    worker = PooledWorker{};
    worker.rendezvous_hash = RendezvousHash(agent, m_seed);
    worker.agent = agent;
    worker.incarnation = incarnation;
    worker.runs = runs;
    worker.last_sent = last_sent;
    worker.lease_bound_until = lease_bound_until;
    worker.may_restart_under_id = may_restart_under_id;
    worker.replaced_at = now;
  }
  worker.data_centre = std::string(data_centre);
  worker.evacuated = m_evacuations.Covers(data_centre);
  worker.linked = true;
  worker.abandoned.RepeatOrders();
  // Each start was either handled, and then the next report counts it, or lost.
  worker.unreported_starts.clear();
  worker.last_received_at = now;
  worker.next_renewal = now;
  worker.unanswered_since = absl::InfiniteDuration();
  return worker;
}

PooledWorker* WorkerPool::Find(const std::string& agent) {
  const auto it = m_workers.find(agent);
  return it == m_workers.end() ? nullptr : &it->second;
}

const PooledWorker* WorkerPool::Find(const std::string& agent) const {
  const auto it = m_workers.find(agent);
  return it == m_workers.end() ? nullptr : &it->second;
}

PooledWorker& WorkerPool::Get(const std::string& agent) {
  PooledWorker* worker = Find(agent);
  InternalAssert(worker != nullptr, "agent not on record", agent);
  return *worker;
}

PooledWorker* WorkerPool::TakeUnresponsive(MonoTime now) {
  PooledWorker* longest = nullptr;
  for (auto& [name, worker] : m_workers) {
    const bool due = worker.linked && now >= worker.next_redial &&
                     now - worker.unanswered_since > kLinkRedialAfter;
    if (due && (longest == nullptr ||
                worker.unanswered_since < longest->unanswered_since)) {
      longest = &worker;
    }
  }
  if (longest != nullptr) {
    longest->next_redial = now + kLinkRedialInterval;
  }
  return longest;
}

void WorkerPool::DropUnlinked(MonoTime now) {
  std::erase_if(m_workers, [now](const auto& entry) {
    const PooledWorker& worker = entry.second;
    const absl::Duration retention =
        worker.may_restart_under_id ? kLateStartsOver : kUnlinkedRetention;
    return !worker.linked && worker.runs == 0 &&
           now - worker.unlinked_at > retention;
  });
}

void WorkerPool::Update(PooledWorker& worker,
                        const RunReports& reports,
                        MonoTime now) {
  if (reports.worker.worker != worker.status.worker) {
    worker.speed = WorkerSpeed();
    worker.consecutive_bad_jobs = 0;
    worker.chance_of_bad_jobs = 1;
    worker.ejected_until = absl::ZeroDuration();
    worker.on_probation = false;
  }
  worker.status = reports.worker;
  if (!reports.worker.worker.empty()) {
    worker.may_restart_under_id = StartTimeOf(reports.worker.worker) != 0;
  }
  if (reports.worker.accepting) {
    worker.worker_answered_at = now;
  }
  worker.lease_bound_until =
      std::max(worker.lease_bound_until,
               now + absl::Milliseconds(reports.worker.lease_bound_ms));
  worker.clock.Observe(reports.clock_ms, now);
  worker.last_received_at = now;
  worker.unanswered_since = absl::InfiniteDuration();
  while (!worker.unreported_starts.empty() &&
         worker.unreported_starts.front().sequence <=
             worker.status.started_through) {
    worker.unreported_starts.pop_front();
  }
  worker.free = worker.status.free;
  for (const PooledWorker::SentStart& start : worker.unreported_starts) {
    Subtract(worker.free, start.needs);
  }
}

double WorkerPool::Score(const PooledWorker& worker,
                         const TaskNeeds& needs,
                         MonoTime now) {
  const double capacity = std::max(1u, worker.status.capacity.millicores);
  const double remaining =
      static_cast<double>(worker.free.millicores - needs.millicores);
  const double fullness = 1 - remaining / capacity;
  const double noise =
      std::uniform_real_distribution<double>(0, kScoreNoise)(m_random);
  return worker.speed.Slowness(now) * (1 + kFullnessWeight * fullness) + noise;
}

PooledWorker* WorkerPool::Pick(std::string_view service,
                               const TaskNeeds& needs,
                               const std::set<std::string>& avoid,
                               MonoTime now) {
  PooledWorker* best = nullptr;
  double best_score = 0;
  for (auto& [name, worker] : m_workers) {
    const bool eligible = worker.HasFreshStatus(now) && worker.Usable(now) &&
                          worker.status.service == service &&
                          Fits(needs, worker.free) && !avoid.contains(name);
    if (!eligible) {
      continue;
    }
    const double score = Score(worker, needs, now);
    if (best == nullptr || score < best_score) {
      best = &worker;
      best_score = score;
    }
  }
  return best;
}

bool WorkerPool::CouldFit(std::string_view service,
                          const TaskNeeds& needs,
                          MonoTime now) const {
  return std::any_of(
      m_workers.begin(), m_workers.end(), [&](const auto& entry) {
        const PooledWorker& worker = entry.second;
        return worker.Usable(now) && worker.status.service == service &&
               Fits(needs, worker.status.capacity);
      });
}

bool WorkerPool::AnyWorker() const {
  return std::any_of(m_workers.begin(), m_workers.end(), [](const auto& entry) {
    const PooledWorker& worker = entry.second;
    return worker.linked && (worker.status.accepting || worker.evacuated);
  });
}

void WorkerPool::SetEvacuations(Evacuations state) {
  m_evacuations = std::move(state);
  for (auto& [name, worker] : m_workers) {
    worker.evacuated = m_evacuations.Covers(worker.data_centre);
  }
}

bool WorkerPool::AllEvacuated(std::string_view service) const {
  bool any = false;
  for (const auto& [name, worker] : m_workers) {
    if (!worker.linked || worker.status.service != service) {
      continue;
    }
    if (!worker.evacuated) {
      return false;
    }
    any = true;
  }
  return any;
}

bool WorkerPool::AnyRunsUncertain(MonoTime now) const {
  return std::any_of(
      m_workers.begin(), m_workers.end(), [now](const auto& entry) {
        const PooledWorker& worker = entry.second;
        const MonoTime certain_from = std::max(
            worker.RunsOverAt(0, worker.replaced_at), worker.lease_bound_until);
        const bool replaced = now - certain_from < kRunCertainlyOver;
        return worker.runs > 0 &&
               (replaced || worker.may_restart_under_id || worker.Suspect(now));
      });
}

MonoTime WorkerPool::LatestLeaseBound() const {
  MonoTime latest = absl::ZeroDuration();
  for (const auto& [name, worker] : m_workers) {
    latest = std::max(latest, worker.lease_bound_until);
  }
  return latest;
}

WorkerPool::View WorkerPool::ViewOf(std::string_view service,
                                    MonoTime now) const {
  View view;
  for (const auto& [name, worker] : m_workers) {
    if (!worker.linked || worker.status.service != service) {
      continue;
    }
    ++view.workers;
    view.accepting += worker.status.accepting ? 1 : 0;
    view.evacuated += worker.evacuated ? 1 : 0;
    if (!worker.Usable(now)) {
      continue;
    }
    ++view.usable;
    view.in_subset += worker.in_subset ? 1 : 0;
    view.free_millicores += worker.free.millicores;
    for (const PooledWorker::SentStart& start : worker.unreported_starts) {
      view.unreported_millicores += start.needs.millicores;
    }
  }
  return view;
}

void WorkerPool::ChargeStart(PooledWorker& worker,
                             const TaskNeeds& needs,
                             uint32_t count) {
  const TaskNeeds taken = Times(needs, count);
  worker.unreported_starts.push_back({++worker.last_sequence, taken});
  Subtract(worker.free, taken);
  worker.runs += count;
}

void WorkerPool::RecordRunLeft(const std::string& agent) {
  PooledWorker& worker = Get(agent);
  InternalAssert(worker.runs > 0, "no run on record at the agent", agent);
  --worker.runs;
}

void WorkerPool::RecordGoodRun(PooledWorker& worker) {
  worker.consecutive_bad_jobs = 0;
  worker.chance_of_bad_jobs = 1;
  worker.on_probation = false;
}

bool WorkerPool::RecordBadRun(PooledWorker& worker,
                              const std::string& job,
                              MonoTime now,
                              double chance) {
  if (worker.last_bad_job == job && worker.consecutive_bad_jobs > 0) {
    return false;  // further failures of one job count once
  }
  worker.last_bad_job = job;
  ++worker.consecutive_bad_jobs;
  worker.chance_of_bad_jobs *= chance;
  const bool unlikely = worker.consecutive_bad_jobs >= kBadJobsToEject &&
                        worker.chance_of_bad_jobs < kChanceToEject;
  const bool eject = worker.on_probation || unlikely;
  if (!eject || !MayBeEjected(now)) {
    return false;
  }
  worker.ejected_until = now + kEjectionTime;
  worker.on_probation = true;
  return true;
}

bool WorkerPool::MayBeEjected(MonoTime now) const {
  size_t ejected = 0;
  size_t usable = 0;
  for (const auto& [name, worker] : m_workers) {
    usable += worker.linked && worker.status.accepting ? 1 : 0;
    ejected += now < worker.ejected_until ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         std::max(1.0, kMaxEjectedShare * static_cast<double>(usable));
}

}  // namespace egretswitch::internal
