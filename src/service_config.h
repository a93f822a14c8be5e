// The operators' configuration: queues that accept jobs, and the services whose
// workers run them. A process uses one version at a time and never returns to
// an older one.
//
//   const JobQueue* queue = config.FindQueue("desk.example", "/stock/5c0e");
//   queue->service   // the workers that may run its tasks
#ifndef EGRETSWITCH_SRC_SERVICE_CONFIG_H_
#define EGRETSWITCH_SRC_SERVICE_CONFIG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "msgpack_config.h"

namespace egretswitch::internal {

// The longest time until a configuration is in force at every entry, unless the
// deployment's settings give another one.
inline constexpr absl::Duration kDefaultConfigApplyLimit = absl::Seconds(2);

struct JobQueue {
  std::string name;
  std::string host;         // of the request, without a port
  std::string path_prefix;  // ends before the job's id
  std::string service;
  uint32_t timeout_ms = 0;    // from a request's arrival to its answer
  uint32_t max_attempts = 1;  // failed runs of a task before its job fails
  uint32_t priority = 0;      // 0 is the most urgent
  double stretch = 1;         // the latency objective is `stretch` times the
  uint32_t objective_ms = 0;  // longest task, plus `objective_ms`
  bool operator==(const JobQueue&) const = default;
  MSGPACK_DEFINE(name,
                 host,
                 path_prefix,
                 service,
                 timeout_ms,
                 max_attempts,
                 priority,
                 stretch,
                 objective_ms)
};

struct ServiceConfig {
  uint64_t version = 0;  // 0 if none has been received
  std::vector<JobQueue> queues;
  bool operator==(const ServiceConfig&) const = default;
  MSGPACK_DEFINE(version, queues)

  // Returns the queue of `host` with the longest matching prefix of `path`, or
  // null if there is none.
  const JobQueue* FindQueue(std::string_view host, std::string_view path) const;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SERVICE_CONFIG_H_
