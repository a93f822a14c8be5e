// Whether a run takes so much longer than its like that it had better run on
// another worker.
//
//   its step's slowest finished task took 60 ms   -> after 168 ms
//   none has finished, the caller's guess is 60   -> after 390 ms
#ifndef EGRETSWITCH_SRC_STRAGGLER_H_
#define EGRETSWITCH_SRC_STRAGGLER_H_

#include "clock.h"
#include "open_job.h"

namespace egretswitch::internal {

bool IsStraggler(const OpenJob& job, const OpenTask& task, MonoTime now);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STRAGGLER_H_
