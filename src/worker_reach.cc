// Rendezvous hashing: each entry orders the agents by a hash of their names
// under a seed of its own. With three quarters of the fleet in use a worker is
// then in reach of three entries in the mean, of none with a chance of one in
// twenty. That evens out by itself: where more entries meet, their starts find
// no room and go on to other workers, and an entry that waits asks some of
// those out of its reach.
#include "worker_reach.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace egretswitch::internal {
namespace {

// Room in reach for each unit of work in hand: with less an entry finds no room
// while others leave some, with more its starts meet those of other entries.
constexpr double kSpare = 8;
// For the first jobs after a calm time: they have to wait for the next look at
// the work in hand otherwise, at most 0.1 s.
constexpr uint32_t kLeastWorkers = 8;

struct Reached {
  uint32_t workers = 0;
  double millicores = 0;
};

double RoomWantedFor(const WorkInHand& in_hand, const std::string& service) {
  const auto work = in_hand.find(service);
  return work == in_hand.end() ? 0 : kSpare * work->second;
}

std::vector<WorkerSeat*> InOrder(WorkerPool& pool) {
  std::vector<WorkerSeat*> order;
  for (auto& [name, seat] : pool.seats()) {
    order.push_back(&seat);
  }
  std::sort(order.begin(), order.end(),
            [](const WorkerSeat* left, const WorkerSeat* right) {
              return left->place_in_order < right->place_in_order;
            });
  return order;
}

}  // namespace

uint64_t PlaceInOrder(std::string_view agent, uint64_t seed) {
  return XXH64(agent.data(), agent.size(), seed);
}

void SetReach(WorkerPool& pool, const WorkInHand& in_hand, MonoTime now) {
  std::map<std::string, Reached> reached;
  for (const auto& [service, millicores] : in_hand) {
    reached[service] = {};
  }
  for (WorkerSeat* seat : InOrder(pool)) {
    const std::string& service = seat->status.service;
    Reached& so_far = reached[service];
    seat->in_reach = so_far.workers < kLeastWorkers ||
                     so_far.millicores < RoomWantedFor(in_hand, service);
    if (seat->in_reach && seat->Usable(now)) {
      ++so_far.workers;
      so_far.millicores += seat->status.capacity.millicores;
    }
  }
  WorkerPool::Reaches reaches;
  for (const auto& [service, all] : reached) {
    const bool enough = all.millicores >= RoomWantedFor(in_hand, service);
    reaches[service] = {all.workers, enough};
  }
  pool.NoteReaches(std::move(reaches));
}

void SetReachToAll(WorkerPool& pool) {
  WorkerPool::Reaches reaches;
  for (auto& [name, seat] : pool.seats()) {
    seat.in_reach = true;
    WorkerPool::Reach& reach = reaches[seat.status.service];
    ++reach.workers;
    reach.enough = false;  // all there are
  }
  pool.NoteReaches(std::move(reaches));
}

}  // namespace egretswitch::internal
