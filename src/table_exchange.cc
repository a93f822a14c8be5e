// The version of a new configuration is sent to other entries at once, since it
// must be in force everywhere within seconds. Hundreds of members are recorded
// when a deployment starts, so their version is sent a few times a second.
#include "table_exchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

// A part has some 6 kB. It takes 2 ms on a link of 25 Mbit/s and delays a
// request to start a run that is sent meanwhile by as much.
constexpr size_t kQueuesPerPart = 64;
constexpr size_t kMembersPerPart = 48;

// Interval between announcements of only a new version of the members.
constexpr absl::Duration kAnnouncePeriod = absl::Milliseconds(100);

// A part that claims a larger configuration is rejected: it would have 16 MB,
// and the store accepts none of that size.
constexpr uint64_t kMaxQueues = 100'000;

ConfigPart PartOf(const ServiceConfig& config, uint64_t first) {
  ConfigPart part{.version = config.version,
                  .size = config.queues.size(),
                  .first = std::min<uint64_t>(first, config.queues.size()),
                  .queues = {}};
  const auto begin = config.queues.begin() + static_cast<ptrdiff_t>(part.first);
  const size_t count = std::min<size_t>(kQueuesPerPart, part.size - part.first);
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
  RequestIfDue();
  AnnounceVersionsIfDue();
  return std::exchange(m_actions, {});
}

MonoTime TableExchange::NextWake() const {
  const MonoTime next_request =
      std::min(m_config_fetch.NextDue(), m_members_fetch.NextDue());
  return OwnVersions() == m_announced_versions
             ? next_request
             : std::min(next_request, m_next_announcement);
}

// ---- Events

void TableExchange::On(const EntryConnected& event) {
  std::erase(m_entries, event.name);
  m_entries.push_back(event.name);
  m_config_fetch.AddPeer(event.name, event.proximity);
  m_members_fetch.AddPeer(event.name, event.proximity);
  if (m_evacuations.IsLoaded()) {
    Send(event.name, m_evacuations);
  }
  Send(event.name, OwnVersions());
}

void TableExchange::On(const EntryDisconnected& event) {
  std::erase(m_entries, event.name);
  m_config_fetch.RemovePeer(event.name);
  m_members_fetch.RemovePeer(event.name);
}

void TableExchange::On(const TableMessageReceived& event) {
  std::visit([this, &event](const auto& body) { OnMessage(event.name, body); },
             event.body);
}

void TableExchange::On(const ConfigRead& event) {
  ApplyConfig(event.config, "store");
}

void TableExchange::On(const EvacuationsRead& event) {
  ApplyEvacuations(ApplyRead(m_evacuations, event), "store");
}

void TableExchange::On(const MembersRead& event) {
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

// ---- Messages of other entries

void TableExchange::OnMessage(const std::string& entry,
                              const TableVersions& held) {
  m_config_fetch.RecordPeerVersion(entry, held.config, m_now);
  m_members_fetch.RecordPeerVersion(entry, held.members, m_now);
}

// The former version is still served to a peer that is fetching it. Otherwise a
// peer on a slow link would never complete a fetch while new versions are
// published faster than the link carries one.
void TableExchange::OnMessage(const std::string& entry,
                              const ConfigRequest& request) {
  if (request.version == m_former_config->version && request.first > 0) {
    Send(entry, PartOf(*m_former_config, request.first));
    return;
  }
  const bool same = request.version == m_config->version;
  Send(entry, PartOf(*m_config, same ? request.first : 0));
}

void TableExchange::OnMessage(const std::string& entry,
                              const ConfigPart& part) {
  if (!m_config_fetch.IsAwaiting(entry)) {
    return;  // another peer was asked meanwhile, or the store had the version
  }
  if (part.version <= m_config->version || !Append(part)) {
    m_incoming = {};
    RejectAnswer(m_config_fetch, entry, "config");
    return;
  }
  m_config_fetch.OnPartReceived(m_now);
  if (m_incoming.queues.size() < part.size) {
    RequestConfig(entry);
    return;
  }
  ApplyConfig(std::exchange(m_incoming, {}), entry);
}

void TableExchange::OnMessage(const std::string& entry,
                              const MembersRequest& request) {
  MembersPart part{.through = m_members_fetch.own_version(),
                   .members = m_members.NewerThan(request.through)};
  if (part.members.size() > kMembersPerPart) {
    part.members.resize(kMembersPerPart);
    part.through = part.members.back().version;
  }
  Send(entry, std::move(part));
}

void TableExchange::OnMessage(const std::string& entry,
                              const MembersPart& part) {
  if (!m_members_fetch.IsAwaiting(entry)) {
    return;
  }
  if (part.through <= m_members_fetch.own_version()) {
    RejectAnswer(m_members_fetch, entry, "members");
    return;
  }
  m_members_fetch.OnPartReceived(m_now);
  ApplyMembers(part.members, part.through, entry);
  if (m_members_fetch.IsAwaiting(entry)) {
    Send(entry, MembersRequest{m_members_fetch.own_version()});
  }
}

void TableExchange::OnMessage(const std::string& entry,
                              const Evacuations& received) {
  if (IsNewer(received, m_evacuations)) {
    ApplyEvacuations(received, entry);
  } else if (received.data_centres != m_evacuations.data_centres) {
    Send(entry, m_evacuations);
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
  m_next_announcement = m_now;
  m_actions.push_back(ConfigInForce{former, from, behind});
}

// A change is forwarded to every linked entry, since the entry that sent it may
// not be linked to all of them. A state in which only the version is newer is
// not forwarded.
void TableExchange::ApplyEvacuations(const Evacuations& state,
                                     const std::string& from) {
  const Evacuations former = std::exchange(m_evacuations, state);
  if (former == state) {
    return;
  }
  const bool changed = former.data_centres != state.data_centres ||
                       former.IsLoaded() != state.IsLoaded();
  for (const std::string& entry : m_entries) {
    if (changed) {
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
    RequestConfig(*entry);
  }
  if (const auto entry = m_members_fetch.TakeDue(m_now)) {
    Send(*entry, MembersRequest{m_members_fetch.own_version()});
  }
}

// If the fetch moves to another peer with the same version, that peer continues
// where the first one stopped.
void TableExchange::RequestConfig(const std::string& entry) {
  Send(entry, ConfigRequest{m_incoming.version, m_incoming.queues.size()});
}

TableVersions TableExchange::OwnVersions() const {
  return {m_config->version, m_members_fetch.own_version()};
}

void TableExchange::AnnounceVersionsIfDue() {
  const TableVersions held = OwnVersions();
  if (held == m_announced_versions || m_now < m_next_announcement) {
    return;
  }
  m_announced_versions = held;
  m_next_announcement = m_now + kAnnouncePeriod;
  for (const std::string& entry : m_entries) {
    Send(entry, held);
  }
}

void TableExchange::Send(const std::string& entry, TableMessage body) {
  m_actions.push_back(SendTableMessage{entry, std::move(body)});
}

}  // namespace egretswitch::internal
