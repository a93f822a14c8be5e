// The faults that a seed draws, and the log of faults and violations.
#include "absl/strings/str_cat.h"
#include "run_world.h"

namespace egretswitch::internal {

void RunWorld::ScheduleFaults(const RunWorldOptions& options) {
  for (int i = 0; i < options.faults; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { InjectFault(); });
  }
  for (int i = 0; i < options.unresponsive_links; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)),
              [this] { DrawUnresponsiveLink(); });
  }
  for (int i = 0; i < options.connection_resets; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] {
      const int entry = static_cast<int>(
          m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
      LogFault(absl::StrCat("reset connections of entry ", entry));
      ResetConnections(entry);
    });
  }
  for (int i = 0; i < options.reset_series; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { DrawResetSeries(); });
  }
  for (int i = 0; i < options.evacuations; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { DrawEvacuation(); });
  }
  for (int i = 0; i < options.entry_stops; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { StopEntriesInTurn(); });
  }
  for (int i = 0; i < options.all_entries_lost; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { LoseAllEntries(); });
  }
  for (int i = 0; i < options.cancels; ++i) {
    m_time.At(0, [this] { DrawCancel(); });
  }
  ScheduleSpells(options);
}

void RunWorld::ResetConnections(int entry) {
  ++m_resets;
  for (int agent = 0; agent < static_cast<int>(m_agents.size()); ++agent) {
    Disconnect(entry, agent, kLinkDelay);
  }
  for (int caller = 0; caller < jobs(); ++caller) {
    if (m_callers[caller].open_call.has_value() &&
        m_callers[caller].entry == entry) {
      DisconnectCaller(caller);
    }
  }
}

void RunWorld::DrawUnresponsiveLink() {
  const int entry = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
  const int agent = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_agents.size()) - 1));
  LogFault(absl::StrCat("make link unresponsive: entry ", entry, " and agent ",
                        agent));
  MakeLinkUnresponsive(entry, agent);
}

// In some draws, one entry receives the evacuation only after its restart.
void RunWorld::DrawEvacuation() {
  std::vector<int> data_centres;
  for (int64_t left = m_time.Random(1, 2); left > 0; --left) {
    data_centres.push_back(
        static_cast<int>(m_time.Random(0, kDataCentres - 1)));
  }
  if (m_time.Random(0, 3) == 0) {
    BlockStoreUpdates(static_cast<int>(
        m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1)));
  }
  const VirtualUs lasts = Ms(m_time.Random(500, 6000));
  LogFault(absl::StrCat("evacuate dc-", data_centres.front(), " and dc-",
                        data_centres.back(), " for ", lasts / 1000, " ms"));
  SetEvacuated(data_centres, Ms(m_time.Random(1, 100)));
  m_time.After(lasts, [this] {
    LogFault("take back all data centres");
    SetEvacuated({});
  });
}

void RunWorld::InjectFault() {
  const int entry = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
  const int agent = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_agents.size()) - 1));
  const VirtualUs until = m_time.now() + Ms(m_time.Random(200, 4000));
  Link& link = LinkOf(entry, agent);
  switch (m_time.Random(0, 10)) {
    case 0:
      LogFault(absl::StrCat("kill entry ", entry));
      KillEntry(entry, false);
      return;
    case 1:
      LogFault(absl::StrCat("power off entry ", entry));
      KillEntry(entry, true);
      return;
    case 2:
      LogFault(absl::StrCat("kill agent ", agent));
      KillAgent(agent, false);
      return;
    case 3:
      LogFault(absl::StrCat("power off agent ", agent));
      KillAgent(agent, true);
      return;
    case 4:
      LogFault(absl::StrCat("freeze entry ", entry, " until ", until));
      FreezeEntry(entry, until);
      return;
    case 5:
      LogFault(absl::StrCat("freeze agent ", agent, " until ", until));
      FreezeAgent(agent, until);
      return;
    case 6:
      LogFault(absl::StrCat("cut entry ", entry, " to agent ", agent));
      link.to_agent.cut_until = until;
      return;
    case 7:
      LogFault(absl::StrCat("cut agent ", agent, " to entry ", entry));
      link.to_entry.cut_until = until;
      return;
    case 8:
      LogFault(absl::StrCat("reset entry ", entry, " and agent ", agent));
      Disconnect(entry, agent, kLinkDelay);
      return;
    case 9:
      LogFault(absl::StrCat("lose or delay calls of agent ", agent));
      m_agents[agent].calls_faulty_until = until;
      return;
    default:
      LogFault(absl::StrCat("crash worker of agent ", agent));
      EndWorker(agent);
      m_time.At(m_same_worker_ids && m_time.Random(0, 1) == 0
                    ? m_time.now() + Ms(m_time.Random(1, 400))
                    : until,
                [this, agent] { ReplaceWorker(agent); });
  }
}

void RunWorld::KillAgentFor(int agent, VirtualUs down) {
  EndAgent(agent, kLinkDelay);
  m_time.After(down, [this, agent] { StartAgent(agent); });
}

// The entries notice after `delay`.
void RunWorld::EndAgent(int agent, VirtualUs delay) {
  m_agents[agent].node.reset();
  m_agents[agent].exchange.reset();
  for (int entry = 0; entry < static_cast<int>(m_entries.size()); ++entry) {
    Disconnect(entry, agent, delay);
  }
}

uint64_t RunWorld::CountAtAgents(RunCounter counter) const {
  uint64_t count = 0;
  for (const Agent& agent : m_agents) {
    count += agent.node == nullptr ? 0 : agent.node->counters().Get(counter);
  }
  return count;
}

int RunWorld::LapsedRuns() const {
  int lapsed = 0;
  for (const Agent& agent : m_agents) {
    lapsed += agent.worker == nullptr ? 0 : agent.worker->lapsed();
  }
  return lapsed;
}

void RunWorld::Trace(const std::string& process, const NoteStateChange& note) {
  std::string text = absl::StrCat(process, " ", note.what);
  bool traced = false;
  for (const NoteField& field : note.fields) {
    traced = traced ||
             (!m_traced_job.empty() && field.value.starts_with(m_traced_job));
    absl::StrAppend(&text, " ", field.key, "=", field.value);
  }
  if (traced) {
    LogFault(text);
  }
}

void RunWorld::LogFault(const std::string& text) {
  m_fault_log.push_back(absl::StrCat(m_time.now() / 1000, " ms: ", text));
}

void RunWorld::AddViolation(const std::string& text) {
  m_violations.push_back(absl::StrCat(m_time.now() / 1000, " ms: ", text));
}

}  // namespace egretswitch::internal
