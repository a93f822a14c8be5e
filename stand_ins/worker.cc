#include "worker.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace egretswitch::stand_ins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kHousekeepingPeriod{100};
constexpr size_t kMaxEndsInReply = 1000;
constexpr uint64_t kMaxWaitMs = 30'000;

constexpr std::array<const char*, 5> kModes = {
    "normal", "fail_all", "straggler", "lose_replies", "lose_requests"};

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::string ErrorBody(const std::string& error) {
  return Json{{"error", error}}.dump();
}

std::string NewInstance() {
  std::random_device random;
  return absl::StrCat(random(), "-", random());
}

TaskToStart ParseTask(const Json& json) {
  TaskToStart task;
  task.lease = json.at("lease").get<std::string>();
  task.team = json.at("team").get<std::string>();
  task.id = json.at("id").get<std::string>();
  task.index = json.at("index").get<uint32_t>();
  task.payload = json.at("payload").get<std::string>();
  task.needs.millicores = json.value("millicores", uint32_t{0});
  task.needs.memory_mb = json.value("memory_mb", uint32_t{0});
  task.needs.accelerators = json.value("accelerators", uint32_t{0});
  return task;
}

Json TaskJson(const std::string& lease,
              const std::string& team,
              const std::string& id,
              uint32_t index,
              const char* state) {
  return {{"lease", lease},
          {"team", team},
          {"id", id},
          {"index", index},
          {"state", state}};
}

}  // namespace

Worker::Worker(WorkerOptions options)
    : m_options(std::move(options)),
      m_instance(NewInstance()),
      m_tasks(m_options.name, m_options.capacity, &m_record),
      m_timers(std::make_unique<TimerThread>()) {}

Worker::~Worker() {
  m_server.Stop();
  m_timers.reset();
}

absl::Status Worker::Start() {
  if (!m_options.record_path.empty()) {
    const absl::Status opened = m_record.Open(m_options.record_path);
    if (!opened.ok()) {
      return opened;
    }
  }
  ScheduleHousekeeping();
  return m_server.Start(m_options.http,
                        [this](const HttpRequest& request, ReplyPtr reply) {
                          Handle(request, reply);
                        });
}

// Every body is JSON of a fixed shape; nlohmann's exceptions name what does not
// fit and become a 400.
void Worker::Handle(const HttpRequest& request, const ReplyPtr& reply) {
  using Handler = void (Worker::*)(const HttpRequest&, const ReplyPtr&);
  static const std::map<std::string, Handler> kHandlers = {
      {"POST /holder", &Worker::HandleHolder},
      {"POST /tasks:batch", &Worker::HandleBatch},
      {"GET /tasks", &Worker::HandleList},
      {"GET /ended", &Worker::HandleEnded},
      {"POST /stop", &Worker::HandleStop},
      {"POST /throttle", &Worker::HandleThrottle},
      {"POST /checkpoint", &Worker::HandleCheckpoint},
      {"POST /control", &Worker::HandleControl}};
  const std::string target = absl::StrCat(request.method, " ", request.path);
  if (target == "GET /healthz") {
    return reply->Send(kOk, "{}");
  }
  if (target == "GET /usage") {
    return HandleUsage(reply);
  }
  const auto handler = kHandlers.find(target);
  if (handler == kHandlers.end()) {
    return reply->Send(kNotFound, ErrorBody("no such resource"));
  }
  try {
    (this->*handler->second)(request, reply);
  } catch (const Json::exception& error) {
    reply->Send(kBadRequest, ErrorBody(error.what()));
  }
}

void Worker::HandleHolder(const HttpRequest& request, const ReplyPtr& reply) {
  const Json json = Json::parse(request.body);
  const std::string holder = json.at("holder").get<std::string>();
  const std::lock_guard lock(m_mutex);
  m_holder = holder;
  if (m_poll != nullptr) {
    m_poll->Send(kConflict, ErrorBody("other holder"));
    m_poll = nullptr;
  }
  reply->Send(kOk, TaskListBody());
}

