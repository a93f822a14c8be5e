// Faults in short succession in RunWorld, periods in which calls to workers get
// no answer, and callers that leave while their entry is frozen.
#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kSpellMs = 1600;

}  // namespace

void RunWorld::ScheduleSpells(const RunWorldOptions& options) {
  for (int i = 0; i < options.spells; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { DrawSpell(); });
  }
  for (int i = 0; i < options.unanswered_periods; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)),
              [this] { DrawUnansweredPeriod(); });
  }
  for (int i = 0; i < options.late_departures; ++i) {
    m_time.At(Ms(m_time.Random(800, 12'000)), [this] { DrawLateDeparture(); });
  }
}

int RunWorld::DrawAgent() {
  return static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_agents.size()) - 1));
}

int RunWorld::DrawAnyEntry() {
  return static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
}

// ---- Faults in short succession

// Most faults of a spell concern the same entry and agent.
void RunWorld::DrawSpell() {
  const int entry = DrawAnyEntry();
  const int agent = DrawAgent();
  for (int64_t left = m_time.Random(2, 5); left > 0; --left) {
    const bool other = m_time.Random(0, 2) == 0;
    const int of_entry = other ? DrawAnyEntry() : entry;
    const int of_agent = other ? DrawAgent() : agent;
    m_time.After(Ms(m_time.Random(0, kSpellMs)), [this, of_entry, of_agent] {
      InjectSpellFault(of_entry, of_agent);
    });
  }
}

void RunWorld::InjectSpellFault(int entry, int agent) {
  const VirtualUs frozen_until = m_time.now() + Ms(m_time.Random(100, 700));
  switch (m_time.Random(0, 6)) {
    case 0:
      KillUpEntry(entry, Ms(m_time.Random(50, 3000)));
      return;
    case 1:
      KillUpAgent(agent, Ms(m_time.Random(50, 600)));
      return;
    case 2:
      KillSeveralAgents();
      return;
    case 3:
      KillAgentAgain(agent);
      return;
    case 4:
      CutOneWay(entry, agent);
      return;
    case 5:
      LogFault(absl::StrCat("freeze entry ", entry, " until ", frozen_until));
      FreezeEntry(entry, frozen_until);
      return;
    default:
      LogFault(absl::StrCat("freeze agent ", agent, " until ", frozen_until));
      FreezeAgent(agent, frozen_until);
  }
}

void RunWorld::KillUpEntry(int entry, VirtualUs down) {
  if (m_entries[entry].node != nullptr) {
    LogFault(absl::StrCat("kill entry ", entry, " for ", down / 1000, " ms"));
    KillEntryFor(entry, down);
  }
}

void RunWorld::KillUpAgent(int agent, VirtualUs down) {
  if (m_agents[agent].node != nullptr) {
    LogFault(absl::StrCat("kill agent ", agent, " for ", down / 1000, " ms"));
    KillAgentFor(agent, down);
  }
}

// And again as soon as it is back.
void RunWorld::KillAgentAgain(int agent) {
  const VirtualUs down = Ms(m_time.Random(50, 600));
  KillUpAgent(agent, down);
  m_time.After(down + Ms(m_time.Random(1, 120)), [this, agent] {
    KillUpAgent(agent, Ms(m_time.Random(50, 600)));
  });
}

void RunWorld::KillSeveralAgents() {
  for (const Agent& agent : m_agents) {
    if (m_time.Random(0, 1) == 0) {
      KillUpAgent(agent.number, Ms(m_time.Random(50, 600)));
    }
  }
}

void RunWorld::CutOneWay(int entry, int agent) {
  const bool to_agent = m_time.Random(0, 1) == 0;
  const VirtualUs until = m_time.now() + Ms(m_time.Random(100, 3000));
  CutLink(entry, agent, to_agent, until);
}

