// A task may run although the reply to its start was lost, so it counts as
// started until the poll reports its end. It is reported as kLost only if the
// worker's task list has it neither as running nor as ended.
//
//   POST /tasks:batch -> lost -> GET /tasks -> "g-1" is not there -> kLost
#include "worker_client.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr uint32_t kMaxBatchesInFlight = 4;
constexpr size_t kMaxBatchTasks = 256;
constexpr size_t kMaxBatchBytes = 4u << 20;

}  // namespace

WorkerClient::WorkerClient(EventLoop& loop,
                           WorkerClientOptions options,
                           EventHandler handler)
    : m_loop(loop),
      m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_http(loop) {}

WorkerClient::~WorkerClient() = default;

void WorkerClient::Connect() {
  if (m_state == State::kIdle) {
    m_state = State::kAcquiring;
    AcquireWorker();
  }
}

void WorkerClient::AcquireWorker() {
  HttpCall call = MakeCall(HttpMethod::kPost, "/holder");
  call.body = EncodeHolder(m_options.holder);
  Send(std::move(call),
       [this](const HttpCallResult& result) { OnAcquired(result); });
}

void WorkerClient::OnAcquired(const HttpCallResult& result) {
  if (result.failure != HttpFailure::kNone || result.status != kOk) {
    RunLater(m_options.retry_period, [this] { AcquireWorker(); });
    return;
  }
  absl::StatusOr<WorkerTaskList> list = ParseTaskList(result.body);
  if (!list.ok()) {
    RunLater(m_options.retry_period, [this] { AcquireWorker(); });
    return;
  }
  m_state = State::kHeld;
  m_instance = list->instance;
  m_acknowledged = 0;
  for (const WorkerTask& task : list->tasks) {
    m_open[task.lease] = StartState::kRunning;
  }
  Poll();
  m_handler(WorkerTasksListed{std::move(list->tasks)});
}

void WorkerClient::StartBatch(std::vector<StartOnWorker> starts) {
  for (const StartOnWorker& start : starts) {
    m_open[start.lease] = StartState::kSent;
    absl::StatusOr<std::string> json = EncodeStart(start);
    if (m_state == State::kHeld && json.ok()) {
      m_queue.push_back({start.lease, *std::move(json)});
      continue;
    }
    const std::string reason = json.ok() ? "worker is not connected"
                                         : std::string(json.status().message());
    RunLater(absl::ZeroDuration(), [this, lease = start.lease, reason] {
      RefuseStarts({lease}, reason);
    });
  }
  if (!m_flush_scheduled && !m_queue.empty()) {
    m_flush_scheduled = true;
    RunLater(absl::ZeroDuration(), [this] {
      m_flush_scheduled = false;
      FlushQueue();
    });
  }
}

// While kMaxBatchesInFlight are in flight, further starts wait in the queue and
// share the next batch.
void WorkerClient::FlushQueue() {
  while (!m_queue.empty() && m_batches_in_flight < kMaxBatchesInFlight) {
    SendBatch();
  }
}

void WorkerClient::SendBatch() {
  Leases leases;
  std::vector<std::string> starts;
  size_t bytes = 0;
  while (!m_queue.empty() && starts.size() < kMaxBatchTasks &&
         (starts.empty() ||
          bytes + m_queue.front().json.size() <= kMaxBatchBytes)) {
    bytes += m_queue.front().json.size();
    leases.push_back(std::move(m_queue.front().lease));
    starts.push_back(std::move(m_queue.front().json));
    m_queue.pop_front();
  }
  HttpCall call = MakeCall(HttpMethod::kPost, "/tasks:batch");
  call.body = EncodeBatch(m_options.holder, starts);
  ++m_batches_in_flight;
  Send(std::move(call),
       [this, leases = std::move(leases)](const HttpCallResult& result) {
         --m_batches_in_flight;
         OnBatchDone(leases, result);
       });
}

void WorkerClient::OnBatchDone(const Leases& leases,
                               const HttpCallResult& result) {
  switch (result.failure) {
    case HttpFailure::kRefused:
    case HttpFailure::kNotSent:
      RefuseStarts(leases, "worker cannot be reached");
      break;
    case HttpFailure::kLost:
    case HttpFailure::kTimeout:
      MarkStartsUnknown(leases);
      break;
    case HttpFailure::kNone:
      if (result.status == kOk) {
        OnStartResults(leases, result.body);
      } else {
        RefuseStarts(leases,
                     absl::StrCat("worker: HTTP status ", result.status));
      }
      break;
  }
  if (!CheckLost(result)) {
    FlushQueue();
    ScheduleStops();
  }
}

