#include "fake_callers.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr uint32_t kMostAttempts = 12;
constexpr VirtualUs kCallerPatience = Ms(2500);
constexpr VirtualUs kReconnectAfter = Ms(100);
constexpr int64_t kCallerSkewMs = kWallSkewMs / 2 - 10;

Submission MakeSubmission(const JobPlan& plan,
                          int64_t wall_ms,
                          uint32_t declared_factor) {
  Submission submission;
  submission.key = {"desk", plan.id};
  submission.kind = plan.kind;
  submission.submitted_ms = wall_ms;
  submission.deadline_ms = wall_ms + plan.deadline_after / 1000;
  submission.repeatable = plan.repeatable;
  for (size_t i = 0; i < plan.run_ms.size(); ++i) {
    TaskSpec task;
    task.payload = std::to_string(plan.run_ms[i]) + " " + plan.id + "#" +
                   std::to_string(i);
    task.declared_ms = plan.run_ms[i] * declared_factor;
    submission.tasks.push_back(std::move(task));
  }
  return submission;
}

}  // namespace

FakeCallers::FakeCallers(VirtualTime& time,
                         History& history,
                         std::vector<std::string> entries,
                         CallerPort port)
    : m_time(time),
      m_history(history),
      m_entries(std::move(entries)),
      m_port(std::move(port)),
      m_skew_ms(time.Random(-kCallerSkewMs, kCallerSkewMs)) {}

void FakeCallers::Submit(const JobPlan& plan, bool in_tail) {
  const int64_t wall_ms = kWallStartMs + m_time.now() / 1000 + m_skew_ms;
  JobRecord job;
  job.submission = MakeSubmission(plan, wall_ms, m_declared_factor);
  job.deadline = m_time.now() + plan.deadline_after;
  job.in_tail = in_tail;
  const SubmissionKey key = job.submission.key;
  m_history.jobs[key] = std::move(job);
  Send(key, plan.entry);
  for (const ResendPlan& resend : plan.resends) {
    m_time.After(resend.after,
                 [this, key, resend] { Send(key, resend.entry); });
  }
  if (plan.cancel_after != kNever) {
    m_time.After(plan.cancel_after, [this, key] { Cancel(key); });
  }
  if (plan.hang_up_after != kNever) {
    const uint64_t token = m_history.requests.size();
    m_time.After(plan.hang_up_after, [this, token] { HangUp(token); });
  }
}

// The balancer's choice: the wanted entry or the next that takes connections;
// one that drains only when no other does.
std::string FakeCallers::PickEntry(uint32_t wanted) const {
  for (const EntryDoor acceptable : {EntryDoor::kOpen, EntryDoor::kDraining}) {
    for (size_t i = 0; i < m_entries.size(); ++i) {
      const std::string& entry = m_entries[(wanted + i) % m_entries.size()];
      const EntryDoor door = m_port.door(entry);
      const EntryDoor seen =
          door == EntryDoor::kSilent ? EntryDoor::kOpen : door;
      if (seen == acceptable) {
        return entry;
      }
    }
  }
  return {};
}

uint32_t FakeCallers::AfterEntry(const std::string& entry) const {
  const auto it = std::find(m_entries.begin(), m_entries.end(), entry);
  return static_cast<uint32_t>(it - m_entries.begin() + 1);
}

void FakeCallers::Send(const SubmissionKey& key, uint32_t entry) {
  const std::string picked = PickEntry(entry);
  if (picked.empty()) {
    SendLater(key, entry, kReconnectAfter);
    return;
  }
  SendOn(key, picked);
}

RequestRecord& FakeCallers::OpenRequest(const SubmissionKey& key,
                                        const std::string& entry) {
  RequestRecord request;
  request.token = m_history.requests.size() + 1;
  request.key = key;
  request.entry = entry;
  request.sent = m_time.now();
  request.lost =
      m_port.door(entry) == EntryDoor::kSilent ? m_time.now() : kNever;
  m_history.requests.push_back(std::move(request));
  return m_history.requests.back();
}