void RunWorld::CutLink(int entry, int agent, bool to_agent, VirtualUs until) {
  LogFault(absl::StrCat("cut entry ", entry, to_agent ? " to" : " from",
                        " agent ", agent, " until ", until));
  Link& link = LinkOf(entry, agent);
  (to_agent ? link.to_agent : link.to_entry).cut_until = until;
}

// ---- Calls without answers

void RunWorld::DrawUnansweredPeriod() {
  constexpr CallKind kKinds[] = {CallKind::kStart, CallKind::kStop,
                                 CallKind::kPoll};
  constexpr const char* kNames[] = {"starts", "stops", "polls", "all calls"};
  const int64_t drawn = m_time.Random(0, 3);
  m_unanswered.kinds.clear();
  for (int64_t kind = 0; kind < 3; ++kind) {
    if (drawn == kind || drawn == 3) {
      m_unanswered.kinds.insert(kKinds[kind]);
    }
  }
  m_unanswered.percent = static_cast<int>(m_time.Random(30, 95));
  m_unanswered.until = m_time.now() + Ms(m_time.Random(1000, 6000));
  LogFault(absl::StrCat("leave ", m_unanswered.percent, "% of ", kNames[drawn],
                        " unanswered until ", m_unanswered.until));
}

// ---- Callers that leave a frozen entry

void RunWorld::DrawLateDeparture() {
  std::vector<int> waiting;
  for (int caller = 0; caller < jobs(); ++caller) {
    const Caller& from = m_callers[caller];
    const bool open = from.open_call.has_value();
    if (open && m_entries[from.entry].node != nullptr &&
        m_entries[from.entry].frozen_until <= m_time.now()) {
      waiting.push_back(caller);
    }
  }
  if (!waiting.empty()) {
    const auto last = static_cast<int64_t>(waiting.size()) - 1;
    LeaveFrozenEntry(waiting[m_time.Random(0, last)],
                     Ms(m_time.Random(100, 480)));
  }
}

// No order of the entry ends its runs, and no agent's stop does.
void RunWorld::LoseEntryAndStops(int entry) {
  KillUpEntry(entry, Ms(m_time.Random(1500, 3000)));
  for (const Agent& agent : m_agents) {
    LoseStops(agent.number, m_time.now() + Ms(3000));
  }
}

// When it goes on, the entry handles its timer, and some moments later what
// arrived meanwhile.
void RunWorld::LeaveFrozenEntry(int caller, VirtualUs lasts) {
  Entry& entry = m_entries[m_callers[caller].entry];
  const VirtualUs handled_after = m_time.Random(0, Ms(10));
  LogFault(absl::StrCat(m_callers[caller].plan.id, " leaves entry ",
                        entry.number, " frozen for ", lasts / 1000, " ms"));
  const VirtualUs until = m_time.now() + lasts + handled_after;
  FreezeEntry(entry.number, until);
  m_time.After(m_time.Random(0, lasts),
               [this, caller, call = m_callers[caller].open_call] {
                 if (m_callers[caller].open_call == call) {
                   DisconnectCaller(caller);
                 }
               });
  if (m_departures_then_kills && m_time.Random(0, 1) == 0) {
    m_time.After(lasts + handled_after / 2,
                 [this, number = entry.number] { LoseEntryAndStops(number); });
  }
  HandleTimerAfter(lasts, entry.number, until);
}

void RunWorld::HandleTimerAfter(VirtualUs lasts, int number, VirtualUs until) {
  Entry& entry = m_entries[number];
  m_time.After(lasts, [this, &entry, until, incarnation = entry.incarnation] {
    if (entry.incarnation == incarnation && entry.node != nullptr &&
        entry.frozen_until == until) {
      Perform(entry, entry.node->Handle(TimePassed{}, NowAt()));
    }
  });
}

void RunWorld::PauseEntry(int entry, VirtualUs lasts, VirtualUs handled_after) {
  const VirtualUs until = m_time.now() + lasts + handled_after;
  FreezeEntry(entry, until);
  HandleTimerAfter(lasts, entry, until);
}

}  // namespace egretswitch::internal
