#include "worker_tasks.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace egretswitch::stand_ins {
namespace {

using Json = nlohmann::json;

// A holder that does not fetch its ends gets no further starts.
constexpr size_t kMaxUnacknowledged = 20'000;

// What a payload asks for. A text that is not a JSON object is its own echo.
struct PayloadWish {
  uint32_t run_ms = 0;
  std::string echo;
  bool fail = false;
};

PayloadWish ParsePayload(std::string_view payload) {
  const Json json = Json::parse(payload, nullptr, false);
  PayloadWish wish;
  if (!json.is_object()) {
    wish.echo = payload;
    return wish;
  }
  const auto run_ms = json.find("run_ms");
  if (run_ms != json.end() && run_ms->is_number_unsigned()) {
    wish.run_ms = run_ms->get<uint32_t>();
  }
  const auto echo = json.find("echo");
  if (echo != json.end() && echo->is_string()) {
    wish.echo = echo->get<std::string>();
  }
  const auto fail = json.find("fail");
  wish.fail = fail != json.end() && fail->is_boolean() && fail->get<bool>();
  return wish;
}

}  // namespace

std::string_view StartVerdictName(StartVerdict verdict) {
  switch (verdict) {
    case StartVerdict::kAccepted:
      return "accepted";
    case StartVerdict::kNoSlot:
      return "no_slot";
    case StartVerdict::kNoCapacity:
      return "no_capacity";
    case StartVerdict::kDuplicate:
      break;
  }
  return "duplicate";
}

uint32_t RequestedRunMs(std::string_view payload) {
  return ParsePayload(payload).run_ms;
}

WorkerTasks::WorkerTasks(std::string worker_name,
                         const WorkerCapacity& capacity,
                         StartRecord* record)
    : m_worker_name(std::move(worker_name)),
      m_capacity(capacity),
      m_record(record) {}

StartVerdict WorkerTasks::Start(const TaskToStart& task, TimePoint now) {
  if (IsKnown(task.lease)) {
    return StartVerdict::kDuplicate;
  }
  if (m_running.size() >= m_capacity.slots ||
      m_ended.size() >= kMaxUnacknowledged) {
    return StartVerdict::kNoSlot;
  }
  if (!Fits(task.needs)) {
    return StartVerdict::kNoCapacity;
  }
  m_used.millicores += task.needs.millicores;
  m_used.memory_mb += task.needs.memory_mb;
  m_used.accelerators += task.needs.accelerators;
  const PayloadWish wish = ParsePayload(task.payload);
  const Json output = {{"echo", wish.echo}, {"worker", m_worker_name}};
  m_running[task.lease] = {
      task, now, wish.fail || m_fail_all,
      output.dump(-1, ' ', false, Json::error_handler_t::replace)};
  m_record->Started(task.lease, task.team, task.id, task.index);
  return StartVerdict::kAccepted;
}

bool WorkerTasks::End(const std::string& lease, TimePoint now) {
  const auto it = m_running.find(lease);
  if (it == m_running.end()) {
    return false;
  }
  Finish(it, now);
  return true;
}

bool WorkerTasks::Stop(const std::string& lease, TimePoint now) {
  const auto it = m_running.find(lease);
  if (it == m_running.end()) {
    return false;
  }
  it->second.fails = true;
  it->second.output = "stopped";
  Finish(it, now);
  return true;
}

void WorkerTasks::Acknowledge(uint64_t sequence) {
  while (!m_ended.empty() && m_ended.front().sequence <= sequence) {
    m_ended_leases.erase(m_ended.front().lease);
    m_ended.pop_front();
  }
}

bool WorkerTasks::Fits(const Resources& needs) const {
  const Resources& all = m_capacity.resources;
  return needs.millicores <= all.millicores - m_used.millicores &&
         needs.memory_mb <= all.memory_mb - m_used.memory_mb &&
         needs.accelerators <= all.accelerators - m_used.accelerators;
}

bool WorkerTasks::IsKnown(const std::string& lease) const {
  return m_running.count(lease) > 0 || m_ended_leases.count(lease) > 0;
}

void WorkerTasks::Finish(
    std::unordered_map<std::string, RunningTask>::iterator it,
    TimePoint now) {
  RunningTask run = std::move(it->second);
  m_running.erase(it);
  m_used.millicores -= run.task.needs.millicores;
  m_used.memory_mb -= run.task.needs.memory_mb;
  m_used.accelerators -= run.task.needs.accelerators;
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - run.started);
  const std::string status = run.fails ? "failed" : "finished";
  m_record->Ended(run.task.lease, status);
  m_ended_leases.insert(run.task.lease);
  m_ended.push_back({m_next_sequence++, std::move(run.task.lease),
                     std::move(run.task.team), std::move(run.task.id),
                     run.task.index, status, std::move(run.output),
                     static_cast<uint32_t>(elapsed.count())});
}

}  // namespace egretswitch::stand_ins
