// Task needs for which one pass over the waiting jobs found no worker with free
// capacity. Later jobs skip the search: with hundreds of jobs waiting for
// hundreds of workers a pass costs one search instead of one per task.
//
//   exhausted.Add("desk", {6200, 64, 0});
//   exhausted.Covers("desk", {6200, 128, 0})  -> true: needs even more
#ifndef EGRETSWITCH_SRC_EXHAUSTED_CAPACITY_H_
#define EGRETSWITCH_SRC_EXHAUSTED_CAPACITY_H_

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "task_needs.h"

namespace egretswitch::internal {

class ExhaustedCapacity {
 public:
  void Clear() { m_failed.clear(); }

  void Add(std::string_view service, const TaskNeeds& needs) {
    m_failed.push_back({std::string(service), needs});
  }

  // Whether a search for these needs, or for smaller ones, has failed.
  bool Covers(std::string_view service, const TaskNeeds& needs) const {
    return std::any_of(
        m_failed.begin(), m_failed.end(), [&](const Failed& failed) {
          return failed.service == service && Fits(failed.needs, needs);
        });
  }

 private:
  struct Failed {
    std::string service;
    TaskNeeds needs;
  };

  std::vector<Failed> m_failed;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_EXHAUSTED_CAPACITY_H_
