// Which workers an entry deals with: as many as its own work needs and some
// spare, in an order of its own, so that two entries share few of them.
//
//   an entry with 12 tasks of 15 cores in hand, workers of 64 and 96 cores
//     -> the first 20 workers of its order: eight times the room
//   a burst to 120 tasks
//     -> 193 workers, with the next look at what is in hand
//
// An entry that uses every worker of a large fleet hears from each of them once
// in seconds, while a worker's room changes some thirty times a second: what it
// believes of the room is of no use, and half of its starts are in vain. With
// few workers it hears from each of them often.
#ifndef EGRETSWITCH_SRC_WORKER_SUBSET_H_
#define EGRETSWITCH_SRC_WORKER_SUBSET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clock.h"
#include "worker_pool.h"

namespace egretswitch::internal {

// Of the tasks in hand of each service, waiting and running, in millicores.
using OpenWork = std::map<std::string, double>;

// The agent's place in the order of the entry with this seed.
uint64_t RendezvousHash(std::string_view agent, uint64_t seed);

// Sets PooledWorker::in_subset of every seat. A worker that can't be used now is
// not counted, so others take its place.
void SelectSubset(WorkerPool& pool, const OpenWork& in_hand, MonoTime now);

// Every worker, for entries that are to use the whole fleet.
void SelectAllWorkers(WorkerPool& pool);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_SUBSET_H_
