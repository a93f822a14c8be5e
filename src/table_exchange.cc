// A new configuration is told at once, since it must be in force everywhere
// within seconds. Members come in hundreds when a deployment starts, so they
// are told some times a second.
#include "table_exchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

// Some 6 kB: 2 ms on a link of 25 Mbit/s, which an order to start sent
// meanwhile has to wait.
constexpr size_t kQueuesInPart = 64;
constexpr size_t kMembersInPart = 48;

// Between two messages that only tell of members.
constexpr absl::Duration kTellPeriod = absl::Milliseconds(100);

// A neighbour that claims more is not believed: the store takes no
// configuration of 16 MB.
constexpr uint64_t kMostQueues = 100'000;

ConfigPart PartOf(const ServiceConfig& config, uint64_t first) {
  ConfigPart part{.version = config.version,
                  .size = config.queues.size(),
                  .first = std::min<uint64_t>(first, config.queues.size()),
                  .queues = {}};
  const auto begin = config.queues.begin() + static_cast<ptrdiff_t>(part.first);
  const size_t count = std::min<size_t>(kQueuesInPart, part.size - part.first);
  part.queues.assign(begin, begin + static_cast<ptrdiff_t>(count));
  return part;
}

}  // namespace

TableExchange::TableExchange(uint64_t seed)
    : m_config(std::make_shared<ServiceConfig>()),
      m_former_config(m_config),
      m_config_fetch(seed),
      m_members_fetch(seed + 1) {}

TableActions TableExchange::Handle(const TableEvent& event, MonoTime now) {
  m_now = now;
  std::visit([this](const auto& happened) { On(happened); }, event);
  AskIfDue();
  TellHeldIfDue();
  return std::exchange(m_actions, {});
}

MonoTime TableExchange::NextWake() const {
  const MonoTime ask =
      std::min(m_config_fetch.NextDue(), m_members_fetch.NextDue());
  return Held() == m_told ? ask : std::min(ask, m_next_telling);
}

// ---- Events

void TableExchange::On(const EntryLinked& event) {
  std::erase(m_entries, event.name);
  m_entries.push_back(event.name);
  m_config_fetch.PeerUp(event.name, event.place);
  m_members_fetch.PeerUp(event.name, event.place);
  if (m_evacuations.IsLoaded()) {
    Tell(event.name, m_evacuations);
  }
  Tell(event.name, Held());
}

void TableExchange::On(const EntryUnlinked& event) {
  std::erase(m_entries, event.name);
  m_config_fetch.PeerDown(event.name);
  m_members_fetch.PeerDown(event.name);
}

void TableExchange::On(const EntrySaid& event) {
  std::visit([this, &event](const auto& body) { Answer(event.name, body); },
             event.body);
}

void TableExchange::On(const ConfigRead& event) {
  TakeConfig(event.config, "store");
}

void TableExchange::On(const EvacuationsRead& event) {
  TakeEvacuations(ApplyRead(m_evacuations, event), "store");
}

void TableExchange::On(const MembersRead& event) {
  for (const RemovedMember& removed : event.removed) {
    m_members.Remove(removed.name, removed.version);
  }
  TakeMembers(event.members, event.next_offset, "store");
}

void TableExchange::On(const StoreSeen& event) {
  NeighbourFetch& fetch =
      event.table == StoreTable::kConfig ? m_config_fetch : m_members_fetch;
  fetch.SetStoreFailing(event.failing);
}

void TableExchange::On(const TableTimePassed&) {}

// ---- Other entries

void TableExchange::Answer(const std::string& entry, const TablesHeld& held) {
  m_config_fetch.PeerHolds(entry, held.config, m_now);
  m_members_fetch.PeerHolds(entry, held.members, m_now);
}

// While versions follow each other faster than a narrow link takes one, a
// reader still gets the one that it has begun.
void TableExchange::Answer(const std::string& entry,
                           const ConfigWanted& wanted) {
  if (wanted.version == m_former_config->version && wanted.first > 0) {
    Tell(entry, PartOf(*m_former_config, wanted.first));
    return;
  }
  const bool same = wanted.version == m_config->version;
  Tell(entry, PartOf(*m_config, same ? wanted.first : 0));
}

void TableExchange::Answer(const std::string& entry, const ConfigPart& part) {
  if (!m_config_fetch.Awaits(entry)) {
    return;  // asked of another one meanwhile, or known from the store
  }
  if (part.version <= m_config->version || !Append(part)) {
    m_incoming = {};
    NoteUseless(m_config_fetch, entry, "config");
    return;
  }
  m_config_fetch.NotePart(m_now);
  if (m_incoming.queues.size() < part.size) {
    AskForConfig(entry);
    return;
  }
  TakeConfig(std::exchange(m_incoming, {}), entry);
}

void TableExchange::Answer(const std::string& entry,
                           const MembersWanted& wanted) {
  MembersPart part{.through = m_members_fetch.have(),
                   .members = m_members.After(wanted.through)};
  if (part.members.size() > kMembersInPart) {
    part.members.resize(kMembersInPart);
    part.through = part.members.back().version;
  }
  Tell(entry, std::move(part));
}

