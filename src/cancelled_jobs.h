// The cancelled jobs that an entry remembers, so that a submission that comes
// after its cancel starts nothing, and so that a repeated cancel gets the same
// answer.
//
//   cancelled.Add("5c0e", /*held=*/false, now);
//   cancelled.Contains("5c0e", now + absl::Seconds(2))   -> true
#ifndef EGRETSWITCH_SRC_CANCELLED_JOBS_H_
#define EGRETSWITCH_SRC_CANCELLED_JOBS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "clock.h"

namespace egretswitch::internal {

// How long a cancelled job is remembered. A late repeat of its submission
// arrives within seconds.
inline constexpr absl::Duration kCancelledJobRetention = absl::Seconds(60);

// Bounds the memory. The oldest are forgotten first.
inline constexpr size_t kMaxCancelledJobs = 20'000;

class CancelledJobs {
 public:
  // `held`: the job was open here, or arrived after its cancel.
  void Add(const std::string& job, bool held, MonoTime now);

  bool Contains(const std::string& job, MonoTime now) const;
  bool WasHeld(const std::string& job) const;
  size_t size() const { return m_jobs.size(); }

 private:
  struct Record {
    MonoTime until = absl::ZeroDuration();
    bool held = false;
  };

  void DropOld(MonoTime now);

  absl::flat_hash_map<std::string, Record> m_jobs;
  // By age. An entry whose time differs from its record's was renewed.
  std::deque<std::pair<MonoTime, std::string>> m_by_age;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CANCELLED_JOBS_H_
