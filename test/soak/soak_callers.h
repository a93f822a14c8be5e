// Callers of the deployment. Each hands in one job after another, waits for the
// answer, and tries again at another entry when there is none.
//
//   SoakCallers callers(loop, ledger, addresses, {.count = 20, .seed = 7});
//   callers.Begin();
//   callers.End();     // no new jobs
//   callers.idle()     // true when every answer is in
#ifndef EGRETSWITCH_TEST_SOAK_SOAK_CALLERS_H_
#define EGRETSWITCH_TEST_SOAK_SOAK_CALLERS_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "run_ledger.h"

namespace egretswitch::soak {

struct SoakCallersOptions {
  int count = 20;
  uint64_t seed = 1;
  // A connection that ends without an answer breaks a promise: nothing but
  // planned stops happens.
  bool calm = false;
  // A tenth of the jobs has tasks that take longer than a caller waits before
  // it sends its job again. The others are short and keep their entry in touch
  // with the agents, except in quiet periods. Some of them always fail.
  bool long_tasks = false;
};

class SoakCallers {
 public:
  // The entries' addresses for callers.
  SoakCallers(internal::EventLoop& loop,
              RunLedger& ledger,
              std::vector<std::string> entries,
              const SoakCallersOptions& options);

  void Begin();
  void End() { m_ended = true; }
  bool idle() const { return m_busy == 0; }

 private:
  struct Job {
    std::string id;
    std::string body;
    int attempts = 0;
    bool refused = false;  // at its last attempt
    bool fails = false;    // each of its runs does
  };

  int Draw(int least, int most);
  int DrawWorkMs();
  absl::Duration QuietFor() const;
  absl::Duration Patience() const;
  void HandInNext();
  void Send(Job job);
  void OnResult(Job job,
                MonoTime sent_at,
                const internal::HttpCallResult& result);
  void Pause(absl::Duration pause, std::function<void()> then);

  internal::EventLoop& m_loop;
  RunLedger& m_ledger;
  const std::vector<std::string> m_entries;
  const SoakCallersOptions m_options;
  std::mt19937_64 m_random;
  uint64_t m_jobs = 0;
  int m_busy = 0;
  MonoTime m_began_at = absl::ZeroDuration();
  bool m_ended = false;
  internal::HttpClient m_http;
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_SOAK_CALLERS_H_
