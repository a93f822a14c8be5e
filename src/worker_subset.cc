// Rendezvous hashing: each entry orders the agents by a hash of their names
// under a seed of its own. With three quarters of the fleet in use, a worker is
// then in the subsets of three entries on average, and in none with a
// probability of one in twenty. The load still evens out: where many subsets
// overlap, starts are refused and go to other workers, and an entry with
// waiting jobs requests capacity from some workers outside its subset.
#include "worker_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace egretswitch::internal {
namespace {

// Capacity of the subset per unit of open work. With less, an entry finds no
// free capacity although other workers have some; with more, its starts collide
// with those of other entries.
constexpr double kCapacityFactor = 8;
// Serves the first jobs after an idle time, which would otherwise wait for the
// next selection, at most 0.1 s.
constexpr uint32_t kMinWorkers = 8;

struct Selected {
  uint32_t workers = 0;
  double millicores = 0;
};

double NeededMillicores(const OpenWork& work, const std::string& service) {
  const auto of_service = work.find(service);
  return of_service == work.end() ? 0 : kCapacityFactor * of_service->second;
}

std::vector<PooledWorker*> ByHash(WorkerPool& pool) {
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

void SelectSubset(WorkerPool& pool, const OpenWork& work, MonoTime now) {
  std::map<std::string, Selected> selected;
  for (const auto& [service, millicores] : work) {
    selected[service] = {};
  }
  for (PooledWorker* worker : ByHash(pool)) {
    const std::string& service = worker->status.service;
    Selected& so_far = selected[service];
    worker->in_subset = so_far.workers < kMinWorkers ||
                        so_far.millicores < NeededMillicores(work, service);
    if (worker->in_subset && worker->Usable(now)) {
      ++so_far.workers;
      so_far.millicores += worker->status.capacity.millicores;
    }
  }
  WorkerPool::Subsets subsets;
  for (const auto& [service, all] : selected) {
    const bool sufficient = all.millicores >= NeededMillicores(work, service);
    subsets[service] = {all.workers, sufficient};
  }
  pool.SetSubsets(std::move(subsets));
}

void SelectAllWorkers(WorkerPool& pool) {
  WorkerPool::Subsets subsets;
  for (auto& [name, worker] : pool.workers()) {
    worker.in_subset = true;
    WorkerPool::Subset& subset = subsets[worker.status.service];
    ++subset.workers;
    subset.sufficient = false;  // there are no further workers to select
  }
  pool.SetSubsets(std::move(subsets));
}

}  // namespace egretswitch::internal
