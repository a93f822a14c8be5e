// A caller: sends each job through some entry, sends it again under the same id
// when it is refused with a retry-after or the connection breaks, and checks
// every output of the answer against its own task.
//
//   caller.Submit(plan.Next());   // -> POST /v1/jobs ... -> CallerRecord
#ifndef EGRETSWITCH_LOAD_CALLER_H_
#define EGRETSWITCH_LOAD_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caller_record.h"
#include "event_loop.h"
#include "http_client.h"
#include "job_plan.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::load {

struct CallerOptions {
  std::string team = "desk";
  std::string id_prefix;             // unique for this run
  std::vector<std::string> entries;  // "127.0.0.1:8080"
  uint32_t slots = 88;               // of all workers, for the ideal
  double network_ms = 0.5;           // round trips, for the ideal
  uint32_t min_deadline_ms = 8000;
  double deadline_factor = 10;    // times the ideal, when that is longer
  double duplicate_share = 0.02;  // jobs sent twice at once, to two entries
};

class Caller {
 public:
  // `done` is called once for each job.
  Caller(internal::EventLoop& loop,
         CallerOptions options,
         uint64_t seed,
         std::function<void(const CallerRecord&)> done);
  ~Caller();

  void Submit(const PlannedJob& job);

  size_t jobs_open() const { return m_open; }

 private:
  struct Job;

  void Send(const std::shared_ptr<Job>& job);
  void SendDuplicate(const std::shared_ptr<Job>& job);
  void OnResult(const std::shared_ptr<Job>& job,
                const internal::HttpCallResult& result);
  void OnRefusal(const std::shared_ptr<Job>& job, const JobRefusal& refusal);
  void TryAgain(const std::shared_ptr<Job>& job, double after_ms);
  void CheckAnswer(Job& job, const JobAnswer& answer) const;
  void Finish(const std::shared_ptr<Job>& job, const char* outcome);
  const std::string& NextEntry();

  internal::EventLoop& m_loop;
  const CallerOptions m_options;
  std::mt19937_64 m_random;
  const std::function<void(const CallerRecord&)> m_done;
  internal::HttpClient m_http;
  uint64_t m_next_id = 1;
  size_t m_next_entry = 0;
  size_t m_open = 0;
};

}  // namespace egretswitch::load

#endif  // EGRETSWITCH_LOAD_CALLER_H_
