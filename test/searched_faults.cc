// The faults that a search plays, each of a process, a link, a worker's calls
// or the caller's connection. Names end with their times in ms.
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fault_search.h"

namespace egretswitch::internal {
namespace {

constexpr int kEntries = 2;
constexpr int kAgents = 2;

// For how long calls to a worker are lost or late.
constexpr int64_t kCallsFaultyMs = 700;
// An entry that goes on handles its timer this long before what arrived
// meanwhile.
constexpr VirtualUs kHandledAfter = Ms(5);

using Faults = std::vector<SearchedFault>;

void AddCallerFaults(Faults& faults) {
  faults.push_back({"reset-caller", [](RunWorld& world, VirtualUs /*now*/) {
                      world.BreakConnectionOf(0, /*noticed=*/true);
                    }});
  faults.push_back(
      {"reset-caller-unnoticed", [](RunWorld& world, VirtualUs /*now*/) {
         world.BreakConnectionOf(0, /*noticed=*/false);
       }});
}

void AddEntryFaults(int entry, Faults& faults) {
  for (const int64_t ms : {100, 1500}) {
    faults.push_back({absl::StrCat("kill-entry-", entry, "-", ms),
                      [entry, ms](RunWorld& world, VirtualUs /*now*/) {
                        world.KillUpEntry(entry, Ms(ms));
                      }});
  }
  for (const int64_t ms : {100, 400, 700}) {
    faults.push_back({absl::StrCat("pause-entry-", entry, "-", ms),
                      [entry, ms](RunWorld& world, VirtualUs /*now*/) {
                        world.PauseEntry(entry, Ms(ms), kHandledAfter);
                      }});
  }
}

void AddAgentFaults(int agent, Faults& faults) {
  for (const int64_t ms : {100, 1500}) {
    faults.push_back({absl::StrCat("kill-agent-", agent, "-", ms),
                      [agent, ms](RunWorld& world, VirtualUs /*now*/) {
                        world.KillUpAgent(agent, Ms(ms));
                      }});
  }
  for (const int64_t ms : {400, 1500}) {
    faults.push_back({absl::StrCat("freeze-agent-", agent, "-", ms),
                      [agent, ms](RunWorld& world, VirtualUs now) {
                        world.FreezeAgentUntil(agent, now + Ms(ms));
                      }});
  }
}

void AddWorkerFaults(int agent, Faults& faults) {
  faults.push_back({absl::StrCat("lose-stops-", agent, "-1500"),
                    [agent](RunWorld& world, VirtualUs now) {
                      world.LoseStops(agent, now + Ms(1500));
                    }});
  faults.push_back({absl::StrCat("lose-answers-", agent, "-", kCallsFaultyMs),
                    [agent](RunWorld& world, VirtualUs now) {
                      world.LoseAnswers(agent, 100);
                      world.At(now + Ms(kCallsFaultyMs), [&world, agent] {
                        world.LoseAnswers(agent, 0);
                      });
                    }});
  for (const int64_t by_ms : {400, 1500}) {
    for (const bool starts_only : {false, true}) {
      faults.push_back(
          {absl::StrCat("late-", starts_only ? "starts-" : "calls-", agent, "-",
                        by_ms),
           [agent, by_ms, starts_only](RunWorld& world, VirtualUs now) {
             world.CarryOutLate(agent, now + Ms(kCallsFaultyMs), Ms(by_ms),
                                starts_only);
           }});
    }
  }
  faults.push_back({absl::StrCat("crash-worker-", agent, "-400"),
                    [agent](RunWorld& world, VirtualUs /*now*/) {
                      world.CrashWorker(agent, Ms(400));
                    }});
}

void AddLinkFaults(int entry, int agent, Faults& faults) {
  faults.push_back({absl::StrCat("silent-link-", entry, "-", agent),
                    [entry, agent](RunWorld& world, VirtualUs /*now*/) {
                      world.MakeLinkUnresponsive(entry, agent);
                    }});
  for (const bool to_agent : {true, false}) {
    faults.push_back({absl::StrCat(to_agent ? "cut-to-agent-" : "cut-to-entry-",
                                   entry, "-", agent, "-700"),
                      [entry, agent, to_agent](RunWorld& world, VirtualUs now) {
                        world.CutLink(entry, agent, to_agent, now + Ms(700));
                      }});
  }
}

void AddEntryLinkFaults(Faults& faults) {
  for (const int64_t ms : {400, 1500, 3000}) {
    faults.push_back({absl::StrCat("cut-entries-", ms),
                      [ms](RunWorld& world, VirtualUs now) {
                        world.HoldEntryMessages(now + Ms(ms));
                      }});
  }
  for (const int64_t ms : {10, 1500}) {
    faults.push_back({absl::StrCat("reset-entries-", ms),
                      [ms](RunWorld& world, VirtualUs /*now*/) {
                        world.ResetEntryLinks(Ms(ms));
                      }});
  }
}

Faults AllFaults() {
  Faults faults;
  AddCallerFaults(faults);
  for (int entry = 0; entry < kEntries; ++entry) {
    AddEntryFaults(entry, faults);
  }
  AddEntryLinkFaults(faults);
  for (int agent = 0; agent < kAgents; ++agent) {
    AddAgentFaults(agent, faults);
    AddWorkerFaults(agent, faults);
    for (int entry = 0; entry < kEntries; ++entry) {
      AddLinkFaults(entry, agent, faults);
    }
  }
  return faults;
}

}  // namespace

const std::vector<SearchedFault>& SearchedFaults() {
  static const Faults* const kFaults = new Faults(AllFaults());
  return *kFaults;
}

}  // namespace egretswitch::internal
