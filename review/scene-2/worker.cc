#include "worker.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "platform/job_codec.h"
#include "platform/wire_names.h"
#include "worker_incarnation.h"

namespace egretswitch::review {
namespace {

using internal::CallAnswer;
using internal::CallVerdict;
using internal::EventLoop;
using internal::RunKey;
using internal::TaskText;
using internal::WorkerRunEnd;

constexpr absl::Duration kHeartbeat = absl::Milliseconds(1500);
constexpr absl::Duration kReportAgain = absl::Milliseconds(300);
// A waiting call looks for new ends this often.
constexpr absl::Duration kWaitStep = absl::Milliseconds(2);
constexpr std::string_view kFailSpec = "fail ";
constexpr size_t kVerbLength = kFailSpec.size();

int64_t NowUs() {
  return absl::ToInt64Microseconds(EventLoop::MonoNow());
}

int64_t WorkMs(const std::string& spec) {
  return std::atoll(spec.substr(kVerbLength).c_str());
}

std::string Expected(const stand_ins::HttpRequest& request) {
  const auto header = request.headers.find(
      absl::AsciiStrToLower(platform::kExpectedInstanceHeader));
  return header == request.headers.end() ? "" : header->second;
}

RunKey KeyOf(const nlohmann::json& body) {
  return {*platform::DecodeTaskName(body["task"].get<std::string>()),
          body["run"].get<uint64_t>()};
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
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  constexpr int kMisdirected = 421;
  body["clock_ms"] = answer.clock_ms;
  if (answer.verdict == CallVerdict::kDone) {
    reply->Send(kOk, body.dump());
  } else if (answer.verdict == CallVerdict::kOtherWorker) {
    reply->Send(kMisdirected, body.dump());
  } else {
    body["reason"] = ReasonOf(answer.verdict);
    reply->Send(kConflict, body.dump());
  }
}

}  // namespace

Worker::Worker(EventLoop& loop, Record& record, std::string id)
    : m_loop(loop), m_record(record), m_id(std::move(id)), m_http(loop) {
  Restart();
  const absl::Status status =
      m_server.Start({}, [this](const Request& request, const Reply& reply) {
        m_loop.Post([this, request, reply] { Serve(request, reply); });
      });
  if (!status.ok()) {
    std::abort();
  }
}

std::string Worker::address() const {
  return absl::StrCat("127.0.0.1:", m_server.port());
}

void Worker::ReportTo(const std::string& agent) {
  m_agent = agent;
  Report();
}

void Worker::Crash() {
  m_worker.reset();
  m_failing.clear();
  m_record.Note(m_id + " crashes");
}

// Its clock and its counts start anew.
void Worker::Restart() {
  m_worker = std::make_unique<internal::FakeRunWorker>(
      internal::IncarnationName(m_id, EventLoop::WallNowMs()),
      /*clock_rate=*/1.0, internal::kFakeWorkerCapacity, NowUs());
  m_reports = 0;
  m_record.Note(m_id + " starts");
}

bool Worker::Runs(const internal::TaskRef& task) {
  if (m_worker == nullptr) {
    return false;
  }
  m_worker->Advance(NowUs());
  const auto& running = m_worker->running();
  return std::any_of(running.begin(), running.end(), [&task](const auto& run) {
    return run.first.task == task;
  });
}

// A call names the worker by its id alone, which does not change.
std::string Worker::Addressee(const Request& request) const {
  const std::string expected = Expected(request);
  return expected == m_id ? m_worker->incarnation() : expected;
}

void Worker::Report() {
  if (m_worker == nullptr) {
    m_loop.RunAfter(kReportAgain, [this] { Report(); });
    return;
  }
  const TaskNeeds& capacity = internal::kFakeWorkerCapacity;
  internal::HttpCall call;
  call.method = internal::HttpMethod::kPut;
  call.url =
      absl::StrCat("http://", m_agent, platform::kInstancePathPrefix, m_id);
  call.timeout = absl::Seconds(1);
  call.body =
      nlohmann::json{{"service", "desk"},
                     {"address", address()},
                     {"zone", "hall"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_remaining_ms", 0},
                     {"capacity",
                      {{"cpu", capacity.millicores},
                       {"mem_mb", capacity.memory_mb},
                       {"gpu", 0}}},
                     {"labels", {"a", "r1"}},
                     {"clock_ms", m_worker->ClockMs(NowUs())},
                     {"born", internal::StartTimeOf(m_worker->incarnation())},
                     {"sequence", ++m_reports}}
          .dump();
  m_http.Send(std::move(call), [this](const internal::HttpCallResult& result) {
    m_loop.RunAfter(result.status == 200 ? kHeartbeat : kReportAgain,
                    [this] { Report(); });
  });
}

void Worker::Serve(const Request& request, const Reply& reply) {
  if (m_worker == nullptr) {
    reply->Drop();
  } else if (request.path == platform::kRunStartPath) {
    Start(request, reply);
  } else if (request.path == platform::kRunStopPath) {
    Stop(request, reply);
  } else if (request.path == platform::kHoldPath) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const absl::Duration wait = absl::Milliseconds(body.value("wait_ms", 0));
    Hold(request, reply, static_cast<int>(wait / kWaitStep));
  } else {
    reply->Send(404, "{}");
  }
}

void Worker::Start(const Request& request, const Reply& reply) {
  const RunKey key = KeyOf(nlohmann::json::parse(request.body));
  const absl::Duration late =
      m_late_order ? m_late_order(key.task.job) : absl::ZeroDuration();
  if (late == absl::ZeroDuration()) {
    CarryOutStart(request, reply);
    return;
  }
  m_record.Note(absl::StrCat("an order to start ", TaskText(key.task), " at ",
                             m_id, " gets no answer"));
  m_loop.RunAfter(late, [this, key, request, reply] {
    if (m_worker != nullptr) {
      m_record.Note(absl::StrCat("the order to start ", TaskText(key.task),
                                 " at ", m_id, " is carried out now"));
      CarryOutStart(request, reply);
    }
  });
}

void Worker::CarryOutStart(const Request& request, const Reply& reply) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const RunKey key = KeyOf(body);
  const std::string spec = body.value("spec", "");
  const bool was_there = m_worker->running().contains(key);
  const CallAnswer answer =
      m_worker->Start({.worker = Addressee(request),
                       .key = key,
                       .spec = spec,
                       .lease_until_ms = body["deadline_ms"].get<int64_t>(),
                       .fencing_token = body["fencing_token"].get<uint64_t>()},
                      NowUs(), WorkMs(spec));
  if (answer.verdict == CallVerdict::kDone && !was_there) {
    if (spec.starts_with(kFailSpec)) {
      m_failing.insert(key);
    }
    m_record.RunStarted({.task = body["task"].get<std::string>(),
                         .job = key.task.job,
                         .worker = m_id,
                         .at = EventLoop::MonoNow()});
    if (m_on_start) {
      m_on_start(key);
    }
  }
  Send(answer, nlohmann::json::object(), reply);
}

