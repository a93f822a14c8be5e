// Renewals, and the orders to stop that go with them. A link may be lost with
// all that was sent over it, so each renewal names everything that is wanted of
// the agent, and orders to stop are repeated until their runs are over.
//
//   job 5c0e abandoned, its link lost  -> nothing can be sent
//   PeerConnected{agent-3}             -> StopRuns{5c0e},
//                                         RenewRuns{wanted_attempts: 14, 15}
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "job_dispatcher.h"

namespace egretswitch::internal {

void JobDispatcher::SendDueRenewals() {
  if (!m_callers_checked) {
    return;
  }
  for (auto& [name, worker] : m_pool.workers()) {
    for (const AbandonedRuns::Attempt& over :
         worker.abandoned.TakeOver(m_now.mono)) {
      LogOver(name, over, "time_limit");
    }
  }
  const std::vector<RunRenewals::Due> due_renewals = TakeDueRenewals();
  if (due_renewals.empty()) {
    return;
  }
  std::map<std::pair<std::string_view, uint64_t>, AgentOrders> orders;
  for (const auto& [id, job] : m_jobs) {
    for (const OpenTask& task : job->tasks) {
      if (task.IsAtAgent()) {
        orders[{task.agent, task.agent_incarnation}].Add(*job, task);
      }
    }
  }
  for (const RunRenewals::Due& due : due_renewals) {
    SendRenewal(
        *due.worker, RenewRuns{.wanted = due.wanted},
        std::move(orders[{due.worker->agent, due.worker->incarnation}]));
  }
}

void JobDispatcher::SendRenewal(PooledWorker& worker,
                                RenewRuns renewal,
                                AgentOrders orders) {
  RepeatStops(worker, orders);
  renewal.sent_at_ms = worker.clock.Estimate(m_now.mono).value_or(0);
  renewal.wanted_attempts = std::move(orders.attempts);
  SendTo(worker, std::move(renewal));
}

// An agent of the former version takes no orders from the names in a renewal,
// so it needs the orders to stop. Those of an ended attempt name its job only,
// so none is sent while the job is open again.
void JobDispatcher::RepeatStops(PooledWorker& worker,
                                const AgentOrders& orders) {
  for (const StopRuns& stop : orders.stops) {
    m_counters.Add(RunCounter::kStopsRepeated);
    Log("stop of straggler repeated",
        {{"job", stop.job},
         {"task", absl::StrCat(stop.step, "/", stop.runs.front().index)},
         {"run", absl::StrCat(stop.runs.front().run)},
         {"agent", worker.agent}});
    SendTo(worker, stop);
  }
  for (AbandonedRuns::Attempt& ended :
       worker.abandoned.TakeDueOrders(m_now.mono)) {
    if (!m_jobs.contains(ended.job)) {
      m_counters.Add(RunCounter::kStopsRepeated);
      Log("order to stop sent", {{"job", ended.job},
                                 {"attempt", absl::StrCat(ended.attempt)},
                                 {"agent", worker.agent},
                                 {"runs", absl::StrCat(ended.runs)},
                                 {"orders", absl::StrCat(ended.orders)}});
      SendTo(worker,
             StopRuns{.job = std::move(ended.job), .step = 0, .runs = {}});
    }
  }
}

// Stops that are carried out at once show in the agent's log.
void JobDispatcher::LogOver(std::string_view agent,
                            const AbandonedRuns::Attempt& over,
                            std::string_view known_by) {
  const bool stopped_at_once =
      over.orders == 1 && over.runs == 0 && over.done == 0;
  if (stopped_at_once) {
    return;
  }
  Log("abandoned runs over",
      {{"job", over.job},
       {"attempt", absl::StrCat(over.attempt)},
       {"agent", std::string(agent)},
       {"known_by", std::string(known_by)},
       {"unreported", absl::StrCat(over.runs)},
       {"done", absl::StrCat(over.done)},
       {"orders", absl::StrCat(over.orders)},
       {"after_ms", MillisecondsText(m_now.mono - over.ended_at)}});
}

}  // namespace egretswitch::internal
