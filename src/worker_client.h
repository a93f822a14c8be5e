// An agent's client of its worker, over the HTTP protocol of docs/PLATFORM.md.
// To support another kind of worker, replace this header, its source and
// worker_protocol.
//
//   WorkerClient worker(loop, {.address = "127.0.0.1:7801",
//                              .holder = "agent-1/7"}, on_event);
//   worker.Connect();               -> WorkerTasksListed
//   worker.StartBatch({start});     -> WorkerTaskEnded, once for each start
//
// All events are delivered by the loop, never from within a call to this class.
#ifndef EGRETSWITCH_SRC_WORKER_CLIENT_H_
#define EGRETSWITCH_SRC_WORKER_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/time/time.h"
#include "event_loop.h"
#include "http_client.h"
#include "node_events.h"
#include "worker_protocol.h"

namespace egretswitch::internal {

struct WorkerClientOptions {
  std::string address;  // "127.0.0.1:7801"
  std::string holder;   // "agent-1/7": the agent's name and incarnation
  absl::Duration poll_wait = absl::Seconds(10);
  absl::Duration call_timeout = absl::Seconds(2);
  absl::Duration retry_period = absl::Milliseconds(200);
};

class WorkerClient {
 public:
  // Receives WorkerTasksListed, WorkerTaskEnded and WorkerLost. The handler
  // must not destroy this client.
  using EventHandler = std::function<void(AgentEvent)>;

  WorkerClient(EventLoop& loop,
               WorkerClientOptions options,
               EventHandler handler);
  ~WorkerClient();
  WorkerClient(const WorkerClient&) = delete;
  WorkerClient& operator=(const WorkerClient&) = delete;

  // Makes this client the worker's exclusive holder. It retries until the
  // worker responds, and again after each WorkerLost. A client that another
  // holder has replaced reports WorkerLost and does not reconnect.
  void Connect();

  // Starts the tasks. All starts of one loop iteration share batches. Each
  // start is followed by one WorkerTaskEnded, or by WorkerLost.
  void StartBatch(std::vector<StartOnWorker> starts);

  // Asks the worker to stop the task, in one call for all stops of this loop
  // iteration. WorkerTaskEnded follows.
  void Stop(const LeaseId& lease);

  bool connected() const { return m_state == State::kHeld; }

 private:
  enum class State : uint8_t { kIdle = 0, kAcquiring, kHeld, kReplaced };

  // State of a start whose task has not ended.
  enum class StartState : uint8_t {
    kSent = 0,  // no reply yet
    kRunning,   // the worker accepted it
    kUnknown,   // the reply was lost: the worker's task list resolves it
  };

  struct EncodedStart {
    LeaseId lease;
    std::string json;
  };
  using Leases = std::vector<LeaseId>;

  void AcquireWorker();
  void OnAcquired(const HttpCallResult& result);

  void FlushQueue();
  void SendBatch();
  void OnBatchDone(const Leases& leases, const HttpCallResult& result);
  void OnStartResults(const Leases& leases, const std::string& body);
  void RefuseStarts(const Leases& leases, const std::string& reason);
  void MarkStartsUnknown(const Leases& leases);

  void ListTasks();
  void OnListed(const Leases& unresolved, const HttpCallResult& result);

  void Poll();
  void OnPolled(const HttpCallResult& result);
  void DeliverEnds(const EndsPage& page);

  void ScheduleStops();
  void FlushStops();
  void OnStopped(const Leases& leases, const HttpCallResult& result);

  // Returns true, after reporting WorkerLost, if `result` shows that the worker
  // has terminated or has another holder.
  bool CheckLost(const HttpCallResult& result);
  void OnWorkerLost(State next);

  void EndTask(WorkerTaskEnded ended);
  HttpCall MakeCall(HttpMethod method, std::string_view target) const;
  // Sends `call`. `done` does not run if the worker has been lost meanwhile.
  void Send(HttpCall call, HttpClient::Callback done);
  // Runs `callback` after `delay`, unless the worker has been lost meanwhile.
  void RunLater(absl::Duration delay, EventLoop::Callback callback);

  EventLoop& m_loop;
  const WorkerClientOptions m_options;
  const EventHandler m_handler;
  State m_state = State::kIdle;
  std::string m_instance;
  uint64_t m_acknowledged = 0;  // sequence number of the last delivered end
  std::unordered_map<LeaseId, StartState> m_open;
  std::deque<EncodedStart> m_queue;
  Leases m_stops;
  bool m_flush_scheduled = false;
  bool m_stops_scheduled = false;  // or in flight
  bool m_list_scheduled = false;
  uint32_t m_batches_in_flight = 0;
  // Replaced when the worker is lost, which cancels all pending callbacks.
  std::shared_ptr<char> m_session = std::make_shared<char>();
  HttpClient m_http;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_CLIENT_H_
