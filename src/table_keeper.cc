// Changes of the members are not logged here: every entry logs them.
#include "table_keeper.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "logging.h"
#include "random_seed.h"

namespace egretswitch::internal {

TableKeeper::TableKeeper(EventLoop& loop, TableKeeperEvents events)
    : m_events(std::move(events)),
      m_exchange(RandomSeed(), ProcessRole::kAgent),
      m_dials(RandomSeed()),
      m_wake(loop, [this] { Deliver(TableTimePassed{}); }),
      m_dial_wake(loop, [this] { SelectDialTargets(); }) {}

void TableKeeper::OnEntryConnected(const std::string& name,
                                   PeerProximity proximity) {
  m_dials.OnLinkUp(name);
  SelectDialTargets();
  Deliver(EntryConnected{name, proximity});
}

void TableKeeper::OnEntryDisconnected(const std::string& name) {
  m_dials.OnLinkLost(name, EventLoop::MonoNow());
  SelectDialTargets();
  Deliver(EntryDisconnected{name});
}

void TableKeeper::OnMessage(const std::string& entry,
                            const TableMessage& body) {
  Deliver(TableMessageReceived{entry, body});
}

void TableKeeper::AddMetrics(MetricsText& text) const {
  text.AddGauge("kept_config_version",
                "Version of the configuration that this agent keeps.",
                static_cast<double>(m_exchange.config().version));
  text.AddGauge("kept_members", "Members that this agent keeps.",
                static_cast<double>(m_exchange.members().size()));
}

void TableKeeper::SelectDialTargets() {
  m_events.dial(m_dials.Targets(m_exchange.members(), EventLoop::MonoNow()));
  m_dial_wake.Arm(m_dials.NextWake());
}

void TableKeeper::Deliver(const TableEvent& event) {
  for (const TableAction& action :
       m_exchange.Handle(event, EventLoop::MonoNow())) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
  m_wake.Arm(m_exchange.NextWake());
}

void TableKeeper::Perform(const SendTableMessage& tell) {
  m_events.send(tell.name, tell.body);
}

void TableKeeper::Perform(const ConfigInForce& change) {
  LogStateChange({"configuration kept",
                  {{"version", absl::StrCat(m_exchange.config().version)},
                   {"former", absl::StrCat(change.former)},
                   {"queues", absl::StrCat(m_exchange.config().queues.size())},
                   {"from", change.from},
                   {"behind_ms", MillisecondsText(change.behind)}}});
}

// RunManager logs what concerns the worker of this agent.
void TableKeeper::Perform(const EvacuationsInForce&) {}

void TableKeeper::Perform(const MembersChanged&) {
  SelectDialTargets();
}

// An agent has nothing but copies.
void TableKeeper::Perform(const CopyContradicted&) {}

void TableKeeper::Perform(const CopyRequested& request) {
  m_counters.Add(RunCounter::kConfigCopiesGiven);
  LogStateChange({"configuration given",
                  {{"entry", request.entry},
                   {"version", absl::StrCat(request.version)},
                   {"age_ms", MillisecondsText(request.age)}}});
}

void TableKeeper::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

}  // namespace egretswitch::internal
