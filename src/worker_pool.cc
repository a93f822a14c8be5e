// A worker's score is its expected slowness with a share for how full it is:
// the fastest worker first, but of equally fast ones the emptier.
//
//   slowness 1.0, half full -> 1.15     slowness 1.3, empty -> 1.30
//
// A worker whose runs go badly for several jobs in a row is ejected for a time,
// then gets one job on probation. At most a third is ejected at once: when more
// fail, the fault is not theirs.
#include "worker_pool.h"

#include <algorithm>
#include <utility>

#include "run_limits.h"
#include "task_needs.h"
#include "worker_reach.h"

namespace egretswitch::internal {
namespace {

// Weight of a full worker against an empty one, as a share of slowness. Below
// the difference between the kinds of workers (a third), so that speed decides
// first.
constexpr double kFullnessWeight = 0.25;
// Random part of the score, so that entries with the same view spread.
constexpr double kScoreNoise = 0.05;
// How much one run moves the learnt slowness.
constexpr double kSlownessGain = 0.15;
// One run counts as at most so slow or fast: estimates are often far off.
constexpr double kMaxSlowness = 8;
constexpr double kMinSlowness = 0.2;

// A worker's room changes some thirty times a second.
constexpr absl::Duration kFreshReport = absl::Milliseconds(10);

// What is known of an agent outlasts a short loss of its link.
constexpr absl::Duration kKeepUnlinked = absl::Seconds(10);

constexpr uint32_t kBadJobsToEject = 3;
constexpr absl::Duration kEjection = absl::Seconds(2);
constexpr double kMostEjected = 1.0 / 3;

}  // namespace

bool WorkerSeat::Suspect(MonoTime now) const {
  return !linked || now - unanswered_since > kAgentSuspect;
}

bool WorkerSeat::Usable(MonoTime now) const {
  return status.accepting && !evacuated && now >= ejected_until &&
         !(on_probation && runs > 0) && !Suspect(now);
}

bool WorkerSeat::KnownWell(MonoTime now) const {
  return in_reach || now - last_heard < kFreshReport;
}

WorkerSeat& WorkerPool::LinkUp(const std::string& agent,
                               uint64_t incarnation,
                               std::string_view data_centre,
                               MonoTime now) {
  WorkerSeat& seat = m_seats[agent];
  if (seat.incarnation != incarnation) {
    const uint32_t runs = seat.runs;
    const MonoTime last_sent = seat.last_sent;
    seat = WorkerSeat{};
    seat.place_in_order = PlaceInOrder(agent, m_seed);
    seat.agent = agent;
    seat.incarnation = incarnation;
    seat.runs = runs;
    seat.last_sent = last_sent;
    seat.replaced_at = now;
  }
  seat.data_centre = std::string(data_centre);
  seat.evacuated = m_evacuations.Covers(data_centre);
  seat.linked = true;
  // Each of them was handled or is lost: the next report counts the former.
  seat.unheard.clear();
  seat.last_heard = now;
  seat.next_renewal = now;
  seat.unanswered_since = absl::InfiniteDuration();
  return seat;
}

WorkerSeat* WorkerPool::Find(const std::string& agent) {
  const auto it = m_seats.find(agent);
  return it == m_seats.end() ? nullptr : &it->second;
}

const WorkerSeat* WorkerPool::Find(const std::string& agent) const {
  const auto it = m_seats.find(agent);
  return it == m_seats.end() ? nullptr : &it->second;
}

WorkerSeat* WorkerPool::TakeSilent(MonoTime now) {
  WorkerSeat* longest = nullptr;
  for (auto& [name, seat] : m_seats) {
    const bool due = seat.linked && now >= seat.next_dial &&
                     now - seat.unanswered_since > kLinkDoubt;
    if (due && (longest == nullptr ||
                seat.unanswered_since < longest->unanswered_since)) {
      longest = &seat;
    }
  }
  if (longest != nullptr) {
    longest->next_dial = now + kDialAgainPause;
  }
  return longest;
}

void WorkerPool::DropUnlinked(MonoTime now) {
  std::erase_if(m_seats, [now](const auto& entry) {
    const WorkerSeat& seat = entry.second;
    return !seat.linked && seat.runs == 0 &&
           now - seat.unlinked_at > kKeepUnlinked;
  });
}

void WorkerPool::Update(WorkerSeat& seat,
                        const RunReports& reports,
                        MonoTime now) {
  if (reports.worker.worker != seat.status.worker) {
    seat.slowness = 1;
    seat.bad_in_a_row = 0;
    seat.ejected_until = absl::ZeroDuration();
    seat.on_probation = false;
  }
  seat.status = reports.worker;
  seat.clock.Observe(reports.clock_ms, now);
  seat.last_heard = now;
  seat.unanswered_since = absl::InfiniteDuration();
  while (!seat.unheard.empty() &&
         seat.unheard.front().sequence <= seat.status.started_through) {
    seat.unheard.pop_front();
  }
  seat.free = seat.status.free;
  for (const WorkerSeat::SentStart& start : seat.unheard) {
    Subtract(seat.free, start.needs);
  }
}

double WorkerPool::Score(const WorkerSeat& seat, const TaskNeeds& needs) {
  const double capacity = std::max(1u, seat.status.capacity.millicores);
  const double left =
      static_cast<double>(seat.free.millicores - needs.millicores);
  const double fullness = 1 - left / capacity;
  const double noise =
      std::uniform_real_distribution<double>(0, kScoreNoise)(m_random);
  return seat.slowness * (1 + kFullnessWeight * fullness) + noise;
}

WorkerSeat* WorkerPool::Pick(std::string_view service,
                             const TaskNeeds& needs,
                             const std::set<std::string>& avoid,
                             MonoTime now) {
  WorkerSeat* best = nullptr;
  double best_score = 0;
  for (auto& [name, seat] : m_seats) {
    const bool eligible = seat.KnownWell(now) && seat.Usable(now) &&
                          seat.status.service == service &&
                          Fits(needs, seat.free) && !avoid.contains(name);
    if (!eligible) {
      continue;
    }
    const double score = Score(seat, needs);
    if (best == nullptr || score < best_score) {
      best = &seat;
      best_score = score;
    }
  }
  return best;
}

bool WorkerPool::CouldFit(std::string_view service,
                          const TaskNeeds& needs,
                          MonoTime now) const {
  return std::any_of(m_seats.begin(), m_seats.end(), [&](const auto& entry) {
    const WorkerSeat& seat = entry.second;
    return seat.Usable(now) && seat.status.service == service &&
           Fits(needs, seat.status.capacity);
  });
}

bool WorkerPool::AnyWorker() const {
  return std::any_of(m_seats.begin(), m_seats.end(), [](const auto& entry) {
    const WorkerSeat& seat = entry.second;
    return seat.linked && (seat.status.accepting || seat.evacuated);
  });
}

void WorkerPool::SetEvacuations(Evacuations state) {
  m_evacuations = std::move(state);
  for (auto& [name, seat] : m_seats) {
    seat.evacuated = m_evacuations.Covers(seat.data_centre);
  }
}

bool WorkerPool::AllEvacuated(std::string_view service) const {
  bool any = false;
  for (const auto& [name, seat] : m_seats) {
    if (!seat.linked || seat.status.service != service) {
      continue;
    }
    if (!seat.evacuated) {
      return false;
    }
    any = true;
  }
  return any;
}

bool WorkerPool::AnyRunsInDoubt(MonoTime now) const {
  return std::any_of(m_seats.begin(), m_seats.end(), [now](const auto& entry) {
    const WorkerSeat& seat = entry.second;
    const bool replaced = now - seat.replaced_at < 2 * kRunCertainlyOver;
    return seat.runs > 0 && (replaced || seat.Suspect(now));
  });
}

WorkerPool::View WorkerPool::ViewOf(std::string_view service,
                                    MonoTime now) const {
  View view;
  for (const auto& [name, seat] : m_seats) {
    if (!seat.linked || seat.status.service != service) {
      continue;
    }
    ++view.workers;
    view.accepting += seat.status.accepting ? 1 : 0;
    view.evacuated += seat.evacuated ? 1 : 0;
    if (!seat.Usable(now)) {
      continue;
    }
    ++view.usable;
    view.in_reach += seat.in_reach ? 1 : 0;
    view.free_millicores += seat.free.millicores;
    for (const WorkerSeat::SentStart& start : seat.unheard) {
      view.unheard_millicores += start.needs.millicores;
    }
  }
  return view;
}

void WorkerPool::Take(WorkerSeat& seat,
                      const TaskNeeds& needs,
                      uint32_t count) {
  const TaskNeeds taken = Times(needs, count);
  seat.unheard.push_back({++seat.last_sequence, taken});
  Subtract(seat.free, taken);
  seat.runs += count;
}

void WorkerPool::RunWentWell(WorkerSeat& seat,
                             uint32_t run_ms,
                             uint32_t estimate_ms) {
  const double ratio =
      std::clamp(static_cast<double>(run_ms) / std::max(1u, estimate_ms),
                 kMinSlowness, kMaxSlowness);
  seat.slowness += kSlownessGain * (ratio - seat.slowness);
  seat.bad_in_a_row = 0;
  seat.on_probation = false;
}

bool WorkerPool::RunWentBadly(WorkerSeat& seat,
                              const std::string& job,
                              MonoTime now) {
  if (seat.last_bad_job == job && seat.bad_in_a_row > 0) {
    return false;  // a job whose own tasks fail says little of the worker
  }
  seat.last_bad_job = job;
  ++seat.bad_in_a_row;
  const bool enough = seat.on_probation || seat.bad_in_a_row >= kBadJobsToEject;
  if (!enough || !MayBeEjected(now)) {
    return false;
  }
  seat.ejected_until = now + kEjection;
  seat.on_probation = true;
  return true;
}

bool WorkerPool::MayBeEjected(MonoTime now) const {
  size_t ejected = 0;
  size_t usable = 0;
  for (const auto& [name, seat] : m_seats) {
    usable += seat.linked && seat.status.accepting ? 1 : 0;
    ejected += now < seat.ejected_until ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         std::max(1.0, kMostEjected * static_cast<double>(usable));
}

}  // namespace egretswitch::internal
