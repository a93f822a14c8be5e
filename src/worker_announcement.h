// The plain data of a worker's periodic announcement of itself.
#ifndef EGRETSWITCH_SRC_WORKER_ANNOUNCEMENT_H_
#define EGRETSWITCH_SRC_WORKER_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>

#include "msgpack_config.h"
#include "step_job.h"

namespace egretswitch::internal {

struct WorkerAnnouncement {
  std::string incarnation;
  std::string service;
  std::string kind;  // workers of the same kind are equally fast
  std::string rack;
  TaskNeeds capacity;
  bool leaving = false;   // accepts no new work; running tasks may finish
  uint64_t sequence = 0;  // increases with each announcement of an incarnation
  int64_t clock_ms = 0;   // the worker's steady clock
  bool operator==(const WorkerAnnouncement&) const = default;
  MSGPACK_DEFINE(incarnation,
                 service,
                 kind,
                 rack,
                 capacity,
                 leaving,
                 sequence,
                 clock_ms)
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_ANNOUNCEMENT_H_
