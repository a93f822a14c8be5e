// A bounded search of faults in virtual time: every combination of up to
// `depth` faults, each at one of a grid of moments, is played with two entries,
// two agents and one job of one long task. Its caller sends the job to entry 0
// first, then to each entry in turn.
//
//   FaultSearch search({.depth = 2, .step_ms = 150});
//   search.Run([](const FaultSearch::Play& play) { ... });  // a broken one
//   search.broken()  -> 0, of search.plays()
//
//   FaultSearch::PlayText(play)  ->
//   "pause-entry-0-400@350,kill-agent-1-100@500"
//
// Nothing is drawn but the delays of a start, so a play is decided by its text
// and its seed.
#ifndef EGRETSWITCH_TEST_FAULT_SEARCH_H_
#define EGRETSWITCH_TEST_FAULT_SEARCH_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "run_world.h"

namespace egretswitch::internal {

// A fault that may happen at any moment.
struct SearchedFault {
  std::string name;
  std::function<void(RunWorld& world, VirtualUs now)> inject;
};

// In a fixed order.
const std::vector<SearchedFault>& SearchedFaults();

// What the faults of a play meet.
struct PlayWorld {
  uint64_t seed = 1;       // of the delays of starts
  int64_t work_ms = 1600;  // of the job's task
};

struct FaultSearchOptions {
  int depth = 2;  // the most faults of one play
  int64_t step_ms = 150;
  // The grid, from the first submission on.
  int64_t first_ms = -100;
  int64_t last_ms = 3000;
  // Only faults whose names start with one of these; all if empty.
  std::vector<std::string> kinds = {};
  // Only plays with a fault whose name starts with one of these; all if empty.
  std::vector<std::string> containing = {};
  // Only plays without such a fault.
  std::vector<std::string> except = {};
  PlayWorld world = {};
  // Every play whose first fault is the `part`-th of each `parts`, from 0.
  size_t part = 0;
  size_t parts = 1;
};

class FaultSearch {
 public:
  struct Moment {
    size_t fault = 0;   // of SearchedFaults()
    int64_t at_ms = 0;  // after the first submission
    auto operator<=>(const Moment&) const = default;
  };
  using Play = std::vector<Moment>;
  using OnBroken = std::function<void(const Play& play)>;

  // The job of each play, and when it is submitted first.
  static constexpr const char* kJob = "job-0";
  static constexpr VirtualUs kSubmittedAt = Ms(1000);

  explicit FaultSearch(const FaultSearchOptions& options);

  void Run(const OnBroken& on_broken);

  uint64_t plays() const { return m_plays; }
  uint64_t broken() const { return m_broken; }
  // Plays in which the caller sent its job more than once.
  uint64_t repeated() const { return m_repeated; }

  // Plays these faults, and notes what concerns the job if `traced`.
  static std::unique_ptr<RunWorld> Played(const Play& play,
                                          const PlayWorld& in,
                                          bool traced);
  static std::string PlayText(const Play& play);
  // Nothing if the text names no play.
  static std::optional<Play> ParsePlay(std::string_view text);

 private:
  void Extend(Play& play, size_t from, const OnBroken& on_broken);
  bool IsAskedFor(const Play& play) const;
  void Judge(const Play& play, const OnBroken& on_broken);

  const FaultSearchOptions m_options;
  std::vector<Moment> m_moments;
  uint64_t m_plays = 0;
  uint64_t m_broken = 0;
  uint64_t m_repeated = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAULT_SEARCH_H_
