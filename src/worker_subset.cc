// Rendezvous hashing: each entry orders the agents by a hash of their names
// under a seed of its own. With three quarters of the fleet in use a worker is
// then in reach of three entries in the mean, of none with a chance of one in
// twenty. That evens out by itself: where more entries meet, their starts find
// no room and go on to other workers, and an entry that waits asks some of
// those out of its reach.
#include "worker_subset.h"

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

double RoomWantedFor(const OpenWork& in_hand, const std::string& service) {
  const auto work = in_hand.find(service);
  return work == in_hand.end() ? 0 : kSpare * work->second;
}

std::vector<PooledWorker*> InOrder(WorkerPool& pool) {
  std::vector<PooledWorker*> order;
  for (auto& [name, worker] : pool.workers()) {
    order.push_back(&worker);
  }
  std::sort(order.begin(), order.end(),
            [](const PooledWorker* left, const PooledWorker* right) {
              return left->rendezvous_hash < right->rendezvous_hash;
            });
  return order;
}

}  // namespace

uint64_t RendezvousHash(std::string_view agent, uint64_t seed) {
  return XXH64(agent.data(), agent.size(), seed);
}

void SelectSubset(WorkerPool& pool, const OpenWork& in_hand, MonoTime now) {
  std::map<std::string, Reached> reached;
  for (const auto& [service, millicores] : in_hand) {
    reached[service] = {};
  }
  for (PooledWorker* worker : InOrder(pool)) {
    const std::string& service = worker->status.service;
    Reached& so_far = reached[service];
    worker->in_subset = so_far.workers < kLeastWorkers ||
                     so_far.millicores < RoomWantedFor(in_hand, service);
    if (worker->in_subset && worker->Usable(now)) {
      ++so_far.workers;
      so_far.millicores += worker->status.capacity.millicores;
    }
  }
  WorkerPool::Subsets subsets;
  for (const auto& [service, all] : reached) {
    const bool enough = all.millicores >= RoomWantedFor(in_hand, service);
    subsets[service] = {all.workers, enough};
  }
  pool.SetSubsets(std::move(subsets));
}

void SelectAllWorkers(WorkerPool& pool) {
  WorkerPool::Subsets subsets;
  for (auto& [name, worker] : pool.workers()) {
    worker.in_subset = true;
    WorkerPool::Subset& reach = subsets[worker.status.service];
    ++reach.workers;
    reach.enough = false;  // all there are
  }
  pool.SetSubsets(std::move(subsets));
}

}  // namespace egretswitch::internal
