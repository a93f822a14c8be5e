// Log fields of an ended job and of the workers that were available to it.
//
//   JobEndLogFields(job, answer, now)  -> {{"job", "5c0e"}, {"verdict", ...}}
#ifndef EGRETSWITCH_SRC_JOB_LOG_FIELDS_H_
#define EGRETSWITCH_SRC_JOB_LOG_FIELDS_H_

#include <vector>

#include "clock.h"
#include "open_job.h"
#include "run_events.h"
#include "worker_pool.h"

namespace egretswitch::internal {

std::vector<NoteField> JobEndLogFields(const OpenJob& job,
                                       const JobAnswer& answer,
                                       MonoTime now);

// Whether the line on the job's end may be omitted when there are many: the job
// was cancelled, or answered within its objective without moving a run.
bool IsRoutineEnd(const OpenJob& job, const JobAnswer& answer, MonoTime now);

// Appends what shows why a job found no free capacity.
void AppendCapacityLogFields(const WorkerPool::View& view,
                             std::vector<NoteField>& fields);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_LOG_FIELDS_H_
