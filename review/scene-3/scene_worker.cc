#include "scene_worker.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "http_call.h"
#include "platform/job_codec.h"
#include "platform/wire_names.h"

namespace egretswitch::review {
namespace {

using internal::CallAnswer;
using internal::CallVerdict;
using internal::RunKey;
using internal::VirtualUs;
using internal::WorkerRunEnd;

constexpr absl::Duration kWatchPeriod = absl::Milliseconds(1);
constexpr absl::Duration kWaitStep = absl::Milliseconds(2);
constexpr absl::Duration kAnnouncePeriod = absl::Milliseconds(500);

VirtualUs RealNow() {
  return absl::ToInt64Microseconds(internal::EventLoop::MonoNow());
}

RunKey KeyFrom(const nlohmann::json& body) {
  return {*platform::DecodeTaskName(body["task"].get<std::string>()),
          body["run"].get<uint64_t>()};
}

std::string AddressedTo(const stand_ins::HttpRequest& request) {
  const auto header = request.headers.find(
      absl::AsciiStrToLower(platform::kExpectedInstanceHeader));
  return header == request.headers.end() ? "" : header->second;
}

const char* ReasonOf(CallVerdict verdict) {
  switch (verdict) {
    case CallVerdict::kFenced:
      return "fence";
    case CallVerdict::kOldNumber:
      return "old";
    case CallVerdict::kTooLate:
      return "late";
    default:
      return "room";
  }
}

void Send(const CallAnswer& answer,
          nlohmann::json body,
          const std::shared_ptr<stand_ins::HttpReply>& reply) {
  body["clock_ms"] = answer.clock_ms;
  if (answer.verdict == CallVerdict::kDone) {
    reply->Send(200, body.dump());
  } else if (answer.verdict == CallVerdict::kOtherWorker) {
    reply->Send(421, body.dump());
  } else {
    body["reason"] = ReasonOf(answer.verdict);
    reply->Send(409, body.dump());
  }
}

const char* NameOf(WorkerRunEnd end) {
  switch (end) {
    case WorkerRunEnd::kDone:
      return "done";
    case WorkerRunEnd::kFailed:
      return "failed";
    case WorkerRunEnd::kLapsed:
      return "lapsed";
    case WorkerRunEnd::kStopped:
      break;
  }
  return "stopped";
}

}  // namespace

SceneWorker::SceneWorker(internal::EventLoop& loop,
                         std::string id,
                         const SceneWorkerOptions& options)
    : m_loop(loop),
      m_id(std::move(id)),
      m_capacity(options.capacity),
      m_worker(m_id,
               /*clock_rate=*/1.0,
               options.capacity,
               /*clock_starts=*/RealNow(),
               options.max_lease_ms) {
  const absl::Status status =
      m_server.Start({}, [this](const Request& request, const Reply& reply) {
        m_loop.Post([this, request, reply] { Serve(request, reply); });
      });
  if (!status.ok()) {
    std::abort();
  }
  WatchRuns();
}

std::string SceneWorker::address() const {
  return absl::StrCat("127.0.0.1:", m_server.port());
}

VirtualUs SceneWorker::Now() const {
  const VirtualUs real = m_suspended ? m_suspended_at : RealNow();
  return real - m_suspended_for;
}

void SceneWorker::Suspend() {
  m_suspended_at = RealNow();
  m_suspended = true;
}

void SceneWorker::Resume() {
  m_suspended = false;
  m_suspended_for += RealNow() - m_suspended_at;
  for (const auto& [request, reply] : std::exchange(m_waiting, {})) {
    Serve(request, reply);
  }
}

std::set<RunKey> SceneWorker::Running() {
  m_worker.Advance(Now());
  std::set<RunKey> running;
  for (const auto& [key, done_at] : m_worker.running()) {
    running.insert(key);
  }
  return running;
}

void SceneWorker::WatchRuns() {
  if (!m_suspended) {
    const std::set<RunKey> running = Running();
    for (const RunKey& key : std::exchange(m_seen, running)) {
      if (!running.contains(key) && m_on_end) {
        m_on_end(key);
      }
    }
  }
  m_loop.RunAfter(kWatchPeriod, [this] { WatchRuns(); });
}

void SceneWorker::Serve(const Request& request, const Reply& reply) {
  if (m_suspended) {
    m_waiting.emplace_back(request, reply);
  } else if (request.path == platform::kRunStartPath) {
    Start(request, reply);
  } else if (request.path == platform::kRunStopPath) {
    Stop(request, reply);
  } else if (request.path == platform::kHoldPath) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    Hold(request, reply, body.value("wait_ms", 0) / 2);
  } else {
    reply->Send(404, "{}");
  }
}

