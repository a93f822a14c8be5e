// The workers beside the agents: their starts, crashes and announcements.
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "run_world.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kAnnouncePeriod = Ms(1500);

// The wall time at virtual time 0, for the start times of the workers.
constexpr int64_t kWallTimeAtStartMs = 1'764'750'000'000;

}  // namespace

std::string RunWorld::WorkerName(const Agent& process, uint64_t number) const {
  const auto started_at = process.worker_started_at.find(number);
  if (!m_same_worker_ids || started_at == process.worker_started_at.end()) {
    return absl::StrCat("i-", process.number, "-", number);
  }
  return IncarnationName(absl::StrCat("i-", process.number),
                         kWallTimeAtStartMs + started_at->second / 1000);
}

WorkerAnnouncement RunWorld::AnnouncementOf(int agent, int64_t number) const {
  const Agent& process = m_agents[agent];
  const int64_t clock =
      process.worker == nullptr ? 1 : process.worker->ClockMs(m_time.now());
  return {.incarnation = WorkerName(process, static_cast<uint64_t>(number)),
          .service = "desk",
          .kind = process.kind,
          .rack = "r1",
          .capacity = process.capacity,
          .leaving = false,
          .sequence = process.announcements,
          .clock_ms = clock};
}

double RunWorld::BusyShare() const {
  double all = 0;
  double free = 0;
  for (const Agent& agent : m_agents) {
    if (agent.worker != nullptr) {
      all += agent.capacity.millicores;
      free += agent.worker->Free().millicores;
    }
  }
  return all == 0 ? 0 : 1 - free / all;
}

void RunWorld::EndWorker(int agent) {
  std::unique_ptr<FakeRunWorker>& worker = m_agents[agent].worker;
  if (worker == nullptr) {
    return;
  }
  worker->Advance(m_time.now());
  for (const auto& [key, done_at] : worker->running()) {
    ++m_crashes[key.task];
  }
  worker.reset();
}

int RunWorld::CrashesUnder(int job) const {
  int crashes = 0;
  for (const auto& [task, count] : m_crashes) {
    crashes += task.job == m_callers[job].plan.id ? count : 0;
  }
  return crashes;
}

void RunWorld::CrashWorker(int agent, VirtualUs down) {
  EndWorker(agent);
  m_time.After(down, [this, agent] { ReplaceWorker(agent); });
}

// Ends a running worker first: after two crashes in a row, the first
// replacement may have started already.
void RunWorld::ReplaceWorker(int agent) {
  EndWorker(agent);
  Agent& process = m_agents[agent];
  const double rate = 0.98 + 0.001 * static_cast<double>(m_time.Random(0, 22));
  process.worker_started_at[++process.worker_number] = m_time.now();
  process.worker = std::make_unique<FakeRunWorker>(
      WorkerName(process, process.worker_number), rate, process.capacity,
      m_same_worker_ids ? m_time.now() : 0, m_max_lease_ms);
  if (m_same_worker_ids) {
    process.announcements = 0;
  }
}

void RunWorld::Announce(int agent) {
  Agent& process = m_agents[agent];
  if (process.node != nullptr && process.worker != nullptr) {
    ++process.announcements;
    ToAgent(agent, WorkerAnnounced{AnnouncementOf(
                       agent, static_cast<int64_t>(process.worker_number))});
  }
  m_time.After(kAnnouncePeriod,
               [this, agent, incarnation = process.incarnation] {
                 if (m_agents[agent].incarnation == incarnation) {
                   Announce(agent);
                 }
               });
}

}  // namespace egretswitch::internal
