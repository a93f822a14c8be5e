// Follows the runs on all workers of a deployment, as the workers see them.
//
//   RunWatcher watcher(loop, deployment.workers(), record);
//   watcher.Trace("5c0e...")      // records each start and end of this job
//   watcher.longest_overlap()     // of two runs of one task
#ifndef EGRETSWITCH_REVIEW_COMMON_RUN_WATCHER_H_
#define EGRETSWITCH_REVIEW_COMMON_RUN_WATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "case_record.h"
#include "event_loop.h"
#include "platform/test/worker_stand_in.h"

namespace egretswitch::review {

class RunWatcher {
 public:
  using Workers = std::vector<std::unique_ptr<platform::WorkerStandIn>>;

  // The workers must live as long as the watcher.
  RunWatcher(internal::EventLoop& loop,
             const Workers& workers,
             CaseRecord& record);

  void Trace(const std::string& job) { m_traced.insert(job); }

  uint64_t starts() const { return m_starts; }
  // When a task of the traced job started last; zero if none has.
  MonoTime last_start(const std::string& job) const;
  // Runs of the job at this moment.
  size_t RunsOf(const std::string& job) const;
  // The longest time for which two runs of one task were seen together.
  absl::Duration longest_overlap() const { return m_longest_overlap; }

 private:
  // A run and the position of its worker.
  using Place = std::pair<internal::RunKey, size_t>;

  void OnStart(size_t worker, const internal::RunKey& key);
  void Look();
  std::map<internal::TaskRef, std::vector<Place>> RunsByTask() const;
  std::string Text(const Place& place) const;

  internal::EventLoop& m_loop;
  const Workers& m_workers;
  CaseRecord& m_record;
  std::set<std::string> m_traced;
  std::map<std::string, MonoTime> m_last_starts;  // of traced jobs
  std::set<Place> m_seen;  // traced runs that have not ended
  std::map<internal::TaskRef, MonoTime> m_overlaps;  // with their begin
  absl::Duration m_longest_overlap = absl::ZeroDuration();
  uint64_t m_starts = 0;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_COMMON_RUN_WATCHER_H_
