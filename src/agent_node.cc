#include "agent_node.h"

#include <map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "agent_lifecycle.h"
#include "entry_links.h"
#include "epoch_fence.h"
#include "kernel.h"
#include "node_context.h"
#include "slot_offers.h"
#include "slot_registration.h"
#include "start_admission.h"
#include "start_ledger.h"
#include "start_permissions.h"
#include "task_reporter.h"
#include "worker_slots.h"

namespace egretswitch::internal {
namespace {

// Services that need no other one, registered before those that find them.
struct PlainServices {
  explicit PlainServices(const AgentOptions& options)
      : context(options.self.incarnation),
        ledger(options.result_bytes_limit),
        slots(options.self.slots, options.self.capacity) {
    kernel.Register("context", &context);
    kernel.Register("links", &links);
    kernel.Register("fence", &fence);
    kernel.Register("permissions", &permissions);
    kernel.Register("ledger", &ledger);
    kernel.Register("slots", &slots);
    kernel.Register("offers", &offers);
  }

  template <typename Service>
  const Kernel& With(std::string_view name, Service* service) {
    kernel.Register(name, service);
    return kernel;
  }

  Kernel kernel;
  NodeContext context;
  EntryLinks links;
  EpochFence fence;
  StartPermissions permissions;
  StartLedger ledger;
  WorkerSlots slots;
  SlotOffers offers;
};

SlotRegistered RecordOf(const AgentOptions& options) {
  return {.name = options.self.name,
          .address = options.address,
          .data_centre = options.self.data_centre,
          .region = options.self.region};
}

std::string AppendIdOf(const Hello& self) {
  return absl::StrCat("slot/", self.name, "/", self.incarnation);
}

}  // namespace

class AgentNode::Impl {
 public:
  explicit Impl(AgentOptions options)
      : m_options(std::move(options)),
        m_plain(m_options),
        m_lifecycle(m_plain.kernel),
        m_reporter(m_plain.With("lifecycle", &m_lifecycle)),
        m_admission(m_plain.With("reporter", &m_reporter),
                    m_options.self.incarnation),
        m_registration(m_plain.kernel,
                       RecordOf(m_options),
                       AppendIdOf(m_options.self)) {}

  Actions Handle(const AgentEvent& event, Now now) {
    m_plain.context.Begin(now);
    m_lifecycle.Begin();
    m_registration.Begin();
    m_result_receivers.clear();
    std::visit([this](const auto& what) { On(what); }, event);
    ShareOutSlots();
    if (m_lifecycle.TakeBecameReady()) {
      m_reporter.TellStatusToAll();
    }
    m_reporter.Flush();
    m_lifecycle.StopIfDrained();
    return m_plain.context.TakeActions();
  }

  AgentReport Report() const {
    return {.slots = m_plain.slots.slots(),
            .running = static_cast<uint32_t>(m_plain.slots.running().size()),
            .ledger_entries = static_cast<uint32_t>(m_plain.ledger.size()),
            .entries_linked =
                static_cast<uint32_t>(m_plain.links.incarnations().size()),
            .leaving = m_lifecycle.leaving(),
            .ready = m_lifecycle.ready()};
  }

  const Counters& counters() const { return m_plain.context.counters(); }

 private:
  void On(const LinkUp& event);
  void On(const LinkDown& event);
  void On(const MessageArrived& event);
  void On(const Tick&);
  void On(const BeginDrain&);
  void On(const LogAppendDone& event) {
    m_registration.OnAppendDone(event.append_id);
  }
  void On(const LogAppendFailed& event) {
    m_registration.OnAppendFailed(event.append_id);
  }
  void On(const WorkerTasksListed& event);
  void On(const WorkerTaskEnded& event);
  void On(const WorkerLost&);

  void OnMessage(const MessageArrived& from, const StartTasks& message);
  void OnMessage(const MessageArrived& from, const CancelTasks& message);
  void OnMessage(const MessageArrived& from, const FenceShards& message);
  void OnMessage(const MessageArrived& from, const WantSlots& message);
  // Messages between entries, and those that only an agent sends.
  template <typename Other>
  void OnMessage(const MessageArrived&, const Other&) {}

  void ForgetLink(std::string_view peer);
  void EndTask(const RunningTask& running, const WorkerTaskEnded& ended);
  void ShareOutSlots();