void Worker::HandleBatch(const HttpRequest& request, const ReplyPtr& reply) {
  const Json json = Json::parse(request.body);
  std::vector<TaskToStart> tasks;
  // All or none of the batch is understood, before anything starts.
  for (const Json& task : json.at("tasks")) {
    tasks.push_back(ParseTask(task));
  }
  const std::lock_guard lock(m_mutex);
  if (!CheckHolder(json.at("holder").get<std::string>(), reply)) {
    return;
  }
  if (m_batch_mode == BatchMode::kLoseRequests) {
    return reply->Drop();
  }
  Json results = Json::array();
  for (const TaskToStart& task : tasks) {
    const StartVerdict verdict = StartTask(task);
    results.push_back(
        {{"lease", task.lease}, {"verdict", StartVerdictName(verdict)}});
  }
  if (m_batch_mode == BatchMode::kLoseReplies) {
    reply->Drop();
  } else {
    reply->Send(kOk, Json{{"results", std::move(results)}}.dump());
  }
  AnswerPoll();
}

void Worker::HandleList(const HttpRequest& request, const ReplyPtr& reply) {
  const std::lock_guard lock(m_mutex);
  if (CheckHolder(request.QueryText("holder"), reply)) {
    reply->Send(kOk, TaskListBody());
  }
}

void Worker::HandleEnded(const HttpRequest& request, const ReplyPtr& reply) {
  const milliseconds wait(
      std::min(request.QueryNumber("wait_ms", 0), kMaxWaitMs));
  {
    const std::lock_guard lock(m_mutex);
    if (!CheckHolder(request.QueryText("holder"), reply)) {
      return;
    }
    m_tasks.Acknowledge(request.QueryNumber("after", 0));
    if (m_poll != nullptr) {
      m_poll->Send(kConflict, ErrorBody("replaced by a later poll"));
    }
    m_poll = reply;
    AnswerPoll();
    if (m_poll == nullptr) {
      return;
    }
  }
  m_timers->RunAt(SteadyClock::now() + wait, [this, reply] { EndPoll(reply); });
}

void Worker::HandleStop(const HttpRequest& request, const ReplyPtr& reply) {
  const Json json = Json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  if (!CheckHolder(json.at("holder").get<std::string>(), reply)) {
    return;
  }
  uint32_t stopped = 0;
  for (const Json& lease : json.at("leases")) {
    if (m_tasks.Stop(lease.get<std::string>(), SteadyClock::now())) {
      ++stopped;
    }
  }
  reply->Send(kOk, Json{{"stopped", stopped}}.dump());
  AnswerPoll();
}

void Worker::HandleThrottle(const HttpRequest& request, const ReplyPtr& reply) {
  const uint32_t percent =
      Json::parse(request.body).at("percent").get<uint32_t>();
  if (percent < 1 || percent > 100) {
    return reply->Send(kBadRequest, ErrorBody("percent: allowed 1 to 100"));
  }
  const std::lock_guard lock(m_mutex);
  m_throttle_percent = percent;
  reply->Send(kOk, "{}");
}

void Worker::HandleCheckpoint(const HttpRequest& request,
                              const ReplyPtr& reply) {
  const Json json = Json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  const auto run = m_tasks.running().find(json.at("lease").get<std::string>());
  if (run == m_tasks.running().end()) {
    return reply->Send(kNotFound, ErrorBody("lease is not running"));
  }
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      SteadyClock::now() - run->second.started);
  reply->Send(kOk, Json{{"checkpoint_ms", elapsed.count()}}.dump());
}

void Worker::HandleControl(const HttpRequest& request, const ReplyPtr& reply) {
  const Json json = Json::parse(request.body);
  const std::string mode = json.at("mode").get<std::string>();
  const double factor = json.value("factor", 10.0);
  if (std::find(kModes.begin(), kModes.end(), mode) == kModes.end()) {
    return reply->Send(
        kBadRequest,
        ErrorBody(absl::StrCat("mode: allowed ", absl::StrJoin(kModes, ", "))));
  }
  const std::lock_guard lock(m_mutex);
  m_tasks.set_fail_all(mode == "fail_all");
  m_slowness = mode == "straggler" ? factor : 1;
  m_batch_mode = mode == "lose_replies"    ? BatchMode::kLoseReplies
                 : mode == "lose_requests" ? BatchMode::kLoseRequests
                                           : BatchMode::kNormal;
  reply->Send(kOk, "{}");
}

