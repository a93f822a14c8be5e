// What the log tells of a job that has ended, and of the workers that it found.
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

// Why a job found no room.
void AppendCapacityLogFields(const WorkerPool::View& view,
                             std::vector<NoteField>& fields);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_LOG_FIELDS_H_
