// The cancelled jobs that a process remembers, so that a submission that comes
// after its cancel starts nothing, and so that a repeated cancel gets the same
// answer.
//
//   cancelled.Add("5c0e", /*held=*/false, now);
//   cancelled.Contains("5c0e", now + absl::Seconds(2))   -> true
//   cancelled.Page({}, 100, now)    -> {{"5c0e", age 0 ms}}, for another
//   process
#ifndef EGRETSWITCH_SRC_CANCELLED_JOBS_H_
#define EGRETSWITCH_SRC_CANCELLED_JOBS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "clock.h"
#include "run_messages.h"

namespace egretswitch::internal {

// How long a cancelled job is remembered. A late repeat of its submission
// arrives within seconds.
inline constexpr absl::Duration kCancelledJobRetention = absl::Seconds(60);

// Bounds the memory. The oldest are forgotten first.
inline constexpr size_t kMaxCancelledJobs = 20'000;

// Which records a page contains.
struct CancelledJobsFilter {
  std::string after = {};  // only jobs with higher ids
  absl::Duration learnt_within = absl::InfiniteDuration();
};

class CancelledJobs {
 public:
  // The job was cancelled now. `held`: it was open here, or arrived after its
  // cancel.
  void Add(const std::string& job, bool held, MonoTime now);
  // Records what another process remembers.
  void Merge(const CancelledJob& other, MonoTime now);

  bool Contains(const std::string& job, MonoTime now) const;
  bool WasHeld(const std::string& job) const;
  // Returns those of `jobs` whose cancels are worth passing on to other
  // processes: the unknown ones, and those whose records are old enough for a
  // further cancel to extend them.
  std::vector<std::string> NewsAmong(absl::Span<const std::string> jobs,
                                     MonoTime now) const;
  // At most `max_jobs` records, ordered by id.
  std::vector<CancelledJob> Page(const CancelledJobsFilter& filter,
                                 size_t max_jobs,
                                 MonoTime now) const;
  size_t size() const { return m_jobs.size(); }
  // Records that were dropped before their time, for lack of room.
  uint64_t dropped_early() const { return m_dropped_early; }

 private:
  struct Record {
    MonoTime until = absl::ZeroDuration();
    MonoTime learnt_at = absl::ZeroDuration();
    bool held = false;
  };

  void Extend(const std::string& job, bool held, MonoTime until, MonoTime now);
  void DropOld(MonoTime now);

  std::map<std::string, Record> m_jobs;
  std::set<std::pair<MonoTime, std::string>> m_by_expiry;  // of each record
  uint64_t m_dropped_early = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CANCELLED_JOBS_H_
