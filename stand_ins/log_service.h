// The log stand-in: takes the place of the platform's log service in tests and
// demonstrations. docs/PLATFORM.md describes its HTTP protocol.
//
//   LogService log(options);
//   log.Start();                      // http://127.0.0.1:port()
//   POST /control {"mode":"down"}     -> 503 on everything
#ifndef EGRETSWITCH_STAND_INS_LOG_SERVICE_H_
#define EGRETSWITCH_STAND_INS_LOG_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/status.h"
#include "log_streams.h"
#include "stand_in_server.h"
#include "timer_thread.h"

namespace egretswitch::stand_ins {

struct LogServiceOptions {
  HttpServerOptions http;
  Retention retention;
  uint32_t appends_per_second = 400;
  std::chrono::milliseconds append_delay{4};
};

class LogService {
 public:
  explicit LogService(LogServiceOptions options);
  ~LogService();

  absl::Status Start();
  uint16_t port() const { return m_server.port(); }

 private:
  enum class Mode { kUp, kDown, kSlow, kLoseReplies };
  using ReplyPtr = std::shared_ptr<HttpReply>;

  struct ReadRequest {
    std::string stream;
    uint64_t from = 0;
    size_t max = 0;
    ReplyPtr reply;
  };

  void Handle(const HttpRequest& request, const ReplyPtr& reply);
  void HandleControl(const HttpRequest& request, const ReplyPtr& reply);
  void HandleAppend(const std::string& stream,
                    const HttpRequest& request,
                    const ReplyPtr& reply);
  void HandleRead(const std::string& stream,
                  const HttpRequest& request,
                  const ReplyPtr& reply);
  void FinishAppend(const std::string& stream,
                    const std::string& data,
                    const ReplyPtr& reply);
  void StartRead(ReadRequest read, std::chrono::milliseconds wait);
  void EndWait(uint64_t sequence);

  // The functions below are called with m_mutex held.
  Mode CurrentMode();
  bool TakeAppendPermit();
  bool AnswerRead(const ReadRequest& read, bool at_once);
  void AnswerWaiting(const std::string& stream);
  void FailWaiting();

  const LogServiceOptions m_options;
  std::mutex m_mutex;
  LogStreams m_streams;
  Mode m_mode = Mode::kUp;
  std::chrono::milliseconds m_slow_delay{0};
  SteadyClock::time_point m_mode_until = SteadyClock::time_point::max();
  double m_permits;
  SteadyClock::time_point m_permits_at;
  std::map<uint64_t, ReadRequest> m_waiting;
  uint64_t m_next_wait = 0;
  // Last, so that both threads end before the data that they use.
  HttpServer m_server;
  std::unique_ptr<TimerThread> m_timers;
};

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_LOG_SERVICE_H_
