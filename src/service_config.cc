#include "service_config.h"

namespace egretswitch::internal {

const JobQueue* ServiceConfig::FindQueue(std::string_view host,
                                         std::string_view path) const {
  const JobQueue* best = nullptr;
  for (const JobQueue& queue : queues) {
    const bool matches =
        queue.host == host && path.starts_with(queue.path_prefix);
    if (matches && (best == nullptr ||
                    queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace egretswitch::internal
