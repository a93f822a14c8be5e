// A start whose reply was lost may run: it counts as started until its end
// comes through the poll. Only when the worker, asked for its list, knows
// neither of it running nor ended, is it reported as kLost.
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
constexpr uint32_t kMaxBatchesUnderWay = 4;
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
    m_state = State::kTaking;
    TakeWorker();
  }
}

void WorkerClient::TakeWorker() {
  HttpCall call = MakeCall(HttpMethod::kPost, "/holder");
  call.body = EncodeHolder(m_options.holder);
  Send(std::move(call),
       [this](const HttpCallResult& result) { OnTaken(result); });
}

void WorkerClient::OnTaken(const HttpCallResult& result) {
  if (result.failure != HttpFailure::kNone || result.status != kOk) {
    RunLater(m_options.retry_period, [this] { TakeWorker(); });
    return;
  }
  absl::StatusOr<WorkerTaskList> list = ParseTaskList(result.body);
  if (!list.ok()) {
    RunLater(m_options.retry_period, [this] { TakeWorker(); });
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

// While kMaxBatchesUnderWay are under way the rest waits and travels together.
void WorkerClient::FlushQueue() {
  while (!m_queue.empty() && m_batches_under_way < kMaxBatchesUnderWay) {
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
  ++m_batches_under_way;
  Send(std::move(call),
       [this, leases = std::move(leases)](const HttpCallResult& result) {
         --m_batches_under_way;
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
      DoubtStarts(leases);
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

// The end of a task may have come before the reply to its start.
void WorkerClient::OnStartResults(const Leases& leases,
                                  const std::string& body) {
  const absl::StatusOr<std::vector<StartResult>> results =
      ParseStartResults(body);
  if (!results.ok() || results->size() != leases.size()) {
    DoubtStarts(leases);
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

void WorkerClient::DoubtStarts(const Leases& leases) {
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
  Leases doubtful;
  for (const auto& [lease, state] : m_open) {
    if (state == StartState::kUnknown) {
      doubtful.push_back(lease);
    }
  }
  if (doubtful.empty()) {
    return;
  }
  std::sort(doubtful.begin(), doubtful.end());
  Send(MakeCall(
           HttpMethod::kGet,
           absl::StrCat("/tasks?holder=", EscapeQueryValue(m_options.holder))),
       [this, doubtful = std::move(doubtful)](const HttpCallResult& result) {
         OnListed(doubtful, result);
       });
}

// An end is acknowledged only after it was delivered, so a lease that is not
// listed and still open here never ended.
void WorkerClient::OnListed(const Leases& doubtful,
                            const HttpCallResult& result) {
  if (CheckLost(result)) {
    return;
  }
  absl::StatusOr<WorkerTaskList> list = absl::UnavailableError("no list");
  if (result.failure == HttpFailure::kNone && result.status == kOk) {
    list = ParseTaskList(result.body);
  }
  if (!list.ok()) {
    DoubtStarts(doubtful);
    return;
  }
  std::unordered_set<LeaseId> listed;
  for (const WorkerTask& task : list->tasks) {
    listed.insert(task.lease);
  }
  for (const LeaseId& lease : doubtful) {
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
    LoseWorker(State::kTaking);
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

// One call at a time: a wave of cancellations must not take all of the worker's
// connections. A stop that overtook its start would have no effect, so it waits
// until the worker is known to run the task.
void WorkerClient::FlushStops() {
  Leases ready;
  Leases early;
  for (LeaseId& lease : m_stops) {
    const auto it = m_open.find(lease);
    if (it != m_open.end()) {
      const bool runs = it->second == StartState::kRunning;
      (runs ? ready : early).push_back(std::move(lease));
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
  // Stopping twice is harmless; those that have ended are left out.
  for (const LeaseId& lease : leases) {
    if (m_open.count(lease) > 0) {
      m_stops.push_back(lease);
    }
  }
  RunLater(m_options.retry_period, [this] { FlushStops(); });
}

// A holder of "" means that the worker has restarted and nobody holds it yet.
bool WorkerClient::CheckLost(const HttpCallResult& result) {
  if (result.failure == HttpFailure::kRefused) {
    LoseWorker(State::kTaking);
    return true;
  }
  if (result.failure != HttpFailure::kNone || result.status != kConflict) {
    return false;
  }
  const std::optional<std::string> holder = ParseCurrentHolder(result.body);
  if (!holder.has_value() || *holder == m_options.holder) {
    return false;
  }
  LoseWorker(holder->empty() ? State::kTaking : State::kReplaced);
  return true;
}

void WorkerClient::LoseWorker(State next) {
  m_state = next;
  m_session = std::make_shared<char>();
  m_open.clear();
  m_queue.clear();
  m_stops.clear();
  m_flush_scheduled = false;
  m_stops_scheduled = false;
  m_list_scheduled = false;
  m_batches_under_way = 0;
  if (next == State::kTaking) {
    RunLater(m_options.retry_period, [this] { TakeWorker(); });
  }
  m_handler(WorkerLost{});
}

// Every lease ends once: later news of it is dropped.
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
