// The period is bounded for all services together: the jobs of a service that
// has no worker at all are refused at once after it.
#include "first_workers.h"

namespace egretswitch::internal {

void FirstWorkers::RecordJob(MonoTime now) {
  if (m_until == absl::InfiniteDuration()) {
    m_until = now + kFirstWorkerTimeout;
  }
}

void FirstWorkers::RecordWorker(const std::string& service) {
  m_services.insert(service);
}

}  // namespace egretswitch::internal
