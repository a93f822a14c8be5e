#include "fake_worker.h"

#include <cstdlib>
#include <utility>

namespace egretswitch::internal {
namespace {

constexpr int64_t kStraggleFactor = 10;

// "50 desk/a17#0" runs for 50 ms.
int64_t RunMsOf(const std::string& payload) {
  return std::strtoll(payload.c_str(), nullptr, 10);
}

}  // namespace

void FakeWorker::SetHolder(uint64_t holder, WorkerEvents events) {
  m_holder = holder;
  m_events = std::move(events);
  TellList();
}

void FakeWorker::TellList() {
  if (!m_alive) {
    return;
  }
  WorkerTasksListed listed;
  for (const auto& [lease, running] : m_running) {
    listed.running.push_back(running.task);
  }
  Tell(std::move(listed));
}

void FakeWorker::Start(uint64_t holder, const StartOnWorker& start) {
  if (holder != m_holder) {
    return;
  }
  if (!m_alive || m_running.size() >= m_slots ||
      m_running.contains(start.lease)) {
    Tell(WorkerTaskEnded{start.lease, TaskStatus::kRefusedByWorker, "refused",
                         0});
    return;
  }
  int64_t run_ms = RunMsOf(start.spec.payload);
  if (m_mode == WorkerMode::kStraggles) {
    run_ms *= kStraggleFactor;
  }
  const bool fails = m_mode == WorkerMode::kFailsEverything;
  if (fails) {
    run_ms = 1;
  }
  m_history.starts.push_back(
      {start.key, start.index, m_name, m_time.now(), kNever});
  m_running[start.lease] = {{start.lease, start.key, start.index},
                            start.spec.payload,
                            m_history.starts.size() - 1,
                            run_ms};
  m_time.After(Ms(run_ms), [this, lease = start.lease, fails, life = m_life] {
    if (life == m_life) {
      End(lease, fails ? TaskStatus::kFailed : TaskStatus::kFinished);
    }
  });
}

void FakeWorker::Stop(uint64_t holder, const LeaseId& lease) {
  if (holder == m_holder && m_alive) {
    End(lease, TaskStatus::kFailed);
  }
}

void FakeWorker::End(const LeaseId& lease, TaskStatus status) {
  const auto node = m_running.extract(lease);
  if (!node) {
    return;
  }
  const Running& running = node.mapped();
  if (status == TaskStatus::kFinished) {
    m_history.starts[running.record].ended = m_time.now();
  }
  Tell(WorkerTaskEnded{
      lease, status,
      status == TaskStatus::kFinished ? EchoOf(running.payload) : "task failed",
      static_cast<uint32_t>(running.run_ms)});
}

// Every task running dies with the worker; its record stays.
void FakeWorker::Kill() {
  m_alive = false;
  ++m_life;
  m_running.clear();
  Tell(WorkerLost{});
}

void FakeWorker::Revive() {
  m_alive = true;
  TellList();
}

void FakeWorker::Tell(AgentEvent event) {
  if (m_events) {
    m_events(std::move(event));
  }
}

}  // namespace egretswitch::internal
