#include "fault_plan.h"

#include <algorithm>
#include <array>

namespace egretswitch::internal {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(FaultKind::kCount)>
    kFaultNames = {
        "kill_entry",           "restart_entry",      "restart_agent",
        "kill_worker",          "freeze_entry",       "freeze_agent",
        "lose_entry_host",      "lose_agent_host",    "cut_entry_from_entry",
        "cut_entry_from_agent", "cut_entry_from_log", "cut_entry_one_way",
        "cut_agent_one_way",    "island_with_log",    "island_without_log",
        "log_down_briefly",     "log_down_long",      "log_slow",
        "log_loses_replies",    "log_truncated",      "late_request",
        "delayed_link",         "clock_step",         "worker_fails_everything",
        "worker_straggles",     "wrong_declarations"};

constexpr VirtualUs kCutTime = Ms(7000);

// The process of the step where its role fits, else any of `names`.
std::string Target(FakeWorld& world,
                   const std::vector<std::string>& names,
                   const std::string& at_process) {
  if (std::find(names.begin(), names.end(), at_process) != names.end()) {
    return at_process;
  }
  const int64_t last = static_cast<int64_t>(names.size()) - 1;
  return names[world.time().Random(0, last)];
}

std::string OtherThan(FakeWorld& world,
                      const std::vector<std::string>& names,
                      const std::string& name) {
  std::vector<std::string> others = names;
  std::erase(others, name);
  return Target(world, others, {});
}

VirtualUs RestartDelay(FakeWorld& world) {
  return world.time().Random(Ms(5), Ms(3000));
}

void RestartLater(FakeWorld& world, const std::string& name, VirtualUs delay) {
  world.HealAfter(delay, [&world, name] { world.Restart(name); });
}

// The platform replaces an entry only when fewer than two would be left.
void KillForGood(FakeWorld& world, const std::string& entry) {
  world.Kill(entry);
  const auto live = std::count_if(
      world.entries().begin(), world.entries().end(),
      [&world](const std::string& name) { return world.IsLive(name); });
  if (live < 2) {
    RestartLater(world, entry, RestartDelay(world));
  }
}

void Freeze(FakeWorld& world, const std::string& name) {
  world.Freeze(name);
  world.HealAfter(world.time().Random(Ms(5000), Ms(8000)),
                  [&world, name] { world.Wake(name); });
}

void LoseHost(FakeWorld& world, const std::string& name) {
  world.LoseHost(name);
  RestartLater(world, name, Ms(8000));
}

void CutPair(FakeWorld& world,
             const std::string& a,
             const std::string& b,
             bool both_ways) {
  world.network().Cut(a, b);
  if (both_ways) {
    world.network().Cut(b, a);
  }
  world.HealAfter(kCutTime, [&world, a, b] {
    world.network().Heal(a, b);
    world.network().Heal(b, a);
  });
}

// One entry and half of the agents, cut off from all the others.
void CutIsland(FakeWorld& world, const std::string& entry, bool from_log) {
  std::vector<std::string> inside = {entry};
  for (size_t i = 0; i < world.agents().size(); i += 2) {
    inside.push_back(world.agents()[i]);
  }
  world.CutIsland(inside, from_log);
  world.HealAfter(world.time().Random(Ms(4000), Ms(12000)),
                  [&world, inside] { world.HealIsland(inside); });
}

void SetLogMode(FakeWorld& world, LogMode mode, VirtualUs duration) {
  world.log().SetMode(mode);
  world.NoteOutage("log", false);
  world.HealAfter(duration, [&world] {
    world.log().SetMode(LogMode::kWorking);
    world.EndOutage("log", false);
  });
}

// Only a process that starts afterwards, or was away, meets the gap.
void TruncateLog(FakeWorld& world, const std::string& entry) {
  world.log().TruncateToSnapshot();
  world.Kill(entry);
  RestartLater(world, entry, RestartDelay(world));
}

void DelayLink(FakeWorld& world, const std::string& a, const std::string& b) {
  world.network().SetDelay(a, b, Ms(2000));
  world.HealAfter(Ms(4000),
                  [&world, a, b] { world.network().SetDelay(a, b, 0); });
}

void SetWorkerMode(FakeWorld& world,
                   const std::string& agent,
                   WorkerMode mode) {
  world.worker(agent).SetMode(mode);
  world.HealAfter(Ms(4000), [&world, agent] {
    world.worker(agent).SetMode(WorkerMode::kWorking);
  });
}

void KillWorker(FakeWorld& world, const std::string& agent) {
  world.worker(agent).Kill();
  world.HealAfter(Ms(2000), [&world, agent] { world.worker(agent).Revive(); });
}

void InjectLogFault(FakeWorld& world,
                    FaultKind kind,
                    const std::string& entry) {
  switch (kind) {
    case FaultKind::kLogDownBriefly:
      return SetLogMode(world, LogMode::kDown, Ms(3000));
    case FaultKind::kLogDownLong:
      return SetLogMode(world, LogMode::kDown, Ms(15000));
    case FaultKind::kLogSlow:
      return SetLogMode(world, LogMode::kSlow, Ms(8000));
    case FaultKind::kLogLosesReplies:
      return SetLogMode(world, LogMode::kLosesReplies, Ms(5000));
    case FaultKind::kLogTruncated:
      return TruncateLog(world, entry);
    default:
      return;
  }
}

void InjectWorkerFault(FakeWorld& world,
                       FaultKind kind,
                       const std::string& agent) {
  switch (kind) {
    case FaultKind::kKillWorker:
      return KillWorker(world, agent);
    case FaultKind::kWorkerFailsEverything:
      return SetWorkerMode(world, agent, WorkerMode::kFailsEverything);
    case FaultKind::kWorkerStraggles:
      return SetWorkerMode(world, agent, WorkerMode::kStraggles);
    default:
      return;
  }
}

void InjectCut(FakeWorld& world,
               FaultKind kind,
               const std::string& entry,
               const std::string& agent) {
  switch (kind) {
    case FaultKind::kCutEntryFromEntry:
      return CutPair(world, entry, OtherThan(world, world.entries(), entry),
                     true);
    case FaultKind::kCutEntryFromAgent:
      return CutPair(world, entry, agent, true);
    case FaultKind::kCutEntryFromLog:
      return CutPair(world, entry, "log", true);
    case FaultKind::kCutEntryOneWay:
      return CutPair(world, entry, OtherThan(world, world.entries(), entry),
                     false);
    case FaultKind::kCutAgentOneWay:
      return CutPair(world, agent, entry, false);
    case FaultKind::kIslandWithLog:
      return CutIsland(world, entry, false);
    case FaultKind::kIslandWithoutLog:
      return CutIsland(world, entry, true);
    case FaultKind::kDelayedLink:
      return DelayLink(world, entry, agent);
    default:
      return;
  }
}

void InjectProcessFault(FakeWorld& world,
                        FaultKind kind,
                        const std::string& entry,
                        const std::string& agent) {
  switch (kind) {
    case FaultKind::kKillEntry:
      return KillForGood(world, entry);
    case FaultKind::kRestartEntry:
      world.Kill(entry);
      return RestartLater(world, entry, RestartDelay(world));
    case FaultKind::kRestartAgent:
      world.Kill(agent);
      return RestartLater(world, agent, RestartDelay(world));
    case FaultKind::kFreezeEntry:
      return Freeze(world, entry);
    case FaultKind::kFreezeAgent:
      return Freeze(world, agent);
    case FaultKind::kLoseEntryHost:
      return LoseHost(world, entry);
    case FaultKind::kLoseAgentHost:
      return LoseHost(world, agent);
    case FaultKind::kClockStep:
      return world.StepClock(entry);
    case FaultKind::kLateRequest:
      return world.callers().ReplayLate(world.time().Random(0, Ms(6000)));
    case FaultKind::kWrongDeclarations:
      return world.callers().DeclareWrongly();
    default:
      return;
  }
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kFaultNames[static_cast<size_t>(kind)];
}

std::optional<FaultKind> FindFault(std::string_view name) {
  const auto it = std::find(kFaultNames.begin(), kFaultNames.end(), name);
  if (it == kFaultNames.end()) {
    return std::nullopt;
  }
  return static_cast<FaultKind>(it - kFaultNames.begin());
}

std::vector<FaultKind> AllFaults() {
  std::vector<FaultKind> all;
  for (size_t i = 0; i < kFaultNames.size(); ++i) {
    all.push_back(static_cast<FaultKind>(i));
  }
  return all;
}

// Each group leaves the kinds of the others alone.
void InjectFault(FakeWorld& world,
                 FaultKind kind,
                 const std::string& at_process) {
  world.history().faulted = true;
  const std::string entry = Target(world, world.entries(), at_process);
  const std::string agent = Target(world, world.agents(), at_process);
  InjectProcessFault(world, kind, entry, agent);
  InjectWorkerFault(world, kind, agent);
  InjectCut(world, kind, entry, agent);
  InjectLogFault(world, kind, entry);
}

}  // namespace egretswitch::internal