// A task is no longer open if its end was reported before the reply to its
// start arrived.
void WorkerClient::OnStartResults(const Leases& leases,
                                  const std::string& body) {
  const absl::StatusOr<std::vector<StartResult>> results =
      ParseStartResults(body);
  if (!results.ok() || results->size() != leases.size()) {
    MarkStartsUnknown(leases);
    return;
  }
  for (const StartResult& result : *results) {
    const auto it = m_open.find(result.lease);
    if (it == m_open.end()) {
      continue;
    }
    if (result.accepted) {
      it->second = StartState::kRunning;
    } else {
      RefuseStarts({result.lease}, result.verdict);
    }
  }
}

void WorkerClient::RefuseStarts(const Leases& leases,
                                const std::string& reason) {
  for (const LeaseId& lease : leases) {
    EndTask({lease, TaskStatus::kRefusedByWorker, reason, 0});
  }
}

void WorkerClient::MarkStartsUnknown(const Leases& leases) {
  for (const LeaseId& lease : leases) {
    const auto it = m_open.find(lease);
    if (it != m_open.end()) {
      it->second = StartState::kUnknown;
    }
  }
  if (!m_list_scheduled) {
    m_list_scheduled = true;
    RunLater(m_options.retry_period, [this] { ListTasks(); });
  }
}

void WorkerClient::ListTasks() {
  m_list_scheduled = false;
  Leases unresolved;
  for (const auto& [lease, state] : m_open) {
    if (state == StartState::kUnknown) {
      unresolved.push_back(lease);
    }
  }
  if (unresolved.empty()) {
    return;
  }
  std::sort(unresolved.begin(), unresolved.end());
  Send(MakeCall(
           HttpMethod::kGet,
           absl::StrCat("/tasks?holder=", EscapeQueryValue(m_options.holder))),
       [this, unresolved = std::move(unresolved)](
           const HttpCallResult& result) { OnListed(unresolved, result); });
}

// The worker lists an ended task until its end is acknowledged, which happens
// only after delivery. So a lease that is still open here and not listed has
// neither ended nor is it running.
void WorkerClient::OnListed(const Leases& unresolved,
                            const HttpCallResult& result) {
  if (CheckLost(result)) {
    return;
  }
  absl::StatusOr<WorkerTaskList> list = absl::UnavailableError("no list");
  if (result.failure == HttpFailure::kNone && result.status == kOk) {
    list = ParseTaskList(result.body);
  }
  if (!list.ok()) {
    MarkStartsUnknown(unresolved);
    return;
  }
  std::unordered_set<LeaseId> listed;
  for (const WorkerTask& task : list->tasks) {
    listed.insert(task.lease);
  }
  for (const LeaseId& lease : unresolved) {
    const auto it = m_open.find(lease);
    if (it == m_open.end()) {
      continue;
    }
    if (listed.count(lease) > 0) {
      it->second = StartState::kRunning;
    } else {
      EndTask({lease, TaskStatus::kLost, "reply to the start was lost", 0});
    }
  }
  ScheduleStops();
}

void WorkerClient::Poll() {
  HttpCall call = MakeCall(
      HttpMethod::kGet,
      absl::StrCat("/ended?holder=", EscapeQueryValue(m_options.holder),
                   "&after=", m_acknowledged, "&wait_ms=",
                   absl::ToInt64Milliseconds(m_options.poll_wait)));
  call.timeout = m_options.poll_wait + m_options.call_timeout;
  Send(std::move(call),
       [this](const HttpCallResult& result) { OnPolled(result); });
}

void WorkerClient::OnPolled(const HttpCallResult& result) {
  if (CheckLost(result)) {
    return;
  }
  absl::StatusOr<EndsPage> page = absl::UnavailableError("no page");
  if (result.failure == HttpFailure::kNone && result.status == kOk) {
    page = ParseEnds(result.body);
  }
  if (!page.ok()) {
    RunLater(m_options.retry_period, [this] { Poll(); });
    return;
  }
  if (page->instance != m_instance) {
    OnWorkerLost(State::kAcquiring);
    return;
  }
  DeliverEnds(*page);
  Poll();
}