  AgentOptions m_options;
  PlainServices m_plain;
  AgentLifecycle m_lifecycle;
  TaskReporter m_reporter;
  StartAdmission m_admission;
  SlotRegistration m_registration;
  // Entries that this event's ended tasks are reported to, one for each task.
  std::vector<std::string> m_result_receivers;
};

void AgentNode::Impl::On(const LinkUp& event) {
  if (event.peer.role != ProcessRole::kEntry) {
    return;
  }
  ForgetLink(event.peer.name);
  m_plain.links.Up(event.peer.name, event.peer.incarnation);
  m_lifecycle.NoteActivity();
  m_reporter.TellStatus(event.peer.name);
}

void AgentNode::Impl::On(const LinkDown& event) {
  if (m_plain.links.IsCurrent(event.peer, event.incarnation)) {
    ForgetLink(event.peer);
    m_lifecycle.NoteActivity();
  }
}

void AgentNode::Impl::ForgetLink(std::string_view peer) {
  m_plain.links.Down(peer);
  m_plain.permissions.Revoke(peer);
  m_plain.offers.Withdraw(peer);
}

void AgentNode::Impl::On(const MessageArrived& event) {
  m_plain.context.counters().Add(Counter::kMessagesReceived);
  if (!m_plain.links.IsCurrent(event.peer, event.incarnation)) {
    return;
  }
  std::visit([&](const auto& message) { OnMessage(event, message); },
             event.message);
}

void AgentNode::Impl::On(const Tick&) {
  m_plain.ledger.Expire(m_plain.context.now().wall_ms);
}

void AgentNode::Impl::On(const BeginDrain&) {
  m_lifecycle.BeginDrain();
  m_reporter.TellStatusToAll();
}

// Tasks that a former process of this agent started still use slots, and
// whoever takes over their shard must know that they started.
void AgentNode::Impl::On(const WorkerTasksListed& event) {
  for (const WorkerTask& task : event.running) {
    if (m_plain.slots.Take(task.lease, {.key = task.key,
                                        .index = task.index,
                                        .digest = 0,
                                        .needs = {},
                                        .reporter = {}})) {
      m_plain.ledger.AddUnknown(task, m_options.self.memory_since_ms);
    }
  }
  m_lifecycle.OnWorkerTasksListed();
}

void AgentNode::Impl::On(const WorkerTaskEnded& event) {
  const auto running = m_plain.slots.Release(event.lease);
  if (running.has_value()) {
    EndTask(*running, event);
  }
  m_plain.ledger.EnforceResultLimit();
}

// Every linked entry is told that there is nothing to be had here.
void AgentNode::Impl::On(const WorkerLost&) {
  if (m_lifecycle.ready()) {
    m_reporter.TellStatusToAll();
  }
  m_lifecycle.OnWorkerLost();
  const std::map<LeaseId, RunningTask> running = m_plain.slots.running();
  for (const auto& [lease, task] : running) {
    m_plain.slots.Release(lease);
    EndTask(task, {.lease = lease,
                   .status = TaskStatus::kLost,
                   .payload = {},
                   .run_ms = 0});
  }
}

// A task of a former process, or one whose submission is past the horizon, has
// no digest or no job to match: its slot is free, there is nobody to tell.
void AgentNode::Impl::EndTask(const RunningTask& running,
                              const WorkerTaskEnded& ended) {
  const auto& [key, index, digest, needs, entry] = running;
  const HeldJob* job = m_plain.ledger.Find(key);
  HeldTask* task = m_plain.ledger.FindTask(key, index);
  if (task == nullptr || job->digest != digest ||
      task->state != TaskState::kRunning) {
    return;
  }
  m_result_receivers.push_back(entry);
  m_lifecycle.NoteActivity();
  if (ended.status == TaskStatus::kRefusedByWorker) {
    m_reporter.Refuse(entry, key, index, TaskStatus::kRefusedByWorker);
    m_plain.ledger.Forget(key, index);
    return;
  }
  m_plain.context.counters().Add(Counter::kTaskResults);
  m_plain.ledger.Finish(key, index, ended);
  task->delivered = m_reporter.Report(entry, ReportOf(key, index, *task));
}

void AgentNode::Impl::OnMessage(const MessageArrived& from,
                                const StartTasks& message) {
  m_admission.OnStartTasks(from.peer, from.incarnation, message);
  if (!message.attach_only) {
    m_plain.offers.SetWant(from.peer, message.want);
  }
}

void AgentNode::Impl::OnMessage(const MessageArrived&,
                                const CancelTasks& message) {
  if (!m_plain.fence.Admit(message.shard, message.epoch)) {
    return;
  }
  for (const auto& [lease, task] : m_plain.slots.running()) {
    if (task.key == message.key) {
      m_plain.context.Do(StopOnWorker{lease});
    }
  }
}

// The reply names the fences as they stand: a sender that is already replaced
// sees a higher epoch than its own.
void AgentNode::Impl::OnMessage(const MessageArrived& from,
                                const FenceShards& message) {
  FenceReply reply;
  reply.memory_since_ms = m_options.self.memory_since_ms;
  for (const auto& [shard, epoch] : message.shards) {
    m_plain.fence.Raise(shard, epoch);
    reply.shards.push_back({shard, m_plain.fence.Of(shard)});
  }
  reply.holdings = m_plain.ledger.HoldingsOf(message.shards);
  m_plain.context.Send(from.peer, std::move(reply));
}

void AgentNode::Impl::OnMessage(const MessageArrived& from,
                                const WantSlots& message) {
  m_plain.offers.SetWant(from.peer, message);
}

// Ends old offers and offers every slot that is free and not kept for anyone.
void AgentNode::Impl::ShareOutSlots() {
  const MonoTime now = m_plain.context.now().mono;
  const uint32_t expired = m_plain.offers.Expire(now);
  m_plain.context.counters().Add(Counter::kOffersExpired, expired);
  const uint32_t free = m_plain.slots.free();
  const uint32_t reserved = m_plain.offers.reserved();
  if (!m_lifecycle.accepts_starts() || free <= reserved) {
    return;
  }
  for (const std::string& entry :
       m_plain.offers.Distribute(free - reserved, m_result_receivers, now)) {
    m_reporter.TellStatus(entry);
  }
}

AgentNode::AgentNode(AgentOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

AgentNode::~AgentNode() = default;

Actions AgentNode::Handle(const AgentEvent& event, Now now) {
  return m_impl->Handle(event, now);
}

AgentReport AgentNode::Report() const {
  return m_impl->Report();
}

const Counters& AgentNode::counters() const {
  return m_impl->counters();
}

}  // namespace egretswitch::internal