void TableExchange::Answer(const std::string& entry, const MembersPart& part) {
  if (!m_members_fetch.Awaits(entry)) {
    return;
  }
  if (part.through <= m_members_fetch.have()) {
    NoteUseless(m_members_fetch, entry, "members");
    return;
  }
  m_members_fetch.NotePart(m_now);
  TakeMembers(part.members, part.through, entry);
  if (m_members_fetch.Awaits(entry)) {
    Tell(entry, MembersWanted{m_members_fetch.have()});
  }
}

void TableExchange::Answer(const std::string& entry, const Evacuations& told) {
  if (IsNewer(told, m_evacuations)) {
    TakeEvacuations(told, entry);
  } else if (told.data_centres != m_evacuations.data_centres) {
    Tell(entry, m_evacuations);
  }
}

void TableExchange::NoteUseless(NeighbourFetch& fetch,
                                const std::string& entry,
                                std::string_view table) {
  m_actions.push_back(
      NoteStateChange{"neighbour's answer of no use",
                      {{"entry", entry},
                       {"table", std::string(table)},
                       {"held", absl::StrCat(fetch.HeldBy(entry))},
                       {"have", absl::StrCat(fetch.have())}},
                      true});
  fetch.NoteUseless();
}

// False when the part goes on nothing that has come before.
bool TableExchange::Append(const ConfigPart& part) {
  if (part.version != m_incoming.version && part.first == 0) {
    m_incoming = ServiceConfig{.version = part.version, .queues = {}};
  }
  const bool goes_on = part.version == m_incoming.version &&
                       part.first == m_incoming.queues.size();
  const uint64_t then = part.first + part.queues.size();
  const bool whole = then <= part.size && part.size <= kMostQueues &&
                     (then == part.size || !part.queues.empty());
  if (!goes_on || !whole) {
    return false;
  }
  m_incoming.queues.insert(m_incoming.queues.end(), part.queues.begin(),
                           part.queues.end());
  return true;
}

// ---- What this entry knows

void TableExchange::TakeConfig(ServiceConfig config, const std::string& from) {
  if (config.version <= m_config->version) {
    return;
  }
  const uint64_t former = m_config->version;
  const absl::Duration behind =
      m_now - std::min(m_config_fetch.behind_since(), m_now);
  m_former_config = m_config;
  m_config = std::make_shared<ServiceConfig>(std::move(config));
  m_config_fetch.Have(m_config->version);
  m_next_telling = m_now;
  m_actions.push_back(ConfigInForce{former, from, behind});
}

// A change is told on to every entry, since the one that it came from may not
// be linked to all of them. A state that only reaches further is not.
void TableExchange::TakeEvacuations(const Evacuations& state,
                                    const std::string& from) {
  const Evacuations former = std::exchange(m_evacuations, state);
  if (former == state) {
    return;
  }
  const bool changed = former.data_centres != state.data_centres ||
                       former.IsLoaded() != state.IsLoaded();
  for (const std::string& entry : m_entries) {
    if (changed) {
      Tell(entry, m_evacuations);
    }
  }
  m_actions.push_back(
      EvacuationsInForce{OnlyIn(state, former), OnlyIn(former, state), from});
}

void TableExchange::TakeMembers(const std::vector<MemberAddress>& members,
                                uint64_t through,
                                const std::string& from) {
  MembersChanged changed{.members = {}, .from = from};
  for (const MemberAddress& member : members) {
    if (m_members.Take(member)) {
      changed.members.push_back(member);
    }
  }
  m_members_fetch.Have(through);
  if (!changed.members.empty()) {
    m_actions.push_back(std::move(changed));
  }
}

// ---- What this entry says

void TableExchange::AskIfDue() {
  if (const auto entry = m_config_fetch.TakeDue(m_now)) {
    AskForConfig(*entry);
  }
  if (const auto entry = m_members_fetch.TakeDue(m_now)) {
    Tell(*entry, MembersWanted{m_members_fetch.have()});
  }
}

// Another neighbour than the one that was asked first goes on from where that
// one stopped, when it has the same version.
void TableExchange::AskForConfig(const std::string& entry) {
  Tell(entry, ConfigWanted{m_incoming.version, m_incoming.queues.size()});
}

TablesHeld TableExchange::Held() const {
  return {m_config->version, m_members_fetch.have()};
}

void TableExchange::TellHeldIfDue() {
  const TablesHeld held = Held();
  if (held == m_told || m_now < m_next_telling) {
    return;
  }
  m_told = held;
  m_next_telling = m_now + kTellPeriod;
  for (const std::string& entry : m_entries) {
    Tell(entry, held);
  }
}

void TableExchange::Tell(const std::string& entry, TableMessage body) {
  m_actions.push_back(TellEntry{entry, std::move(body)});
}

}  // namespace egretswitch::internal
