// Like the platform's worker, grants a lease of limited length on its own
// clock.
#include "fake_run_worker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "task_needs.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {

FakeRunWorker::FakeRunWorker(std::string incarnation,
                             double clock_rate,
                             TaskNeeds capacity,
                             VirtualUs clock_starts,
                             int64_t max_lease_ms)
    : m_incarnation(std::move(incarnation)),
      m_clock_rate(clock_rate),
      m_capacity(capacity),
      m_clock_starts(clock_starts),
      m_max_lease_ms(max_lease_ms) {}

int64_t FakeRunWorker::ClockMs(VirtualUs now) const {
  const double age_ms = static_cast<double>(now - m_clock_starts) / 1000;
  return 1000 + static_cast<int64_t>(std::floor(age_ms * m_clock_rate));
}

CallVerdict FakeRunWorker::Check(const std::string& worker, uint64_t token) {
  if (WorkerIdOf(worker) != WorkerIdOf(m_incarnation)) {
    return CallVerdict::kOtherWorker;
  }
  if (token < m_token) {
    return CallVerdict::kFenced;
  }
  m_token = token;
  return CallVerdict::kDone;
}

TaskNeeds FakeRunWorker::Free() const {
  TaskNeeds free = m_capacity;
  for (const auto& [key, needs] : m_used) {
    Subtract(free, needs);
  }
  return free;
}

CallAnswer FakeRunWorker::Start(const StartCall& call,
                                VirtualUs now,
                                int64_t work_ms,
                                const TaskNeeds& needs,
                                WorkerRunEnd end) {
  Advance(now);
  const int64_t clock = ClockMs(now);
  CallVerdict verdict = Check(call.worker, call.fencing_token);
  const auto highest_ended = m_highest_ended.find(call.key.task);
  if (verdict != CallVerdict::kDone || m_running.contains(call.key)) {
    return {verdict, clock};
  }
  if (highest_ended != m_highest_ended.end() &&
      call.key.run <= highest_ended->second) {
    verdict = CallVerdict::kOldNumber;
  } else if (call.lease_until_ms <= clock) {
    verdict = CallVerdict::kTooLate;
  } else if (!Fits(needs, Free())) {
    verdict = CallVerdict::kNoCapacity;
  }
  const int64_t longest = clock + m_max_lease_ms;
  m_lease_until_ms =
      std::max(m_lease_until_ms, std::min(call.lease_until_ms, longest));
  if (verdict == CallVerdict::kDone) {
    m_running[call.key] = now + Ms(work_ms);
    m_used[call.key] = needs;
    m_ends[call.key] = end;
  }
  return {verdict, clock};
}

CallAnswer FakeRunWorker::Stop(const StopCall& call,
                               VirtualUs now,
                               VirtualUs takes) {
  Advance(now);
  const CallVerdict verdict = Check(call.worker, call.fencing_token);
  if (verdict == CallVerdict::kDone) {
    RunNumber& highest = m_highest_ended[call.key.task];
    highest = std::max(highest, call.key.run);
    const auto running = m_running.find(call.key);
    if (running != m_running.end() && takes == 0) {
      End(call.key, WorkerRunEnd::kStopped);
    } else if (running != m_running.end() && now + takes < running->second) {
      running->second = now + takes;
      m_ends[call.key] = WorkerRunEnd::kStopped;
    }
  }
  return {verdict, ClockMs(now)};
}

PollAnswer FakeRunWorker::Poll(const PollCall& call, VirtualUs now) {
  Advance(now);
  PollAnswer answer;
  answer.call = {Check(call.worker, call.fencing_token), ClockMs(now)};
  if (answer.call.verdict != CallVerdict::kDone) {
    return answer;
  }
  const int64_t longest = ClockMs(now) + m_max_lease_ms;
  m_lease_until_ms =
      std::max(m_lease_until_ms, std::min(call.lease_until_ms, longest));
  std::erase_if(m_ended, [&call](const EndedRun& ended) {
    return ended.sequence <= call.acknowledged;
  });
  if (StartTimeOf(m_incarnation) != 0) {
    answer.call.incarnation = m_incarnation;
    if (call.worker != m_incarnation) {
      answer.call.verdict = CallVerdict::kOtherWorker;
      return answer;
    }
  }
  answer.ended.assign(m_ended.begin(), m_ended.end());
  for (const auto& [key, done_at] : m_running) {
    answer.running.push_back(key);
  }
  return answer;
}

VirtualUs FakeRunWorker::NextEnd() const {
  VirtualUs next = std::numeric_limits<VirtualUs>::max();
  for (const auto& [key, done_at] : m_running) {
    next = std::min(next, done_at);
  }
  return next;
}

// `key` is passed by value because it may refer to the map entry being erased.
void FakeRunWorker::End(RunKey key, WorkerRunEnd end) {
  m_running.erase(key);
  m_used.erase(key);
  m_ends.erase(key);
  RunNumber& highest = m_highest_ended[key.task];
  highest = std::max(highest, key.run);
  m_ended.push_back({++m_sequence, key, end});
}

bool FakeRunWorker::Advance(VirtualUs now) {
  const size_t before = m_running.size();
  if (ClockMs(now) >= m_lease_until_ms) {
    while (!m_running.empty()) {
      const bool done = m_running.begin()->second <= now;
      m_lapsed += done ? 0 : 1;
      End(m_running.begin()->first,
          done ? m_ends.begin()->second : WorkerRunEnd::kLapsed);
    }
  }
  std::vector<RunKey> done;
  for (const auto& [key, done_at] : m_running) {
    if (done_at <= now) {
      done.push_back(key);
    }
  }
  for (const RunKey& key : done) {
    End(key, m_ends.at(key));
  }
  return m_running.size() != before;
}

}  // namespace egretswitch::internal
