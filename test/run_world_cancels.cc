// Cancels of jobs in RunWorld, the memory of them, and the links between its
// entries. These links carry nothing else; they last as long as both entries
// run.
#include <chrono>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "run_fixture.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

// The time in which a cancel must take effect once it is acknowledged.
constexpr VirtualUs kCancelBound = Ms(3000);
// A caller repeats a cancel that was not confirmed, or not answered.
constexpr VirtualUs kRepeatCancelAfter = Ms(1000);
constexpr int kMaxCancelAttempts = 5;

int EntryNumber(const std::string& name) {
  return std::stoi(name.substr(name.find('-') + 1));
}

}  // namespace

void RunWorld::StartSearch(int entry) {
  Entry& process = m_entries[entry];
  process.search = std::make_unique<CancelSearch>(
      process.incarnation << 32,
      [this, entry](absl::Span<const std::string> jobs) {
        const std::vector<std::string> news =
            m_entries[entry].node->cancelled_jobs().NewsAmong(jobs,
                                                              NowAt().mono);
        ToEntry(entry, JobsCancelled{{jobs.begin(), jobs.end()}});
        ToExchange(m_entries[entry], CancelsRecorded{news});
        std::vector<bool> held;
        for (const std::string& job : jobs) {
          held.push_back(m_entries[entry].node->HasCancelled(job));
        }
        return held;
      });
  StartExchange(process);
  ToSearch(entry, EntriesCounted{m_entries.size()});
  for (const Entry& other : m_entries) {
    if (other.number != entry && other.search != nullptr) {
      ToSearch(entry, CancelPeerConnected{other.name, other.incarnation, true});
      ToSearch(other.number,
               CancelPeerConnected{process.name, process.incarnation, true});
      ToExchange(process, CancelMemoryPeerUp{other.name, other.incarnation,
                                             ProcessRole::kEntry, true});
      ToExchange(m_entries[other.number],
                 CancelMemoryPeerUp{process.name, process.incarnation,
                                    ProcessRole::kEntry, true});
    }
  }
}

void RunWorld::EndSearch(int entry) {
  const Entry& process = m_entries[entry];
  m_entries[entry].search.reset();
  m_entries[entry].exchange.reset();
  for (const Entry& other : m_entries) {
    const PeerDisconnected lost{process.name, process.incarnation};
    ToSearch(other.number, lost);
    ToExchange(m_entries[other.number], lost);
  }
}

void RunWorld::ToSearch(int entry, const CancelEvent& event) {
  Entry& process = m_entries[entry];
  if (process.search == nullptr) {
    return;
  }
  if (m_time.now() < process.frozen_until) {
    m_time.At(process.frozen_until,
              [this, entry, event, incarnation = process.incarnation] {
                if (m_entries[entry].incarnation == incarnation) {
                  ToSearch(entry, event);
                }
              });
    return;
  }
  const auto began = std::chrono::steady_clock::now();
  const CancelActions actions = process.search->Handle(event, NowAt().mono);
  if (std::holds_alternative<CancelRequested>(event)) {
    ToExchange(process, CancelsAcknowledged{});
  }
  m_cancel_cost += absl::FromChrono(std::chrono::steady_clock::now() - began);
  for (const AnswerCancel& answer : ActionsOf<AnswerCancel>(actions)) {
    OnCancelAnswer(entry, answer);
  }
  for (const SendRunMessage& send : ActionsOf<SendRunMessage>(actions)) {
    ++m_cancel_messages;
    m_time.After(m_link_delay, [this, send, from = process.name,
                                incarnation = process.incarnation] {
      const int to = EntryNumber(send.peer);
      if (m_entries[to].incarnation == send.incarnation) {
        ToSearch(to, PeerMessageReceived{from, incarnation, send.body});
      }
    });
  }
  WakeSearch(entry);
}

void RunWorld::WakeSearch(int entry) {
  Entry& process = m_entries[entry];
  WakeAt(process.search->NextWake(), process.search_wake_at, process,
         [this, entry] { ToSearch(entry, TimePassed{}); });
}

void RunWorld::CancelAt(VirtualUs at, int job) {
  m_time.At(at, [this, job] {
    if (m_callers[job].open_call.has_value()) {
      Cancel(job, 1);
    }
  });
}

// The caller still waits for its job's answer.
void RunWorld::Cancel(int caller, int attempt) {
  Caller& from = m_callers[caller];
  if (from.cancel_acknowledged_at.has_value() || attempt > kMaxCancelAttempts) {
    return;
  }
  const int entry = static_cast<int>(
      m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
  if (from.plan.id == m_traced_job) {
    LogFault(absl::StrCat("cancel ", from.plan.id, " at entry ", entry));
  }
  m_cancels += attempt == 1 ? 1 : 0;
  SendCancel(caller, entry);
  m_time.After(kRepeatCancelAfter,
               [this, caller, attempt] { Cancel(caller, attempt + 1); });
}

void RunWorld::SendCancel(int caller, int entry) {
  const CallId call = ++m_calls;
  m_cancel_calls[call] = caller;
  m_time.After(m_caller_delay,
               [this, entry, call, job = m_callers[caller].plan.id] {
                 ToSearch(entry, CancelRequested{call, job});
               });
}

void RunWorld::CancelAtEntry(VirtualUs at, int job, int entry) {
  m_time.At(at, [this, job, entry] { SendCancel(job, entry); });
}

void RunWorld::OnCancelAnswer(int entry, const AnswerCancel& answer) {
  const int caller = m_cancel_calls.at(answer.call);
  Caller& from = m_callers[caller];
  if (from.plan.id == m_traced_job) {
    LogFault(absl::StrCat("cancel of ", from.plan.id, " answered by entry ",
                          entry, ": ", static_cast<int>(answer.verdict)));
  }
  if (answer.verdict == CancelVerdict::kUnconfirmed) {
    return;
  }
  m_time.After(m_caller_delay, [this, entry, caller,
                                incarnation = m_entries[entry].incarnation] {
    const Entry& process = m_entries[entry];
    if (process.incarnation == incarnation && process.node != nullptr) {
      OnCancelAcknowledged(caller);
    }
  });
}

void RunWorld::OnCancelAcknowledged(int caller) {
  Caller& from = m_callers[caller];
  if (from.cancel_acknowledged_at.has_value()) {
    return;
  }
  ++m_cancels_acknowledged;
  from.cancel_acknowledged_at = m_time.now();
  for (int i = 0; i < m_late_copies; ++i) {
    const int entry = static_cast<int>(
        m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
    m_time.After(Ms(m_time.Random(100, 12'000)),
                 [this, caller, entry] { SubmitCopy(caller, entry); });
  }
}

void RunWorld::CheckNotCancelled(const std::string& job) {
  const std::optional<VirtualUs> acknowledged =
      m_callers[m_caller_of_job.at(job)].cancel_acknowledged_at;
  if (acknowledged.has_value() && m_time.now() > *acknowledged + kCancelBound) {
    AddViolation(absl::StrCat(job, " started ",
                              (m_time.now() - *acknowledged) / 1000,
                              " ms after its cancel was acknowledged"));
  }
}

void RunWorld::DrawCancel() {
  const int job = static_cast<int>(m_time.Random(0, jobs() - 1));
  const Caller& caller = m_callers[job];
  LogFault(absl::StrCat("cancel ", caller.plan.id));
  // Also before its first submission.
  const VirtualUs at = caller.plan.at + Ms(m_time.Random(-20, 1500));
  m_time.At(std::max(at, m_time.now()), [this, job] { Cancel(job, 1); });
}

}  // namespace egretswitch::internal
