// The version of a new configuration is sent to other entries at once, since it
// must be in force everywhere within seconds. Hundreds of members are recorded
// when a deployment starts, so their version is sent a few times a second.
#include "table_exchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "member_record.h"

namespace egretswitch::internal {
namespace {

// Interval between announcements of only a new version of the members.
constexpr absl::Duration kAnnouncePeriod = absl::Milliseconds(100);
// The same between an entry and the agents that keep copies. They need new
// members only after all entries have ended.
constexpr absl::Duration kCopyAnnouncePeriod = absl::Seconds(1);

// A part that claims a larger configuration is rejected: it would have 16 MB,
// and the store accepts none of that size.
constexpr uint64_t kMaxQueues = 100'000;

FetchTimes FetchTimesOf(ProcessRole role) {
  return role == ProcessRole::kAgent ? kCopyFetchTimes : kEntryFetchTimes;
}

}  // namespace

TableExchange::TableExchange(uint64_t seed, ProcessRole role)
    : m_keeps_copies(role == ProcessRole::kAgent),
      m_config(std::make_shared<ServiceConfig>()),
      m_former_config(m_config),
      m_config_fetch(seed, FetchTimesOf(role)),
      m_members_fetch(seed + 1, FetchTimesOf(role)),
      m_config_confirmed(m_keeps_copies),
      m_evacuations_confirmed(m_keeps_copies),
      m_members_confirmed(m_keeps_copies),
      m_entries{
          .peers = {},
          .announced = {},
          .period = m_keeps_copies ? kCopyAnnouncePeriod : kAnnouncePeriod},
      m_agents{.peers = {}, .announced = {}, .period = kCopyAnnouncePeriod} {}

TableActions TableExchange::Handle(const TableEvent& event, MonoTime now) {
  m_now = now;
  std::visit([this](const auto& happened) { On(happened); }, event);
  RequestIfDue();
  AnnounceVersionsIfDue(m_entries);
  AnnounceVersionsIfDue(m_agents);
  return std::exchange(m_actions, {});
}

MonoTime TableExchange::NextWake() const {
  MonoTime next = std::min(m_config_fetch.NextDue(), m_members_fetch.NextDue());
  for (const Audience* audience : {&m_entries, &m_agents}) {
    if (OwnVersions() != audience->announced) {
      next = std::min(next, audience->next_announcement);
    }
  }
  return next;
}

// ---- Events

void TableExchange::On(const EntryConnected& event) {
  std::erase(m_entries.peers, event.name);
  m_entries.peers.push_back(event.name);
  m_config_fetch.AddPeer(event.name, event.proximity);
  m_members_fetch.AddPeer(event.name, event.proximity);
  if (m_evacuations.IsLoaded() && m_evacuations_confirmed) {
    Send(event.name, m_evacuations);
  }
  Send(event.name, VersionsToSend());
}

// An agent gets the evacuations from the dispatcher, with its first message.
void TableExchange::On(const AgentConnected& event) {
  std::erase(m_agents.peers, event.name);
  m_agents.peers.push_back(event.name);
  m_config_fetch.AddPeer(event.name, event.proximity, PeerKind::kCopy);
  m_members_fetch.AddPeer(event.name, event.proximity, PeerKind::kCopy);
  Send(event.name, VersionsToSend());
}

void TableExchange::On(const EntryDisconnected& event) {
  std::erase(m_entries.peers, event.name);
  std::erase(m_agents.peers, event.name);
  m_copy_age.RemoveEntry(event.name, m_now);
  m_config_fetch.RemovePeer(event.name);
  m_members_fetch.RemovePeer(event.name);
}

void TableExchange::On(const TableMessageReceived& event) {
  if (IsLinked(event.name)) {
    std::visit(
        [this, &event](const auto& body) { OnMessage(event.name, body); },
        event.body);
  }
}

// The store's table replaces a copy even if the copy has a higher version: a
// version that the store lacks would otherwise keep out all that follow.
void TableExchange::On(const ConfigRead& event) {
  if (!m_config_confirmed && event.config.version < m_config->version) {
    Contradict("config", m_config->version, event.config.version);
    m_config = std::make_shared<ServiceConfig>();
    m_config_fetch.ForgetOwnVersion();
  }
  ConfirmConfig();
  ApplyConfig(event.config, "store");
}

// What a copy lists as evacuated remains so until a record takes it back, since
// the first read after an outage may be outdated.
void TableExchange::On(const EvacuationsRead& event) {
  Evacuations state = ApplyRead(m_evacuations, event);
  if (!m_evacuations_confirmed && event.whole) {
    state = ApplyRead({}, event);
    if (IsNewer(m_evacuations, state)) {
      Contradict("evacuations", m_evacuations.through, state.through);
      state = WithEvacuatedIn(state, m_evacuations);
    }
  }
  const bool confirms = !m_evacuations_confirmed && state.IsLoaded();
  m_evacuations_confirmed |= confirms;
  ApplyEvacuations(state, "store", confirms);
}

void TableExchange::On(const MembersRead& event) {
  ConfirmMembers();
  for (const RemovedMember& removed : event.removed) {
    m_members.Remove(removed.name, removed.version);
  }
  ApplyMembers(event.members, event.next_offset, "store");
}

void TableExchange::On(const StoreReadResult& event) {
  PeerFetch& fetch =
      event.table == StoreTable::kConfig ? m_config_fetch : m_members_fetch;
  fetch.SetStoreFailing(event.failing);
}

void TableExchange::On(const TableTimePassed&) {}

bool TableExchange::IsAgent(const std::string& peer) const {
  return std::find(m_agents.peers.begin(), m_agents.peers.end(), peer) !=
         m_agents.peers.end();
}

bool TableExchange::IsLinked(const std::string& peer) const {
  return IsAgent(peer) ||
         std::find(m_entries.peers.begin(), m_entries.peers.end(), peer) !=
             m_entries.peers.end();
}

void TableExchange::Contradict(std::string_view table,
                               uint64_t copied,
                               uint64_t stored) {
  m_actions.push_back(CopyContradicted{std::string(table), copied, stored});
}

void TableExchange::ConfirmConfig() {
  if (!m_config_confirmed) {
    m_config_confirmed = true;
    m_config_fetch.StopUsingCopies();
    m_incoming = {};
  }
}

// Any record that follows replaces the copied one, whatever its version.
// Records that the store or the entry lacks are retained: their links stay up.
void TableExchange::ConfirmMembers() {
  if (!m_members_confirmed) {
    m_members_confirmed = true;
    m_members.ForgetVersions();
    m_members_fetch.ForgetOwnVersion();
    m_members_fetch.StopUsingCopies();
  }
}

void TableExchange::RejectAnswer(PeerFetch& fetch,
                                 const std::string& entry,
                                 std::string_view table) {
  m_actions.push_back(
      NoteStateChange{"peer's answer of no use",
                      {{"entry", entry},
                       {"table", std::string(table)},
                       {"held", absl::StrCat(fetch.PeerVersion(entry))},
                       {"have", absl::StrCat(fetch.own_version())}},
                      true});
  fetch.RejectAnswer();
}

// Returns false if the part is malformed or does not continue those received
// before.
bool TableExchange::Append(const ConfigPart& part) {
  if (part.version != m_incoming.version && part.first == 0) {
    m_incoming = ServiceConfig{.version = part.version, .queues = {}};
  }
  const bool continues = part.version == m_incoming.version &&
                         part.first == m_incoming.queues.size();
  const uint64_t part_end = part.first + part.queues.size();
  const bool well_formed = part_end <= part.size && part.size <= kMaxQueues &&
                           (part_end == part.size || !part.queues.empty());
  if (!continues || !well_formed) {
    return false;
  }
  m_incoming.queues.insert(m_incoming.queues.end(), part.queues.begin(),
                           part.queues.end());
  return true;
}

// ---- State of this entry

void TableExchange::ApplyConfig(ServiceConfig config, const std::string& from) {
  if (config.version <= m_config->version) {
    return;
  }
  const uint64_t former = m_config->version;
  const absl::Duration behind =
      m_now - std::min(m_config_fetch.behind_since(), m_now);
  m_former_config = m_config;
  m_config = std::make_shared<ServiceConfig>(std::move(config));
  m_config_fetch.RecordOwnVersion(m_config->version);
  m_copy_age.RecordOwnVersion(m_config->version);
  m_entries.next_announcement = m_now;
  m_agents.next_announcement = m_now;
  m_actions.push_back(ConfigInForce{former, from, IsAgent(from), behind});
}

// A change is forwarded to every linked entry, since the entry that sent it may
// not be linked to all of them. A state in which only the version is newer is
// not forwarded.
void TableExchange::ApplyEvacuations(const Evacuations& state,
                                     const std::string& from,
                                     bool confirms) {
  const Evacuations former = std::exchange(m_evacuations, state);
  if (former == state && !confirms) {
    return;
  }
  const bool changed = former.data_centres != state.data_centres ||
                       former.IsLoaded() != state.IsLoaded() || confirms;
  const bool passes_on = m_evacuations_confirmed && !m_keeps_copies;
  for (const std::string& entry : m_entries.peers) {
    if (changed && passes_on) {
      Send(entry, m_evacuations);
    }
  }
  m_actions.push_back(
      EvacuationsInForce{OnlyIn(state, former), OnlyIn(former, state), from});
}

void TableExchange::ApplyMembers(const std::vector<MemberAddress>& members,
                                 uint64_t through,
                                 const std::string& from) {
  MembersChanged changed{.members = {}, .from = from};
  for (const MemberAddress& member : members) {
    if (absl::Status status = CheckMember(member); !status.ok()) {
      m_actions.push_back(
          NoteStateChange{"member refused",
                          {{"from", from},
                           {"name", member.name},
                           {"reason", std::string(status.message())}},
                          true});
      continue;
    }
    if (m_members.Take(member)) {
      changed.members.push_back(member);
    }
  }
  m_members_fetch.RecordOwnVersion(through);
  if (!changed.members.empty()) {
    m_actions.push_back(std::move(changed));
  }
}

// ---- Messages of this entry

void TableExchange::RequestIfDue() {
  if (const auto entry = m_config_fetch.TakeDue(m_now)) {
    // A copy is taken as a whole from one agent.
    if (m_incoming_copied || IsAgent(*entry)) {
      m_incoming = {};
    }
    m_incoming_copied = IsAgent(*entry);
    RequestConfig(*entry);
  }
  if (const auto entry = m_members_fetch.TakeDue(m_now)) {
    if (!IsAgent(*entry)) {
      ConfirmMembers();
    }
    Send(*entry, MembersRequest{m_members_fetch.own_version()});
  }
}

// If the fetch moves to another peer with the same version, that peer continues
// where the first one stopped.
void TableExchange::RequestConfig(const std::string& entry) {
  Send(entry, ConfigRequest{m_incoming.version, m_incoming.queues.size()});
}

TableVersions TableExchange::OwnVersions() const {
  return {.config = m_config_confirmed ? m_config->version : 0,
          .members = m_members_confirmed ? m_members_fetch.own_version() : 0};
}

TableVersions TableExchange::VersionsToSend() const {
  TableVersions versions = OwnVersions();
  if (m_keeps_copies) {
    const absl::Duration age =
        std::min(m_copy_age.At(m_now), absl::Milliseconds(kMaxAgeMs));
    versions.config_age_ms =
        static_cast<uint64_t>(absl::ToInt64Milliseconds(age));
  }
  return versions;
}

// An agent announces its copies to entries that lack them. Most entries are
// ahead of all agents.
void TableExchange::AnnounceVersionsIfDue(Audience& audience) {
  const TableVersions held = OwnVersions();
  if (held == audience.announced || m_now < audience.next_announcement) {
    return;
  }
  audience.announced = held;
  audience.next_announcement = m_now + audience.period;
  for (const std::string& peer : audience.peers) {
    const bool lacks = m_config_fetch.PeerVersion(peer) < held.config ||
                       m_members_fetch.PeerVersion(peer) < held.members;
    if (lacks || !m_keeps_copies) {
      Send(peer, VersionsToSend());
    }
  }
}

void TableExchange::Send(const std::string& entry, TableMessage body) {
  m_actions.push_back(SendTableMessage{entry, std::move(body)});
}

}  // namespace egretswitch::internal
