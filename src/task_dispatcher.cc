#include "task_dispatcher.h"

#include <algorithm>
#include <utility>

namespace egretswitch::internal {

TaskDispatcher::TaskDispatcher(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_queue(kernel.Find<DispatchQueue>("queue")),
      m_picker(kernel.Find<AgentPicker>("picker")),
      m_store(kernel.Find<JobStore>("store")),
      m_wants(kernel.Find<SlotWants>("wants")) {
  kernel.Register("dispatch", this);
}

namespace {

// Whether a worker of that capacity can run some waiting task of the job.
bool FitsJob(const OwnedJob& job, const TaskNeeds& capacity) {
  const auto fits_task = [&](uint32_t index) {
    return FitsCapacity(job.submission.tasks[index].needs, capacity);
  };
  return job.uniform_needs
             ? fits_task(job.waiting.back())
             : std::any_of(job.waiting.begin(), job.waiting.end(), fits_task);
}

}  // namespace

void TaskDispatcher::RunPass() {
  m_short_of_slots = false;
  if (m_queue.empty()) {
    return;
  }
  m_queue.Advance(m_entry.context.now().mono, m_picker.total_slots());
  m_queue.BeginPass();
  const OwnedJob* unplaced = nullptr;
  while (m_picker.AnyUsable()) {
    OwnedJob* job = m_queue.Head();
    if (!job) {
      break;
    }
    if (!StartSome(*job) && PassOver(*job) && !unplaced) {
      unplaced = job;
    }
  }
  const OwnedJob* first = unplaced ? unplaced : m_queue.Head();
  SendStarts(first);
  if (first) {
    AskForSlots(*first);
  }
}

// Each start carries what still waits when the pass has ended, so the starts
// of a pass go out together.
void TaskDispatcher::SendStarts(const OwnedJob* first_waiting) {
  const WantSlots want = first_waiting ? WantOf(*first_waiting) : WantSlots{};
  for (auto& [agent, start] : std::exchange(m_starts, {})) {
    start.want = m_wants.WithStart(agent, want);
    m_entry.context.Send(m_picker.NameOf(agent), std::move(start));
  }
}

WantSlots TaskDispatcher::WantOf(const OwnedJob& first_waiting) const {
  WantSlots want{m_queue.waiting(), std::max(1.0, first_waiting.place.work_ms)};
  const auto& rows = m_entry.control.rows();
  const auto row = rows.find(first_waiting.submission.kind);
  if (row != rows.end()) {
    want.prefer_response = row->second.row.prefer_response;
  }
  return want;
}

bool TaskDispatcher::PassOver(OwnedJob& job) {
  const auto& tasks = job.submission.tasks;
  const bool placeable =
      std::all_of(job.waiting.begin(), job.waiting.end(), [&](uint32_t index) {
        return m_picker.AnyLinkedFits(tasks[index].needs);
      });
  if (placeable) {
    m_queue.PassOver(job);
  } else {
    m_store.SetUnplaceable(job, true);
  }
  return placeable;
}

void TaskDispatcher::AskForSlots(const OwnedJob& job) {
  m_short_of_slots = true;
  if (!m_entry.authority.MayStart(m_entry.context.now().mono)) {
    return;  // no slot would be of use
  }
  m_wants.Ask(WantOf(job), [&](const TaskNeeds& capacity) {
    return FitsJob(job, capacity);
  });
}

bool TaskDispatcher::StartSome(OwnedJob& job) {
  const std::optional<AgentId> agent = m_picker.Pick(
      [&](const TaskNeeds& capacity) { return FitsJob(job, capacity); });
  if (!agent) {
    return false;
  }
  const KnownAgent& known = *m_picker.Known(*agent);
  const QueueRow& row = m_queue.row(job.row);
  const uint32_t most =
      std::min(m_picker.UsableSlots(*agent), row.running_limit - row.running);
  const std::vector<uint32_t> indexes =
      TakeTasks(job, known.hello.capacity, most);
  StartTasks start = MakeStart(job, known);
  for (const uint32_t index : indexes) {
    start.tasks.push_back({index, job.submission.tasks[index]});
    m_store.MarkSent(job, index, *agent, known.hello.incarnation);
  }
  const auto count = static_cast<uint32_t>(indexes.size());
  CountOffers(*agent, count);
  m_entry.context.counters().Add(Counter::kTaskStarts, count);
  m_starts.push_back({*agent, std::move(start)});
  m_entry.agents.OnStartsSent(m_picker.NameOf(*agent), count);
  m_picker.OnStartsSent(*agent);
  m_queue.Charge(job, count);
  m_queue.Put(job);
  return true;
}

std::vector<uint32_t> TaskDispatcher::TakeTasks(OwnedJob& job,
                                                const TaskNeeds& capacity,
                                                uint32_t most) {
  std::vector<uint32_t> taken;
  for (size_t at = job.waiting.size(); at > 0 && taken.size() < most; --at) {
    const uint32_t index = job.waiting[at - 1];
    if (job.uniform_needs ||
        FitsCapacity(job.submission.tasks[index].needs, capacity)) {
      taken.push_back(index);
      job.waiting.erase(job.waiting.begin() + static_cast<ptrdiff_t>(at - 1));
    }
  }
  return taken;
}

StartTasks TaskDispatcher::MakeStart(const OwnedJob& job,
                                     const KnownAgent& agent) const {
  StartTasks start;
  start.permission = agent.permission;
  start.agent_incarnation = agent.hello.incarnation;
  start.shard = job.shard;
  start.epoch = m_entry.authority.EpochOf(job.shard);
  start.key = job.submission.key;
  start.digest = job.digest;
  start.task_count = static_cast<uint32_t>(job.tasks.size());
  start.submitted_ms = job.submission.submitted_ms;
  start.deadline_ms = job.submission.deadline_ms;
  return start;
}

void TaskDispatcher::CountOffers(AgentId agent, uint32_t count) {
  const uint32_t taken = std::min(count, m_picker.Known(agent)->offered);
  if (taken > 0) {
    m_entry.context.counters().Add(Counter::kOffersTaken, taken);
  }
}

void TaskDispatcher::Attach(const OwnedJob& job,
                            AgentId agent,
                            const std::vector<uint32_t>& indexes) {
  const KnownAgent* known = m_picker.Known(agent);
  if (!known || !known->linked) {
    return;  // asked when its link comes up
  }
  StartTasks attach = MakeStart(job, *known);
  attach.attach_only = true;
  for (const uint32_t index : indexes) {
    attach.tasks.push_back({index, TaskSpec{}});
  }
  m_entry.context.Send(m_picker.NameOf(agent), std::move(attach));
}

}  // namespace egretswitch::internal
