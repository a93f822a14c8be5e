// Rendezvous hashing: each entry orders the agents by a hash of their names
// under a seed of its own. With three quarters of the fleet in use a worker is
// then in reach of three entries in the mean, of none with a chance of one in
// twenty. That evens out by itself: where more entries meet, their starts find
// no room and go on to other workers, and an entry that waits asks some of
// those out of its reach.
#include "worker_reach.h"

#include <algorithm>
#include <vector>

namespace egretswitch::internal {
namespace {

// Room in reach for each unit of work in hand: with less an entry finds no room
// while others leave some, with more its starts meet those of other entries.
constexpr double kSpare = 8;
// For the first jobs after a calm time: they have to wait for the next look at
// the work in hand otherwise, at most 0.1 s.
constexpr int kLeastWorkers = 8;

struct Reach {
  double millicores = 0;
  int workers = 0;
};

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

void SetReach(WorkerPool& pool, const WorkInHand& in_hand, MonoTime now) {
  std::map<std::string, Reach> reached;
  for (WorkerSeat* seat : InOrder(pool)) {
    const std::string& service = seat->status.service;
    Reach& reach = reached[service];
    const auto work = in_hand.find(service);
    const double wanted = work == in_hand.end() ? 0 : kSpare * work->second;
    seat->in_reach = reach.workers < kLeastWorkers || reach.millicores < wanted;
    if (seat->in_reach && seat->Usable(now)) {
      ++reach.workers;
      reach.millicores += seat->status.capacity.millicores;
    }
  }
}

void SetReachToAll(WorkerPool& pool) {
  for (auto& [name, seat] : pool.seats()) {
    seat.in_reach = true;
  }
}

}  // namespace egretswitch::internal
