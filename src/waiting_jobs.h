// The queue of an entry: jobs with at least one waiting task, in the order in
// which they are dispatched: by urgency, then by arrival.
//
//   waiting.Add(job);
//   waiting.ForEach([](OpenJob& job) { ... });   // drops fully placed jobs
//   waiting.Demands()  -> {"desk": {{urgency 0, {6200, 64, 0}, 12}}}
#ifndef EGRETSWITCH_SRC_WAITING_JOBS_H_
#define EGRETSWITCH_SRC_WAITING_JOBS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/functional/function_ref.h"
#include "open_job.h"

namespace egretswitch::internal {

// Does not own the jobs; a job must be removed before it is destroyed.
class WaitingJobs {
 public:
  void Add(OpenJob& job) { m_jobs[KeyOf(job)] = &job; }
  void Remove(const OpenJob& job) { m_jobs.erase(KeyOf(job)); }

  void ForEach(absl::FunctionRef<void(OpenJob& job)> visit);

  // Whether jobs of the service wait.
  bool AnyOf(std::string_view service) const;

  bool empty() const { return m_jobs.empty(); }

  // The waiting tasks of each service by urgency, the most urgent first.
  std::map<std::string, std::vector<CapacityRequest>> Demands() const;

 private:
  using Key = std::pair<uint32_t, uint64_t>;  // urgency, arrival

  static Key KeyOf(const OpenJob& job) { return {job.Urgency(), job.order}; }

  std::map<Key, OpenJob*> m_jobs;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WAITING_JOBS_H_
