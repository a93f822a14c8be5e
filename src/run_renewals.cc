// What an entry knows of a worker's room comes with the ends of its own runs
// there. One that has none would take a worker that was full once for full for
// ever, while the other entries share its room. So it asks.
#include "run_renewals.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Between two requests for room to one agent while jobs wait. The agent then
// tells of room by itself, so this only bounds the cost of a lost word.
constexpr absl::Duration kRoomRequestPeriod = absl::Milliseconds(60);

// What one of so many agents is asked for: together they offer somewhat more
// than waits.
uint32_t ShareOf(uint32_t tasks, size_t agents) {
  return 1 + tasks / static_cast<uint32_t>(std::max<size_t>(1, agents));
}

uint32_t TasksIn(
    const std::map<std::string, std::vector<RoomWanted>>& waiting) {
  uint32_t tasks = 0;
  for (const auto& [service, wanted] : waiting) {
    for (const RoomWanted& like_it : wanted) {
      tasks += like_it.tasks;
    }
  }
  return tasks;
}

}  // namespace

std::vector<RunRenewals::Due> RunRenewals::TakeDue(
    WorkerPool& pool,
    const std::map<std::string, std::vector<RoomWanted>>& waiting,
    MonoTime now) {
  std::vector<Due> due;
  const std::set<std::string> asked = Askable(pool, waiting, now);
  const auto in_reach = static_cast<size_t>(
      std::count_if(pool.seats().begin(), pool.seats().end(),
                    [](const auto& seat) { return seat.second.in_reach; }));
  for (auto& [name, seat] : pool.seats()) {
    const bool ask = asked.contains(name);
    const bool renew = seat.runs > 0 && now >= seat.next_renewal;
    if (seat.Suspect(now) || (!ask && !renew)) {
      continue;
    }
    if (ask) {
      seat.next_room_request = now + kRoomRequestPeriod;
    }
    seat.next_renewal = now + kRenewPeriod;
    seat.unanswered_since = std::min(seat.unanswered_since, now);
    due.push_back({&seat, {}});
    if (ask) {
      due.back().wanted = waiting.at(seat.status.service);
      for (RoomWanted& wanted : due.back().wanted) {
        wanted.tasks = ShareOf(wanted.tasks, in_reach);
      }
    }
  }
  return due;
}

std::set<std::string> RunRenewals::Askable(const WorkerPool& pool,
                                           const Waiting& waiting,
                                           MonoTime now) {
  const uint32_t most = std::min(kMostAsked, TasksIn(waiting));
  std::set<std::string> asked =
      AskableAfter(m_last_asked, pool, true, most, waiting, now);
  asked.merge(AskableAfter(m_last_other, pool, false,
                           std::min(kOthersAsked, most), waiting, now));
  return asked;
}

// From the agent after the one that was asked last, round all of them.
std::set<std::string> RunRenewals::AskableAfter(std::string& last_asked,
                                                const WorkerPool& pool,
                                                bool in_reach,
                                                uint32_t most,
                                                const Waiting& waiting,
                                                MonoTime now) {
  std::set<std::string> asked;
  const auto& seats = pool.seats();
  auto next = seats.upper_bound(last_asked);
  for (size_t i = 0; i < seats.size() && asked.size() < most; ++i) {
    if (next == seats.end()) {
      next = seats.begin();
    }
    const auto& [name, seat] = *next++;
    if (seat.in_reach == in_reach && waiting.contains(seat.status.service) &&
        !seat.evacuated && !seat.Suspect(now) &&
        now >= seat.next_room_request) {
      last_asked = name;
      asked.insert(name);
    }
  }
  return asked;
}

}  // namespace egretswitch::internal
