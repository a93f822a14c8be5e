// An attempt is wanted as long as one of its runs is not reported as over, also
// if that run is to stop: its task can't be placed again before.
#include "agent_orders.h"

namespace egretswitch::internal {

void AgentOrders::Add(const OpenJob& job, const OpenTask& task) {
  if (attempts.empty() || attempts.back() != job.order) {
    attempts.push_back(job.order);
  }
  if (task.state == OpenTask::State::kStopping) {
    stops.push_back({job.job.id, task.step, {{task.index, task.run}}});
  }
}

}  // namespace egretswitch::internal