void Worker::Stop(const Request& request, const Reply& reply) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  Send(m_worker->Stop({.worker = Addressee(request),
                       .key = KeyOf(body),
                       .fencing_token = body["fencing_token"].get<uint64_t>()},
                      NowUs()),
       nlohmann::json::object(), reply);
}

const char* Worker::HowOf(const internal::EndedRun& run) const {
  if (run.end == WorkerRunEnd::kDone) {
    return m_failing.contains(run.key) ? "failed" : "done";
  }
  return run.end == WorkerRunEnd::kLapsed ? "lapsed" : "stopped";
}

void Worker::Hold(const Request& request, const Reply& reply, int waits_left) {
  if (m_worker == nullptr) {
    reply->Drop();
    return;
  }
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const internal::PollAnswer found =
      m_worker->Poll({.worker = Addressee(request),
                      .lease_until_ms = body.value("deadline_ms", int64_t{0}),
                      .fencing_token = body["fencing_token"].get<uint64_t>(),
                      .acknowledged = body["last_seen"].get<uint64_t>(),
                      .wait = absl::ZeroDuration()},
                     NowUs());
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
                     run.key.run, HowOf(run), ""});
  }
  CallAnswer answer = found.call;
  if (answer.verdict == CallVerdict::kOtherWorker &&
      Expected(request) == m_id) {
    answer.verdict = CallVerdict::kDone;
  }
  Send(answer,
       {{"born", internal::StartTimeOf(m_worker->incarnation())},
        {"running", running},
        {"ended_runs", ended}},
       reply);
}

}  // namespace egretswitch::review