void FakeCallers::SendOn(const SubmissionKey& key, const std::string& entry) {
  ++m_attempts[key].made;
  const RequestRecord& request = OpenRequest(key, entry);
  const bool silent = request.lost != kNever;
  m_port.send(
      entry, CallerSubmitted{request.token, m_history.jobs.at(key).submission});
  m_time.After(kCallerPatience, [this, silent, token = request.token] {
    const RequestRecord& sent = Request(token);
    if (sent.answers == 0 && (silent || sent.lost == kNever)) {
      SendLater(sent.key, AfterEntry(sent.entry), 0);
    }
  });
}

// Sends again unless the job is complete, cancelled, late or given up.
void FakeCallers::SendLater(const SubmissionKey& key,
                            uint32_t entry,
                            VirtualUs delay) {
  m_time.After(delay, [this, key, entry] {
    const JobRecord& job = m_history.jobs.at(key);
    const Attempts& attempts = m_attempts[key];
    if (!attempts.complete && job.cancelled == kNever &&
        m_time.now() < job.deadline && attempts.made < kMostAttempts) {
      Send(key, entry);
    }
  });
}

void FakeCallers::ReplayLate(VirtualUs delay) {
  if (m_history.requests.empty()) {
    return;
  }
  const RequestRecord last = m_history.requests.back();
  const std::string entry = PickEntry(AfterEntry(last.entry));
  if (entry.empty()) {
    return;
  }
  RequestRecord late = last;
  late.token = m_history.requests.size() + 1;
  late.entry = entry;
  late.sent = m_time.now();
  late.lost = m_time.now();
  late.answered = kNever;
  late.answers = 0;
  m_history.requests.push_back(late);
  m_time.After(delay, [this, late] {
    if (m_port.door(late.entry) != EntryDoor::kRefuses) {
      m_port.send(
          late.entry,
          CallerSubmitted{late.token, m_history.jobs.at(late.key).submission});
    }
  });
}

// Cancels through the entry of the newest request of the job, or the next one
// that takes connections.
void FakeCallers::Cancel(const SubmissionKey& key) {
  m_history.jobs.at(key).cancelled = m_time.now();
  for (auto it = m_history.requests.rbegin(); it != m_history.requests.rend();
       ++it) {
    if (it->key == key && it->lost == kNever) {
      const std::string entry = PickEntry(AfterEntry(it->entry) - 1);
      if (entry.empty()) {
        return;
      }
      const RequestRecord& call = OpenRequest(key, entry);
      m_history.requests.back().cancels = true;
      m_port.send(entry, CallerCancelled{call.token, key});
      return;
    }
  }
}

void FakeCallers::HangUp(uint64_t token) {
  RequestRecord& request = Request(token);
  if (request.answers > 0 || request.lost != kNever) {
    return;
  }
  request.lost = m_time.now();
  m_port.send(request.entry, CallerGone{token});
  SendLater(request.key, AfterEntry(request.entry), kReconnectAfter);
}

void FakeCallers::OnAnswer(const AnswerCaller& answer) {
  if (answer.token == 0 || answer.token > m_history.requests.size()) {
    return;
  }
  RequestRecord& request = Request(answer.token);
  ++request.answers;
  if (request.answers == 1) {
    request.answered = m_time.now();
    request.outcome = answer.outcome;
    m_time.After(Ms(1), [this, token = answer.token] { React(token); });
  }
}

// After a refusal the caller follows retry-after, through another entry.
void FakeCallers::React(uint64_t token) {
  const RequestRecord& request = Request(token);
  if (std::holds_alternative<JobAnswer>(request.outcome)) {
    m_attempts[request.key].complete = true;
    return;
  }
  const auto& refusal = std::get<JobRefusal>(request.outcome);
  if (refusal.retry_after_ms > 0 && !request.cancels) {
    SendLater(request.key, AfterEntry(request.entry),
              Ms(refusal.retry_after_ms));
  }
}

void FakeCallers::OnEntryGone(const std::string& entry,
                              VirtualUs opened_until) {
  for (RequestRecord& request : m_history.requests) {
    if (request.entry == entry && request.answers == 0 &&
        request.lost == kNever && request.sent <= opened_until) {
      request.lost = m_time.now();
      SendLater(request.key, AfterEntry(entry), kReconnectAfter);
    }
  }
}

}  // namespace egretswitch::internal
