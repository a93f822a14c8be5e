// Clients of the entries. A client sends its job, waits for the answer for as
// long as the job's deadline says, and sends the job again, to the next entry,
// `kResendAfter` after an attempt that ended without an answer, with a broken
// connection, 502 or 504.
//
//   CaseClients clients(loop, deployment.CallerAddresses(), record);
//   clients.Send({.id = "5c0e...", .tasks = 4, .work_ms = 3000}, 0);
#ifndef EGRETSWITCH_REVIEW_COMMON_CASE_CLIENTS_H_
#define EGRETSWITCH_REVIEW_COMMON_CASE_CLIENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "case_record.h"
#include "event_loop.h"
#include "http_client.h"

namespace egretswitch::review {

struct CaseJob {
  std::string id;  // 16 hexadecimal digits
  int tasks = 1;
  int work_ms = 200;  // of each task
  absl::Duration deadline = absl::Seconds(8);
  bool traced = false;  // each attempt is recorded
};

class CaseClients {
 public:
  CaseClients(internal::EventLoop& loop,
              std::vector<std::string> entries,
              CaseRecord& record);

  void Send(const CaseJob& job, size_t entry, int attempt = 1);
  // Sends short jobs to one entry, one each `period`, until Stop().
  void SendBackground(size_t entry, absl::Duration period);
  void Stop() { m_stopped = true; }

  // How attempts ended: by status, and -1 for those without an answer.
  const std::map<int, uint64_t>& ends() const { return m_ends; }
  std::string EndsText() const;

 private:
  void OnEnd(const CaseJob& job,
             size_t entry,
             int attempt,
             const internal::HttpCallResult& result);
  std::string UrlOf(const std::string& id, size_t entry) const;

  internal::EventLoop& m_loop;
  const std::vector<std::string> m_entries;
  CaseRecord& m_record;
  internal::HttpClient m_http;
  std::map<int, uint64_t> m_ends;
  uint64_t m_background_jobs = 0;
  bool m_stopped = false;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_COMMON_CASE_CLIENTS_H_
