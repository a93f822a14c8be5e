// Detects stragglers: runs that take so much longer than expected that they
// should be restarted on another worker.
//
//   the slowest finished task of the step took 60 ms  -> after 168 ms
//   none has finished, the estimate is 60 ms          -> after 390 ms
#ifndef EGRETSWITCH_SRC_STRAGGLER_H_
#define EGRETSWITCH_SRC_STRAGGLER_H_

#include "clock.h"
#include "open_job.h"

namespace egretswitch::internal {

bool IsStraggler(const OpenJob& job, const OpenTask& task, MonoTime now);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STRAGGLER_H_