void WorkerClient::DeliverEnds(const EndsPage& page) {
  for (const SequencedEnd& end : page.ends) {
    if (end.sequence > m_acknowledged) {
      m_acknowledged = end.sequence;
      EndTask(end.ended);
    }
  }
}

void WorkerClient::Stop(const LeaseId& lease) {
  if (m_state != State::kHeld || m_open.count(lease) == 0) {
    return;
  }
  m_stops.push_back(lease);
  ScheduleStops();
}

void WorkerClient::ScheduleStops() {
  if (!m_stops_scheduled && !m_stops.empty()) {
    m_stops_scheduled = true;
    RunLater(absl::ZeroDuration(), [this] { FlushStops(); });
  }
}

// Sends one call at a time, so that a burst of cancellations does not use up
// the worker's connections. A stop that arrived before its start would have no
// effect, so it waits until the worker has accepted the task.
void WorkerClient::FlushStops() {
  Leases ready;
  Leases early;
  for (LeaseId& lease : m_stops) {
    const auto it = m_open.find(lease);
    if (it != m_open.end()) {
      const bool running = it->second == StartState::kRunning;
      (running ? ready : early).push_back(std::move(lease));
    }
  }
  m_stops = std::move(early);
  m_stops_scheduled = !ready.empty();
  if (ready.empty()) {
    return;
  }
  HttpCall call = MakeCall(HttpMethod::kPost, "/stop");
  call.body = EncodeStop(m_options.holder, ready);
  Send(std::move(call),
       [this, leases = std::move(ready)](const HttpCallResult& result) {
         OnStopped(leases, result);
       });
}

void WorkerClient::OnStopped(const Leases& leases,
                             const HttpCallResult& result) {
  if (CheckLost(result)) {
    return;
  }
  if (result.failure == HttpFailure::kNone) {
    FlushStops();
    return;
  }
  // Stops are idempotent, so all are repeated for tasks that are still open.
  for (const LeaseId& lease : leases) {
    if (m_open.count(lease) > 0) {
      m_stops.push_back(lease);
    }
  }
  RunLater(m_options.retry_period, [this] { FlushStops(); });
}

// A holder of "" means that the worker has restarted and has no holder yet.
bool WorkerClient::CheckLost(const HttpCallResult& result) {
  if (result.failure == HttpFailure::kRefused) {
    OnWorkerLost(State::kAcquiring);
    return true;
  }
  if (result.failure != HttpFailure::kNone || result.status != kConflict) {
    return false;
  }
  const std::optional<std::string> holder = ParseCurrentHolder(result.body);
  if (!holder.has_value() || *holder == m_options.holder) {
    return false;
  }
  OnWorkerLost(holder->empty() ? State::kAcquiring : State::kReplaced);
  return true;
}

void WorkerClient::OnWorkerLost(State next) {
  m_state = next;
  m_session = std::make_shared<char>();
  m_open.clear();
  m_queue.clear();
  m_stops.clear();
  m_flush_scheduled = false;
  m_stops_scheduled = false;
  m_list_scheduled = false;
  m_batches_in_flight = 0;
  if (next == State::kAcquiring) {
    RunLater(m_options.retry_period, [this] { AcquireWorker(); });
  }
  m_handler(WorkerLost{});
}

// Reports the end of a lease once and drops any later report of it.
void WorkerClient::EndTask(WorkerTaskEnded ended) {
  if (m_open.erase(ended.lease) > 0) {
    m_handler(std::move(ended));
  }
}

HttpCall WorkerClient::MakeCall(HttpMethod method,
                                std::string_view target) const {
  HttpCall call;
  call.method = method;
  call.url = absl::StrCat("http://", m_options.address, std::string(target));
  call.timeout = m_options.call_timeout;
  return call;
}

void WorkerClient::Send(HttpCall call, HttpClient::Callback done) {
  m_http.Send(std::move(call), [session = std::weak_ptr<char>(m_session),
                                done = std::move(done)](HttpCallResult result) {
    if (!session.expired()) {
      done(std::move(result));
    }
  });
}

void WorkerClient::RunLater(absl::Duration delay,
                            EventLoop::Callback callback) {
  m_loop.RunAfter(delay, [session = std::weak_ptr<char>(m_session),
                          callback = std::move(callback)] {
    if (!session.expired()) {
      callback();
    }
  });
}

}  // namespace egretswitch::internal
