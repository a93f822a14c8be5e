// Simple policies to compare with, as queues on the same arrivals and delays.
//
//   RunRandomWorker(workload, 7);       // rejects when the worker is full
//   RunTwoChoices(workload, 7);         // the shorter of two workers' queues
//   RunCentralQueue(workload);          // knows all, costs nothing
#ifndef EGRETSWITCH_BENCH_POLICY_QUEUE_MODELS_H_
#define EGRETSWITCH_BENCH_POLICY_QUEUE_MODELS_H_

#include <cstdint>

#include "policy_run.h"

namespace egretswitch::bench {

// Baseline 0: each task to a worker at random; a full worker refuses it and
// the job fails with it.
PolicyRun RunRandomWorker(const Workload& workload, uint64_t seed);

// Baseline 1: each task asks two workers at random and joins the shorter queue;
// workers serve first come and drop what is past its deadline.
PolicyRun RunTwoChoices(const Workload& workload, uint64_t seed);

// The reference that can't be built: one queue that knows every run time and
// starts the job with the least work left, its longest task first. It knows
// which worker is in trouble and leaves it out.
PolicyRun RunCentralQueue(const Workload& workload);

}  // namespace egretswitch::bench

#endif  // EGRETSWITCH_BENCH_POLICY_QUEUE_MODELS_H_
