// The memory of cancelled jobs in RunWorld: a CancelExchange in each process.
// Messages between entries take the link delay; those to and from agents pass
// over their links.
#include <algorithm>
#include <utility>
#include <variant>

#include "run_world.h"

namespace egretswitch::internal {

void RunWorld::StartExchange(Entry& entry) {
  entry.exchange = std::make_unique<CancelExchange>(
      ProcessRole::kEntry, entry.node->cancelled_jobs(), entry.incarnation);
  ToEntry(entry.number, CancelMemoryChanged{.complete = false});
  ToExchange(entry, AgentsDialled{m_agents.size()});
}

void RunWorld::StartExchange(Agent& agent) {
  agent.cancelled_jobs = CancelledJobs();
  agent.exchange = std::make_unique<CancelExchange>(
      ProcessRole::kAgent, agent.cancelled_jobs, agent.incarnation);
}

template <typename AnyProcess>
void RunWorld::ToExchange(AnyProcess& process,
                          const CancelExchangeEvent& event) {
  if (process.exchange == nullptr) {
    return;
  }
  if (m_time.now() < process.frozen_until) {
    m_time.At(process.frozen_until,
              [this, &process, event, incarnation = process.incarnation] {
                if (process.incarnation == incarnation) {
                  ToExchange(process, event);
                }
              });
    return;
  }
  for (const CancelExchangeAction& action :
       process.exchange->Handle(event, NowAt().mono)) {
    std::visit(
        [this, &process](const auto& requested) {
          this->PerformOne(process, requested);
        },
        action);
  }
  WakeExchange(process);
}

template void RunWorld::ToExchange(Entry&, const CancelExchangeEvent&);
template void RunWorld::ToExchange(Agent&, const CancelExchangeEvent&);

void RunWorld::PerformOne(Entry& entry, const SendRunMessage& send) {
  ++m_cancel_messages;
  if (!send.peer.starts_with("entry-")) {
    Transmit(entry, send);
    return;
  }
  m_time.After(m_link_delay, [this, send, from = entry.name,
                              incarnation = entry.incarnation] {
    for (Entry& to : m_entries) {
      if (to.name == send.peer && to.incarnation == send.incarnation) {
        ToExchange(to, PeerMessageReceived{from, incarnation, send.body});
      }
    }
  });
}

void RunWorld::PerformOne(Agent& agent, const SendRunMessage& send) {
  ++m_cancel_messages;
  Transmit(agent, send);
}

void RunWorld::PerformOne(Entry& entry, const MergeCancelledJobs& merge) {
  ToEntry(entry.number, CancelledJobsReceived{merge.jobs});
}

void RunWorld::PerformOne(Agent& agent, const MergeCancelledJobs& merge) {
  for (const CancelledJob& job : merge.jobs) {
    agent.cancelled_jobs.Merge(job, NowAt().mono);
  }
}

void RunWorld::PerformOne(Entry& entry, const CancelMemoryComplete&) {
  ToEntry(entry.number, CancelMemoryChanged{.complete = true});
}

void RunWorld::PerformOne(Agent&, const CancelMemoryComplete&) {}

void RunWorld::PerformOne(Entry& entry, const NoteStateChange& note) {
  Trace(entry.name, note);
}

void RunWorld::PerformOne(Agent& agent, const NoteStateChange& note) {
  Trace(agent.name, note);
}

void RunWorld::WakeExchange(Entry& entry) {
  WakeAt(entry.exchange->NextWake(), entry.exchange_wake_at, entry,
         [this, &entry] { ToExchange(entry, TimePassed{}); });
}

void RunWorld::WakeExchange(Agent&) {}

}  // namespace egretswitch::internal
