#include "start_admission.h"

#include "absl/strings/str_cat.h"
#include "node_limits.h"

namespace egretswitch::internal {

StartAdmission::StartAdmission(const Kernel& kernel, uint64_t own_incarnation)
    : m_context(kernel.Find<NodeContext>("context")),
      m_fence(kernel.Find<EpochFence>("fence")),
      m_ledger(kernel.Find<StartLedger>("ledger")),
      m_lifecycle(kernel.Find<AgentLifecycle>("lifecycle")),
      m_offers(kernel.Find<SlotOffers>("offers")),
      m_permissions(kernel.Find<StartPermissions>("permissions")),
      m_reporter(kernel.Find<TaskReporter>("reporter")),
      m_slots(kernel.Find<WorkerSlots>("slots")),
      m_own_incarnation(own_incarnation) {}

void StartAdmission::OnStartTasks(std::string_view entry,
                                  uint64_t sender,
                                  const StartTasks& request) {
  const bool admitted = m_fence.Admit(request.shard, request.epoch);
  for (const TaskStart& task : request.tasks) {
    if (!admitted) {
      AnswerFenced(entry, request, task.index);
    } else if (AnswerHeld(entry, request, task.index)) {
      continue;
    } else if (request.attach_only) {
      m_reporter.Refuse(entry, request.key, task.index,
                        AnswerToAttach(request));
    } else {
      StartOrRefuse(entry, sender, request, task);
    }
  }
}

void StartAdmission::StartOrRefuse(std::string_view entry,
                                   uint64_t sender,
                                   const StartTasks& request,
                                   const TaskStart& task) {
  const TaskNeeds& needs = task.spec.needs;
  const auto refusal = ReasonToRefuse(entry, sender, request, needs);
  if (!refusal.has_value()) {
    Start(entry, request, task);
    return;
  }
  m_reporter.Refuse(entry, request.key, task.index, *refusal);
  if (refusal == TaskStatus::kFull && !m_slots.Fits(needs)) {
    m_slots.NoteMisfit();
  }
}

// kFenced promises "not run", so it is no answer for a task that is held. Its
// end is told, but the reports stay with the entry that attached since; while
// it runs there is nothing true to tell, and the sender is about to learn that
// it has lost the shard.
void StartAdmission::AnswerFenced(std::string_view entry,
                                  const StartTasks& request,
                                  uint32_t index) {
  const HeldJob* job = m_ledger.Find(request.key);
  const HeldTask* task = m_ledger.FindTask(request.key, index);
  if (task == nullptr || (job->digest != 0 && job->digest != request.digest)) {
    m_reporter.Refuse(entry, request.key, index, TaskStatus::kFenced);
  } else if (task->state != TaskState::kRunning) {
    m_reporter.Report(entry, ReportOf(request.key, index, *task));
  }
}

// Answers for a task that was started before, whatever the permission: this
// is what makes a repeated start harmless. False when it is not held.
bool StartAdmission::AnswerHeld(std::string_view entry,
                                const StartTasks& request,
                                uint32_t index) {
  const HeldJob* job = m_ledger.Find(request.key);
  if (job == nullptr) {
    return false;
  }
  if (job->digest != 0 && job->digest != request.digest) {
    m_reporter.Refuse(entry, request.key, index, TaskStatus::kConflict);
    return true;
  }
  HeldTask* task = m_ledger.FindTask(request.key, index);
  if (task == nullptr) {
    return false;
  }
  if (task->state == TaskState::kRunning) {
    m_slots.SetReporter(request.key, index, entry);
  } else {
    m_reporter.Report(entry, ReportOf(request.key, index, *task));
    task->delivered = true;
    m_lifecycle.NoteActivity();
  }
  return true;
}

// kNotHeld promises "never started here". Of a former process's starts, and of
// those that the ledger may have dropped, that is not known.
TaskStatus StartAdmission::AnswerToAttach(const StartTasks& request) const {
  const bool is_known =
      request.agent_incarnation == m_own_incarnation &&
      StartLedger::Remembers(request.submitted_ms, m_context.now().wall_ms);
  return is_known ? TaskStatus::kNotHeld : TaskStatus::kLost;
}

std::optional<TaskStatus> StartAdmission::ReasonToRefuse(
    std::string_view entry,
    uint64_t sender,
    const StartTasks& request,
    const TaskNeeds& needs) const {
  const Now& now = m_context.now();
  if (!StartLedger::Remembers(request.submitted_ms, now.wall_ms)) {
    return TaskStatus::kLost;  // it may have run and been forgotten
  }
  if (request.agent_incarnation != m_own_incarnation) {
    return TaskStatus::kOtherIncarnation;
  }
  if (!m_lifecycle.ready() ||
      !m_permissions.IsValid(entry, sender, request.permission, now.mono)) {
    return TaskStatus::kStalePermission;
  }
  if (request.submitted_ms + kHorizonMs < now.wall_ms) {
    return TaskStatus::kFenced;
  }
  if (m_lifecycle.leaving()) {
    return TaskStatus::kLeaving;
  }
  if (!HasRoom(entry, needs)) {
    return TaskStatus::kFull;
  }
  return std::nullopt;
}

bool StartAdmission::HasRoom(std::string_view entry,
                             const TaskNeeds& needs) const {
  return m_slots.free() > m_offers.ReservedForOthers(entry) &&
         m_slots.Fits(needs);
}

void StartAdmission::Start(std::string_view entry,
                           const StartTasks& request,
                           const TaskStart& task) {
  const LeaseId lease = absl::StrCat(m_own_incarnation, "-", ++m_last_lease);
  m_ledger.AddRunning(request, task.index);
  m_slots.Take(lease, {.key = request.key,
                       .index = task.index,
                       .digest = request.digest,
                       .needs = task.spec.needs,
                       .reporter = std::string(entry)});
  if (m_offers.Consume(entry)) {
    m_context.counters().Add(Counter::kOffersTaken);
  }
  m_context.counters().Add(Counter::kTaskStarts);
  m_context.Do(StartOnWorker{.lease = lease,
                             .key = request.key,
                             .index = task.index,
                             .spec = task.spec,
                             .deadline_ms = request.deadline_ms});
}

}  // namespace egretswitch::internal
