// Plays all combinations of faults, depth first: a play's faults are in the
// order of the list of moments, so that no combination is played twice.
#include "fault_search.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace egretswitch::internal {
namespace {

constexpr int kEntries = 2;
constexpr int kAgents = 2;

// Most attempts but the last are over by then, whose start is what counts.
constexpr VirtualUs kPlayedUntil = Ms(10'000);
// A job that has completed is watched for as long as a call may still be late.
constexpr VirtualUs kWatchedAfterEnd = Ms(1600);
constexpr VirtualUs kLook = Ms(400);

JobPlan LongJob(int64_t work_ms) {
  JobPlan plan;
  plan.id = FaultSearch::kJob;
  plan.at = FaultSearch::kSubmittedAt;
  plan.work_ms = {work_ms};
  plan.estimate_ms = static_cast<uint32_t>(work_ms);
  plan.queue.service = "desk";
  plan.queue.max_attempts = 3;
  plan.queue.stretch = 1.6;
  plan.queue.objective_ms = 60;
  plan.entries = {0, 1};
  return plan;
}

bool IsOver(const JobOutcome& outcome, VirtualUs now) {
  return outcome.verdict == JobVerdict::kCompleted &&
         outcome.ended_at + kWatchedAfterEnd <= now;
}

bool StartsWithAny(const std::string& name,
                   const std::vector<std::string>& prefixes) {
  return std::any_of(
      prefixes.begin(), prefixes.end(),
      [&name](const std::string& prefix) { return name.starts_with(prefix); });
}

}  // namespace

FaultSearch::FaultSearch(const FaultSearchOptions& options)
    : m_options(options) {
  const std::vector<SearchedFault>& faults = SearchedFaults();
  for (size_t fault = 0; fault < faults.size(); ++fault) {
    const std::string& name = faults[fault].name;
    if ((!options.kinds.empty() && !StartsWithAny(name, options.kinds)) ||
        StartsWithAny(name, options.except)) {
      continue;
    }
    for (int64_t at_ms = options.first_ms; at_ms <= options.last_ms;
         at_ms += options.step_ms) {
      m_moments.push_back({fault, at_ms});
    }
  }
}

void FaultSearch::Run(const OnBroken& on_broken) {
  Play play;
  Extend(play, 0, on_broken);
}

// Judges the play, and all that add moments from `from` on.
void FaultSearch::Extend(Play& play, size_t from, const OnBroken& on_broken) {
  if (IsAskedFor(play)) {
    Judge(play, on_broken);
  }
  if (static_cast<int>(play.size()) == m_options.depth) {
    return;
  }
  for (size_t i = from; i < m_moments.size(); ++i) {
    if (play.empty() && i % m_options.parts != m_options.part) {
      continue;
    }
    play.push_back(m_moments[i]);
    Extend(play, i + 1, on_broken);
    play.pop_back();
  }
}

bool FaultSearch::IsAskedFor(const Play& play) const {
  if (play.empty()) {
    return m_options.part == 0 && m_options.containing.empty();
  }
  return m_options.containing.empty() ||
         std::any_of(play.begin(), play.end(), [this](const Moment& moment) {
           return StartsWithAny(SearchedFaults()[moment.fault].name,
                                m_options.containing);
         });
}

void FaultSearch::Judge(const Play& play, const OnBroken& on_broken) {
  ++m_plays;
  const std::unique_ptr<RunWorld> world = Played(play, m_options.world, false);
  m_repeated += world->OutcomeOf(0).attempts > 1 ? 1 : 0;
  if (!world->violations().empty()) {
    ++m_broken;
    on_broken(play);
  }
}

std::unique_ptr<RunWorld> FaultSearch::Played(const Play& play,
                                              const PlayWorld& in,
                                              bool traced) {
  RunWorldOptions options;
  options.seed = in.seed;
  options.entries = kEntries;
  options.agents = kAgents;
  options.faults = 0;
  options.plans = {LongJob(in.work_ms)};
  options.traced_job = traced ? kJob : "";
  auto world = std::make_unique<RunWorld>(options);
  for (const Moment& moment : play) {
    const VirtualUs at = kSubmittedAt + Ms(moment.at_ms);
    world->At(at, [at, &world = *world,
                   &inject = SearchedFaults()[moment.fault].inject] {
      inject(world, at);
    });
  }
  for (VirtualUs now = FaultSearch::kSubmittedAt;
       now <= kPlayedUntil && !IsOver(world->OutcomeOf(0), now); now += kLook) {
    world->Run(now);
  }
  return world;
}

std::string FaultSearch::PlayText(const Play& play) {
  return absl::StrJoin(play, ",", [](std::string* text, const Moment& moment) {
    absl::StrAppend(text, SearchedFaults()[moment.fault].name, "@",
                    moment.at_ms);
  });
}

std::optional<FaultSearch::Play> FaultSearch::ParsePlay(std::string_view text) {
  const std::vector<SearchedFault>& faults = SearchedFaults();
  Play play;
  const std::string whole(text);
  for (const absl::string_view part :
       absl::StrSplit(whole, ',', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> named =
        absl::StrSplit(part, absl::MaxSplits('@', 1));
    const auto fault = std::find_if(faults.begin(), faults.end(),
                                    [&named](const SearchedFault& known) {
                                      return known.name == named.first;
                                    });
    Moment moment;
    if (fault == faults.end() ||
        !absl::SimpleAtoi(named.second, &moment.at_ms) ||
        moment.at_ms * 1000 < -kSubmittedAt) {
      return std::nullopt;
    }
    moment.fault = static_cast<size_t>(fault - faults.begin());
    play.push_back(moment);
  }
  return play;
}

}  // namespace egretswitch::internal
