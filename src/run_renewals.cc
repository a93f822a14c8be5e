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

}  // namespace

std::vector<RunRenewals::Due> RunRenewals::TakeDue(
    WorkerPool& pool,
    const std::map<std::string, TaskNeeds>& waiting,
    MonoTime now) {
  std::vector<Due> due;
  for (auto& [name, seat] : pool.seats()) {
    if (seat.Suspect(now)) {
      continue;
    }
    const auto wanted = waiting.find(seat.status.service);
    const bool ask = wanted != waiting.end() && now >= seat.next_room_request;
    const bool renew = seat.runs > 0 && now >= seat.next_renewal;
    if (!ask && !renew) {
      continue;
    }
    if (ask) {
      seat.next_room_request = now + kRoomRequestPeriod;
    }
    seat.next_renewal = now + kRenewPeriod;
    seat.unanswered_since = std::min(seat.unanswered_since, now);
    due.push_back({&seat, ask ? wanted->second : TaskNeeds{}});
  }
  return due;
}

}  // namespace egretswitch::internal
