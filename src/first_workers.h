// Decides how long an entry that has just started waits for the first worker of
// a service. Agents are linked some tenths of a second after the start, often
// after the first jobs have arrived.
//
//   FirstWorkers first;
//   first.RecordJob(now);
//   first.MayStillCome("desk", now + absl::Milliseconds(300))   -> true
//   first.RecordWorker("desk");
//   first.MayStillCome("desk", now + absl::Milliseconds(300))   -> false
#ifndef EGRETSWITCH_SRC_FIRST_WORKERS_H_
#define EGRETSWITCH_SRC_FIRST_WORKERS_H_

#include <set>
#include <string>
#include <string_view>

#include "clock.h"

namespace egretswitch::internal {

// After a restart of all processes, workers are usable 0.4 to 0.6 s after the
// start of the entries.
inline constexpr absl::Duration kFirstWorkerTimeout = absl::Milliseconds(600);

class FirstWorkers {
 public:
  // The period begins with the first job of this process. Before it, callers
  // were not served for another reason, or there were none.
  void RecordJob(MonoTime now);
  // A worker of this service is, or was, usable.
  void RecordWorker(const std::string& service);

  bool HaveBeenSeen(std::string_view service) const {
    return m_services.contains(service);
  }
  // Whether a job of a service without workers is held.
  bool MayStillCome(std::string_view service, MonoTime now) const {
    return now < m_until && !HaveBeenSeen(service);
  }

 private:
  MonoTime m_until = absl::InfiniteDuration();
  std::set<std::string, std::less<>> m_services;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_FIRST_WORKERS_H_
