#include "cancel_calls.h"

#include <utility>

#include "node_limits.h"
#include "retry_after.h"

namespace egretswitch::internal {
namespace {

constexpr double kNoOwnerRetryMs = 1000;

}  // namespace

CancelCalls::CancelCalls(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")) {
  kernel.Register("cancels", this);
}

void CancelCalls::Open(CallerToken token, const SubmissionKey& key) {
  m_calls[token] = Call{key, m_entry.context.now().mono};
}

void CancelCalls::Resolve(const SubmissionKey& key, const JobOutcome& outcome) {
  const auto* refusal = std::get_if<JobRefusal>(&outcome);
  if (refusal && refusal->reason == RefusalReason::kIdConflict) {
    return;  // says nothing of the job that has the id
  }
  for (auto it = m_calls.begin(); it != m_calls.end();) {
    if (it->second.key == key) {
      AnswerToken(m_entry.context, it->first, outcome);
      it = m_calls.erase(it);
    } else {
      ++it;
    }
  }
}

JobRefusal CancelCalls::NoOwner() {
  return JobRefusal{
      RefusalReason::kNoOwner, RunVerdict::kMayHaveRun,
      SpreadRetryAfterMs(kNoOwnerRetryMs, m_entry.context.random()),
      "not cancelled: the owner of the job can't be reached now"};
}

void CancelCalls::Refuse(const SubmissionKey& key) {
  Resolve(key, NoOwner());
}

void CancelCalls::OnTick() {
  const MonoTime now = m_entry.context.now().mono;
  for (auto it = m_calls.begin(); it != m_calls.end();) {
    if (now >= it->second.since + kOwnerPatience) {
      AnswerToken(m_entry.context, it->first, NoOwner());
      it = m_calls.erase(it);
    } else {
      ++it;
    }
  }
}

void AnswerToken(NodeContext& context, CallerToken token, JobOutcome outcome) {
  if (const auto* refusal = std::get_if<JobRefusal>(&outcome)) {
    context.counters().AddRefusal(refusal->reason);
  } else {
    context.counters().Add(Counter::kJobsAnswered);
  }
  context.Do(AnswerCaller{token, std::move(outcome)});
}

}  // namespace egretswitch::internal