// The newest sample that is old enough.
void Worker::HandleUsage(const ReplyPtr& reply) {
  const std::lock_guard lock(m_mutex);
  const auto limit = SteadyClock::now() - m_options.usage_lag;
  Usage usage;
  for (const Usage& sample : m_usage) {
    if (sample.at <= limit) {
      usage = sample;
    }
  }
  reply->Send(kOk, Json{{"running", usage.running},
                        {"slots", m_options.capacity.slots},
                        {"millicores", usage.used.millicores},
                        {"memory_mb", usage.used.memory_mb},
                        {"accelerators", usage.used.accelerators}}
                       .dump());
}

void Worker::Housekeep() {
  const std::lock_guard lock(m_mutex);
  m_record.Flush();
  const SteadyClock::time_point now = SteadyClock::now();
  m_usage.push_back({now, m_tasks.running().size(), m_tasks.used()});
  // One sample older than the lag stays to be shown.
  while (m_usage.size() > 1 && m_usage[1].at <= now - m_options.usage_lag) {
    m_usage.pop_front();
  }
}

void Worker::ScheduleHousekeeping() {
  m_timers->RunAt(SteadyClock::now() + kHousekeepingPeriod, [this] {
    Housekeep();
    ScheduleHousekeeping();
  });
}

// The wait of `poll` is over: it gets an empty list unless it was answered.
void Worker::EndPoll(const ReplyPtr& poll) {
  const std::lock_guard lock(m_mutex);
  if (m_poll == poll) {
    m_poll->Send(
        kOk, Json{{"instance", m_instance}, {"ended", Json::array()}}.dump());
    m_poll = nullptr;
  }
}

bool Worker::CheckHolder(const std::string& holder, const ReplyPtr& reply) {
  if (!m_holder.empty() && holder == m_holder) {
    return true;
  }
  const Json body = {{"error", "other holder"}, {"holder", m_holder}};
  reply->Send(kConflict, body.dump());
  return false;
}

// A task without run time ends here, so that it costs no timer.
StartVerdict Worker::StartTask(const TaskToStart& task) {
  const SteadyClock::time_point now = SteadyClock::now();
  const StartVerdict verdict = m_tasks.Start(task, now);
  if (verdict != StartVerdict::kAccepted) {
    return verdict;
  }
  const double run_ms =
      RequestedRunMs(task.payload) * m_slowness * 100.0 / m_throttle_percent;
  if (run_ms == 0) {
    m_tasks.End(task.lease, now);
    return verdict;
  }
  m_timers->RunAt(now + milliseconds(static_cast<int64_t>(run_ms)),
                  [this, lease = task.lease] {
                    const std::lock_guard lock(m_mutex);
                    if (m_tasks.End(lease, SteadyClock::now())) {
                      AnswerPoll();
                    }
                  });
  return verdict;
}

std::string Worker::TaskListBody() const {
  Json tasks = Json::array();
  for (const auto& [lease, run] : m_tasks.running()) {
    tasks.push_back(
        TaskJson(lease, run.task.team, run.task.id, run.task.index, "running"));
  }
  for (const EndedTask& ended : m_tasks.ended()) {
    tasks.push_back(
        TaskJson(ended.lease, ended.team, ended.id, ended.index, "ended"));
  }
  return Json{{"instance", m_instance}, {"tasks", std::move(tasks)}}.dump();
}

void Worker::AnswerPoll() {
  if (m_poll == nullptr || m_tasks.ended().empty()) {
    return;
  }
  Json ended = Json::array();
  for (const EndedTask& task : m_tasks.ended()) {
    if (ended.size() == kMaxEndsInReply) {
      break;
    }
    ended.push_back({{"seq", task.sequence},
                     {"lease", task.lease},
                     {"status", task.status},
                     {"output", task.output},
                     {"run_ms", task.run_ms}});
  }
  const Json body = {{"instance", m_instance}, {"ended", std::move(ended)}};
  m_poll->Send(kOk, body.dump());
  m_poll = nullptr;
}

}  // namespace egretswitch::stand_ins
