// Cancels jobs of callers of this and of other entries.
//
//   DELETE /checks/5c0e...  -> CancelRequested -> search -> AnswerCancel -> 200
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "logging.h"
#include "step_entry_daemon.h"

namespace egretswitch::internal {

void StepEntryDaemon::OnCancel(const HttpRequest& request,
                               const JobQueue& queue,
                               const Responder& responder) {
  std::string job = request.path.substr(queue.path_prefix.size());
  if (!m_platform.callers.IsJobId(job)) {
    responder.Answer(m_platform.callers.EncodeCancel(CancelVerdict::kNotFound));
    return;
  }
  const CallId number = ++m_last_call;
  m_cancel_calls.emplace(number, responder);
  DeliverCancel(CancelRequested{number, std::move(job)});
}

std::vector<bool> StepEntryDaemon::CancelHere(
    absl::Span<const std::string> jobs) {
  const std::vector<std::string> news =
      m_dispatcher.cancelled_jobs().NewsAmong(jobs, EventLoop::MonoNow());
  Deliver(JobsCancelled{{jobs.begin(), jobs.end()}});
  DeliverToExchange(CancelsRecorded{news});
  std::vector<bool> held;
  for (const std::string& job : jobs) {
    held.push_back(m_dispatcher.HasCancelled(job));
  }
  return held;
}

void StepEntryDaemon::DeliverCancel(const CancelEvent& event) {
  const CancelActions actions =
      m_cancel_search.Handle(event, EventLoop::MonoNow());
  if (std::holds_alternative<CancelRequested>(event)) {
    DeliverToExchange(CancelsAcknowledged{});
  }
  for (const CancelAction& action : actions) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
  m_cancel_wake.Arm(m_cancel_search.NextWake());
  FlushLog();
}

void StepEntryDaemon::DeliverToExchange(const CancelExchangeEvent& event) {
  for (const CancelExchangeAction& action :
       m_cancel_exchange.Handle(event, EventLoop::MonoNow())) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
  m_cancel_exchange_wake.Arm(m_cancel_exchange.NextWake());
  FlushLog();
}

void StepEntryDaemon::Perform(const MergeCancelledJobs& merge) {
  Deliver(CancelledJobsReceived{merge.jobs});
}

void StepEntryDaemon::Perform(const CancelMemoryComplete&) {
  Deliver(CancelMemoryChanged{.complete = true});
}

void StepEntryDaemon::Perform(const AnswerCancel& answer) {
  const auto call = m_cancel_calls.find(answer.call);
  call->second.Answer(m_platform.callers.EncodeCancel(answer.verdict));
  m_cancel_calls.erase(call);
}

}  // namespace egretswitch::internal
