#include "task_reporter.h"

#include <utility>

namespace egretswitch::internal {

TaskReporter::TaskReporter(const Kernel& kernel)
    : m_context(kernel.Find<NodeContext>("context")),
      m_links(kernel.Find<EntryLinks>("links")),
      m_permissions(kernel.Find<StartPermissions>("permissions")),
      m_slots(kernel.Find<WorkerSlots>("slots")),
      m_offers(kernel.Find<SlotOffers>("offers")),
      m_lifecycle(kernel.Find<AgentLifecycle>("lifecycle")) {}

bool TaskReporter::Report(std::string_view entry, TaskReport report) {
  if (!m_links.IsUp(entry)) {
    return false;
  }
  m_pending[std::string(entry)].push_back(std::move(report));
  return true;
}

void TaskReporter::Refuse(std::string_view entry,
                          const SubmissionKey& key,
                          uint32_t index,
                          TaskStatus reason) {
  CountRefusal(reason);
  Report(entry, {.key = key,
                 .index = index,
                 .status = reason,
                 .payload = {},
                 .run_ms = 0});
}

void TaskReporter::TellStatus(std::string_view entry) {
  if (m_links.IsUp(entry)) {
    m_pending.try_emplace(std::string(entry));
  }
}

void TaskReporter::TellStatusToAll() {
  for (const auto& [entry, incarnation] : m_links.incarnations()) {
    TellStatus(entry);
  }
}

void TaskReporter::Flush() {
  for (auto& [entry, reports] : std::exchange(m_pending, {})) {
    const auto link = m_links.incarnations().find(entry);
    if (link == m_links.incarnations().end()) {
      continue;
    }
    const AgentStatus status = StatusFor(entry, link->second);
    if (reports.empty()) {
      m_context.Send(entry, status);
    } else {
      m_context.Send(entry, TaskReports{status, std::move(reports)});
    }
  }
}

AgentStatus TaskReporter::StatusFor(std::string_view entry,
                                    uint64_t incarnation) {
  AgentStatus status;
  status.permission =
      m_permissions.Issue(entry, incarnation, m_context.now().mono);
  status.leaving = m_lifecycle.leaving();
  if (m_lifecycle.accepts_starts()) {
    const uint32_t reserved = m_offers.ReservedForOthers(entry);
    const uint32_t free = m_slots.free();
    status.free_slots = free > reserved ? free - reserved : 0;
    status.offered = m_offers.OfferedTo(entry);
  }
  return status;
}

void TaskReporter::CountRefusal(TaskStatus reason) {
  Counters& counters = m_context.counters();
  switch (reason) {
    case TaskStatus::kFull:
      return counters.Add(Counter::kRetryFull);
    case TaskStatus::kLeaving:
      return counters.Add(Counter::kRetryLeaving);
    case TaskStatus::kStalePermission:
      return counters.Add(Counter::kRetryStalePermission);
    case TaskStatus::kFenced:
      return counters.Add(Counter::kRetryFenced);
    case TaskStatus::kOtherIncarnation:
      return counters.Add(Counter::kRetryOtherIncarnation);
    case TaskStatus::kRefusedByWorker:
      return counters.Add(Counter::kRetryRefusedByWorker);
    case TaskStatus::kConflict:
      return counters.AddRefusal(RefusalReason::kIdConflict);
    case TaskStatus::kLost:
      return counters.AddRefusal(RefusalReason::kUnknownPast);
    default:  // kNotHeld answers a question and refuses nothing
      return;
  }
}

}  // namespace egretswitch::internal
