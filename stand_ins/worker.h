// The worker stand-in: takes the place of one of the platform's workers in
// tests and demonstrations. docs/PLATFORM.md describes its HTTP protocol.
//
//   Worker worker(options);
//   worker.Start();                  // http://127.0.0.1:port()
//   POST /holder {"holder":"agent-1/7"}, then POST /tasks:batch, GET /ended
#ifndef EGRETSWITCH_STAND_INS_WORKER_H_
#define EGRETSWITCH_STAND_INS_WORKER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/status.h"
#include "stand_in_server.h"
#include "start_record.h"
#include "timer_thread.h"
#include "worker_tasks.h"

namespace egretswitch::stand_ins {

struct WorkerOptions {
  HttpServerOptions http;
  std::string name = "worker-1";
  WorkerCapacity capacity;
  std::chrono::milliseconds usage_lag{1000};
  std::string record_path;  // "": no record
};

class Worker {
 public:
  explicit Worker(WorkerOptions options);
  // Writes the rest of the record.
  ~Worker();

  absl::Status Start();
  uint16_t port() const { return m_server.port(); }

 private:
  using ReplyPtr = std::shared_ptr<HttpReply>;

  // What becomes of a batch of starts.
  enum class BatchMode { kNormal, kLoseReplies, kLoseRequests };

  struct Usage {
    SteadyClock::time_point at;
    size_t running = 0;
    Resources used;
  };

  void Handle(const HttpRequest& request, const ReplyPtr& reply);
  void HandleHolder(const HttpRequest& request, const ReplyPtr& reply);
  void HandleBatch(const HttpRequest& request, const ReplyPtr& reply);
  void HandleList(const HttpRequest& request, const ReplyPtr& reply);
  void HandleEnded(const HttpRequest& request, const ReplyPtr& reply);
  void HandleStop(const HttpRequest& request, const ReplyPtr& reply);
  void HandleThrottle(const HttpRequest& request, const ReplyPtr& reply);
  void HandleCheckpoint(const HttpRequest& request, const ReplyPtr& reply);
  void HandleControl(const HttpRequest& request, const ReplyPtr& reply);
  void HandleUsage(const ReplyPtr& reply);

  void Housekeep();
  void ScheduleHousekeeping();
  void EndPoll(const ReplyPtr& poll);

  // The functions below are called with m_mutex held.
  // False, and 409 sent, when `holder` is not the present one.
  bool CheckHolder(const std::string& holder, const ReplyPtr& reply);
  StartVerdict StartTask(const TaskToStart& task);
  std::string TaskListBody() const;
  void AnswerPoll();

  const WorkerOptions m_options;
  const std::string m_instance;  // random, new at every start
  std::mutex m_mutex;
  StartRecord m_record;
  WorkerTasks m_tasks;
  std::string m_holder;
  ReplyPtr m_poll;  // the holder's parked GET /ended, if any
  BatchMode m_batch_mode = BatchMode::kNormal;
  double m_slowness = 1;
  uint32_t m_throttle_percent = 100;
  std::deque<Usage> m_usage;
  // Last, so that both threads end before the data that they use.
  HttpServer m_server;
  std::unique_ptr<TimerThread> m_timers;
};

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_WORKER_H_
