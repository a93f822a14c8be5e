// Callers: each hands its job in, and again after an attempt without an answer,
// at any entry.
#include "absl/strings/str_cat.h"
#include "run_limits.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kPatience = Ms(2500);
constexpr int kMaxAttempts = 4;

}  // namespace

void RunWorld::Submit(int caller) {
  Caller& from = m_callers[caller];
  if (from.ended || from.open_call.has_value()) {
    return;
  }
  ++from.attempts;
  from.entry = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
  const int entry = from.entry;
  if (m_entries[entry].node == nullptr) {
    AttemptEnded(caller, std::nullopt);
    return;
  }
  const CallId call = ++m_calls;
  from.open_call = call;
  from.sent_at = m_time.now();
  m_caller_of_call[{entry, call}] = caller;
  JobArrived arrival;
  arrival.call = call;
  arrival.job.id = from.id;
  arrival.job.steps = {
      {from.tasks, kFakeTaskNeeds, static_cast<uint32_t>(from.work_ms)}};
  arrival.job.may_run_again = true;
  arrival.queue.service = "desk";
  arrival.queue.max_attempts = 3;
  arrival.queue.stretch = 1.6;
  arrival.queue.objective_ms = 60;
  arrival.patience = absl::Microseconds(kPatience);
  m_time.After(kLinkDelay, [this, entry, arrival] { ToEntry(entry, arrival); });
  m_time.After(kPatience, [this, caller, entry, call] {
    if (m_callers[caller].open_call == call) {
      AttemptEnded(caller, std::nullopt);
      m_time.After(kLinkDelay,
                   [this, entry, call] { ToEntry(entry, CallerLeft{call}); });
    }
  });
}

void RunWorld::OnAnswer(int entry, const AnswerJob& answer) {
  const auto it = m_caller_of_call.find({entry, answer.call});
  if (it != m_caller_of_call.end() &&
      m_callers[it->second].open_call == answer.call) {
    AttemptEnded(it->second, answer.answer.verdict);
  }
}

void RunWorld::AttemptEnded(int caller, std::optional<JobVerdict> verdict) {
  Caller& from = m_callers[caller];
  from.open_call.reset();
  if (verdict != JobVerdict::kNotRun) {
    from.all_refused = false;
  }
  if (verdict == JobVerdict::kCompleted) {
    ++m_completed;
  }
  const bool again =
      !verdict.has_value() || *verdict == JobVerdict::kMayHaveRun;
  if (!again || from.attempts >= kMaxAttempts) {
    from.ended = true;
    return;
  }
  m_time.After(absl::ToInt64Microseconds(kResendAfter),
               [this, caller] { Submit(caller); });
}

}  // namespace egretswitch::internal
