#include "job_service.h"

#include <utility>

#include "admission.h"
#include "agent_picker.h"
#include "cancel_calls.h"
#include "dispatch_queue.h"
#include "entry_refs.h"
#include "job_closer.h"
#include "job_front.h"
#include "job_intake.h"
#include "job_owner.h"
#include "job_store.h"
#include "kernel.h"
#include "owner_shares.h"
#include "slot_wants.h"
#include "task_dispatcher.h"
#include "task_progress.h"

namespace egretswitch::internal {

// The services in the order in which they find each other.
class JobService::Impl {
 public:
  explicit Impl(EntryRefs refs) : entry(std::move(refs)) {
    kernel.Register("entry", &entry);
    kernel.Register("queue", &queue);
    parts = std::make_unique<Parts>(kernel);
  }

  struct Parts {
    explicit Parts(Kernel& kernel)
        : picker(kernel),
          store(kernel),
          shares(kernel),
          wants(kernel),
          admission(kernel),
          closer(kernel),
          dispatcher(kernel),
          intake(kernel),
          progress(kernel),
          owner(kernel),
          cancels(kernel),
          front(kernel) {}

    AgentPicker picker;
    JobStore store;
    OwnerShares shares;
    SlotWants wants;
    Admission admission;
    JobCloser closer;
    TaskDispatcher dispatcher;
    JobIntake intake;
    TaskProgress progress;
    JobOwner owner;
    CancelCalls cancels;
    JobFront front;
  };

  Kernel kernel;
  EntryRefs entry;
  DispatchQueue queue;
  std::unique_ptr<Parts> parts;
};

JobService::JobService(NodeContext& context,
                       const ControlState& control,
                       const ShardAuthority& authority,
                       AgentDirectory& agents,
                       const Hello& self,
                       uint32_t shard_count)
    : m_impl(std::make_unique<Impl>(
          EntryRefs{context, control, authority, agents, self, shard_count})) {}

JobService::~JobService() = default;

void JobService::OnCallerSubmitted(CallerToken token, Submission submission) {
  m_impl->parts->front.Submit(token, std::move(submission));
  m_impl->parts->owner.Dispatch();
}

void JobService::OnCallerCancelled(CallerToken token,
                                   const SubmissionKey& key) {
  m_impl->parts->front.Cancel(token, key);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnCallerGone(CallerToken token) {
  m_impl->parts->front.CallerGone(token);
}

void JobService::OnForward(std::string_view entry, Forward forward) {
  m_impl->parts->owner.OnForward(entry, std::move(forward));
  m_impl->parts->owner.Dispatch();
}

void JobService::OnForwardAnswer(std::string_view entry, ForwardAnswer answer) {
  m_impl->parts->front.OnForwardAnswer(entry, answer);
}

void JobService::OnForwardMoved(std::string_view entry,
                                const ForwardMoved& moved) {
  m_impl->parts->front.OnForwardMoved(entry, moved);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnCancelJob(std::string_view entry, const CancelJob& cancel) {
  m_impl->parts->owner.OnCancelJob(entry, cancel.key);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnEntryLinkUp(const Hello& entry) {
  m_impl->parts->front.OnEntryLinkUp(entry);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnEntryLinkDown(std::string_view name, uint64_t incarnation) {
  m_impl->parts->front.OnEntryLinkDown(name, incarnation);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnEntryEnded(std::string_view name, uint64_t incarnation) {
  m_impl->parts->front.OnEntryEnded(name, incarnation);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnTaskReports(std::string_view agent,
                               const TaskReports& reports) {
  m_impl->parts->progress.OnReports(agent, reports);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnAgentStatus(std::string_view agent) {
  m_impl->parts->progress.OnStatus(agent);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnAgentLinkUp(const Hello& agent) {
  m_impl->parts->progress.OnLinkUp(agent);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnAgentLinkDown(std::string_view name, uint64_t) {
  m_impl->parts->progress.OnLinkDown(name);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnAgentRefused(std::string_view name) {
  m_impl->parts->progress.OnRefused(name);
  m_impl->parts->owner.Dispatch();
}

// The owner before the front: the front then sends its own requests here, or
// on to the next owner.
void JobService::OnShardServing(ShardId shard) {
  m_impl->parts->owner.OnShardServing(shard);
  m_impl->parts->front.OnShardChanged(shard);
  m_impl->parts->owner.Dispatch();
}

std::vector<ReleasedJob> JobService::StartedJobs(ShardId shard) const {
  return m_impl->parts->store.StartedJobs(shard);
}

void JobService::OnShardLost(ShardId shard) {
  m_impl->parts->owner.OnShardLost(shard);
  m_impl->parts->front.OnShardLost(shard);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnOwnerChanged(ShardId shard) {
  m_impl->parts->front.OnShardChanged(shard);
  m_impl->parts->owner.Dispatch();
}

void JobService::OnTableChanged() {
  m_impl->parts->owner.Dispatch();
}

void JobService::OnTick() {
  m_impl->parts->owner.OnTick();
  m_impl->parts->front.OnTick();
  m_impl->parts->owner.Dispatch();
}

void JobService::BeginDrain() {
  m_impl->parts->front.BeginDrain();
}

bool JobService::Idle() const {
  return m_impl->parts->front.Idle() && m_impl->parts->owner.Idle();
}

JobFigures JobService::Figures() const {
  const auto& parts = *m_impl->parts;
  JobFigures figures;
  figures.requests_open = parts.front.requests_open();
  figures.jobs_open = static_cast<uint32_t>(parts.store.open().size());
  figures.tasks_waiting = m_impl->queue.waiting();
  figures.tasks_running = parts.store.tasks_running();
  figures.workers_ejected = parts.progress.workers_ejected();
  return figures;
}

}  // namespace egretswitch::internal
