// Selects the subset of the workers that an entry uses: as many as its own work
// needs and some spare, in an order of its own, so that two entries share few
// of them.
//
//   an entry with 12 open tasks of 15 cores, workers of 64 and 96 cores
//     -> the first 20 workers of its order: eight times the needed capacity
//   a burst to 120 tasks
//     -> 193 workers, at the next selection
//
// An entry that uses every worker of a large fleet receives a report from each
// of them once in seconds, while a worker's free capacity changes some thirty
// times a second. Its records are outdated then, and half of its starts are
// refused. With few workers it receives reports from each of them often.
#ifndef EGRETSWITCH_SRC_WORKER_SUBSET_H_
#define EGRETSWITCH_SRC_WORKER_SUBSET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clock.h"
#include "worker_pool.h"

namespace egretswitch::internal {

// The millicores of the open tasks, waiting and running, of each service.
using OpenWork = std::map<std::string, double>;

// Returns the hash by which the entry with this seed orders the agents.
uint64_t RendezvousHash(std::string_view agent, uint64_t seed);

// Sets PooledWorker::in_subset of every worker. A worker that is unusable now
// is not counted, so that others take its place.
void SelectSubset(WorkerPool& pool, const OpenWork& work, MonoTime now);

// Selects every worker, for entries that are to use the whole fleet.
void SelectAllWorkers(WorkerPool& pool);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_SUBSET_H_