void SceneWorker::Start(const Request& request, const Reply& reply) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const RunKey key = KeyFrom(body);
  const bool was_there = Running().contains(key);
  const CallAnswer answer =
      m_worker.Start({.worker = AddressedTo(request),
                      .key = key,
                      .spec = body.value("spec", ""),
                      .lease_until_ms = body["deadline_ms"].get<int64_t>(),
                      .fencing_token = body["fencing_token"].get<uint64_t>()},
                     Now(), std::atoll(body.value("spec", "0").c_str()));
  if (answer.verdict == CallVerdict::kDone && !was_there) {
    m_seen.insert(key);
    if (m_on_start) {
      m_on_start(key);
    }
  }
  Send(answer, nlohmann::json::object(), reply);
}

void SceneWorker::Stop(const Request& request, const Reply& reply) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const CallAnswer answer =
      m_worker.Stop({.worker = AddressedTo(request),
                     .key = KeyFrom(body),
                     .fencing_token = body["fencing_token"].get<uint64_t>()},
                    Now());
  Send(answer, nlohmann::json::object(), reply);
}

void SceneWorker::Hold(const Request& request,
                       const Reply& reply,
                       int waits_left) {
  if (m_suspended) {
    m_waiting.emplace_back(request, reply);
    return;
  }
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const internal::PollAnswer found =
      m_worker.Poll({.worker = AddressedTo(request),
                     .lease_until_ms = body.value("deadline_ms", int64_t{0}),
                     .fencing_token = body["fencing_token"].get<uint64_t>(),
                     .acknowledged = body["last_seen"].get<uint64_t>(),
                     .wait = absl::ZeroDuration()},
                    Now());
  if (found.ended.empty() && waits_left > 0 &&
      found.call.verdict == CallVerdict::kDone) {
    m_loop.RunAfter(kWaitStep, [this, request, reply, waits_left] {
      Hold(request, reply, waits_left - 1);
    });
    return;
  }
  nlohmann::json running = nlohmann::json::array();
  for (const RunKey& key : found.running) {
    running.push_back(
        {platform::EncodeTaskName(key.task), key.run, "", 100, 0});
  }
  nlohmann::json ended = nlohmann::json::array();
  for (const internal::EndedRun& run : found.ended) {
    ended.push_back({run.sequence, platform::EncodeTaskName(run.key.task),
                     run.key.run, NameOf(run.end), ""});
  }
  Send(found.call, {{"running", running}, {"ended_runs", ended}}, reply);
}

void SceneWorker::AnnounceTo(const std::string& agent) {
  m_agent = agent;
  Announce();
}

void SceneWorker::Announce() {
  m_loop.RunAfter(kAnnouncePeriod, [this] { Announce(); });
  if (m_suspended) {
    return;
  }
  const std::string body = nlohmann::json{
      {"service", "desk"},
      {"address", address()},
      {"zone", "dc-0"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", m_capacity.millicores},
        {"mem_mb", m_capacity.memory_mb},
        {"gpu", 0}}},
      {"labels", {"a", "r1"}},
      {"clock_ms", m_worker.ClockMs(Now())},
      {"sequence",
       ++m_announcements}}.dump();
  std::thread([agent = m_agent, id = m_id, body] {
    CallHttp(agent, {.method = "PUT",
                     .path = platform::kInstancePathPrefix + id,
                     .body = body});
  }).detach();
}

}  // namespace egretswitch::review
