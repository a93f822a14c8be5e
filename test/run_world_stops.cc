// Planned stops of processes in RunWorld, and series of resets that overlap
// them.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kDrainCheckPeriod = Ms(20);
// A planned stop is cut short after this time.
constexpr VirtualUs kLongestDrain = Ms(3000);

}  // namespace

void RunWorld::StopEntry(int entry) {
  Entry& process = m_entries[entry];
  if (process.node == nullptr || process.draining) {
    return;
  }
  ++m_planned_stops;
  process.draining = true;
  AwaitEntryDrain(entry, process.incarnation, m_time.now() + kLongestDrain);
}

void RunWorld::StopEntriesInTurn() {
  LogFault("stop all entries in turn");
  VirtualUs after = 0;
  for (int entry = 0; entry < static_cast<int>(m_entries.size()); ++entry) {
    m_time.After(after, [this, entry] { StopEntry(entry); });
    after += Ms(m_time.Random(200, 4000));
  }
}

void RunWorld::LoseAllEntries() {
  const bool power_off = m_time.Random(0, 1) == 0;
  LogFault(absl::StrCat("lose all entries, power ", power_off ? "off" : "on"));
  for (const Entry& entry : m_entries) {
    KillEntry(entry.number, power_off);
  }
  if (m_time.Random(0, 1) == 0) {
    const int agent = static_cast<int>(
        m_time.Random(0, static_cast<int64_t>(m_agents.size()) - 1));
    LogFault(absl::StrCat("kill agent ", agent));
    KillAgent(agent, false);
  }
}

// The orders to stop what is left are the last messages of the process. They
// are lost with its links in half of the draws.
void RunWorld::AwaitEntryDrain(int entry,
                               uint64_t incarnation,
                               VirtualUs deadline) {
  Entry& process = m_entries[entry];
  if (process.incarnation != incarnation || process.node == nullptr) {
    return;
  }
  const bool over = process.node->open_jobs() == 0 || m_time.now() >= deadline;
  if (!over || m_time.now() < process.frozen_until) {
    m_time.After(kDrainCheckPeriod, [this, entry, incarnation, deadline] {
      AwaitEntryDrain(entry, incarnation, deadline);
    });
    return;
  }
  Perform(process, process.node->AbandonAllJobs(NowAt()));
  const VirtualUs linger = m_time.Random(0, 1) == 0 ? 0 : 2 * m_link_delay;
  m_time.After(linger, [this, entry, incarnation] {
    if (m_entries[entry].incarnation == incarnation) {
      KillEntry(entry, false);
    }
  });
}

void RunWorld::StopAgent(int agent) {
  Agent& process = m_agents[agent];
  if (process.node == nullptr || process.draining) {
    return;
  }
  ++m_planned_stops;
  process.draining = true;
  ToAgent(agent, DrainBegan{});
  AwaitAgentDrain(agent, process.incarnation, m_time.now() + kLongestDrain);
}

void RunWorld::AwaitAgentDrain(int agent,
                               uint64_t incarnation,
                               VirtualUs deadline) {
  Agent& process = m_agents[agent];
  if (process.incarnation != incarnation || process.node == nullptr) {
    return;
  }
  if (process.node->Finished() || m_time.now() >= deadline) {
    KillAgent(agent, false);
    return;
  }
  m_time.After(kDrainCheckPeriod, [this, agent, incarnation, deadline] {
    AwaitAgentDrain(agent, incarnation, deadline);
  });
}

// Resets of one entry in short succession, and of its neighbour beside it,
// while processes end in between.
void RunWorld::DrawResetSeries() {
  const int entries = static_cast<int>(m_entries.size());
  const int entry = static_cast<int>(m_time.Random(0, entries - 1));
  const int64_t resets = m_time.Random(3, 7);
  LogFault(absl::StrCat("reset entry ", entry, " ", resets, " times"));
  VirtualUs at = 0;
  for (int64_t i = 0; i < resets; ++i) {
    const int target = m_time.Random(0, 3) == 0 ? (entry + 1) % entries : entry;
    m_time.After(at, [this, target] { ResetConnections(target); });
    if (m_time.Random(0, 1) == 0) {
      m_time.After(at + Ms(m_time.Random(0, 440)),
                   [this] { InjectProcessEnd(); });
    }
    at += Ms(m_time.Random(1, 700));
  }
}

void RunWorld::InjectProcessEnd() {
  const int entry = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
  const int agent = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_agents.size()) - 1));
  switch (m_time.Random(0, 4)) {
    case 0:
      LogFault(absl::StrCat("stop entry ", entry));
      StopEntry(entry);
      return;
    case 1:
      LogFault(absl::StrCat("kill entry ", entry));
      KillEntry(entry, false);
      return;
    case 2:
      LogFault(absl::StrCat("kill agent ", agent));
      KillAgentFor(agent, Ms(m_time.Random(20, 800)));
      return;
    case 3:
      LogFault(absl::StrCat("freeze entry ", entry));
      FreezeEntry(entry, m_time.now() + Ms(m_time.Random(100, 900)));
      return;
    default:
      LogFault(absl::StrCat("stop agent ", agent));
      StopAgent(agent);
  }
}

}  // namespace egretswitch::internal
