// Handles the messages of other processes about the tables: answers requests in
// parts, and collects the parts of a newer table.
//
//   ConfigRequest{from entry-2, version 7, first 64}  ->  ConfigPart{64 to 127}
#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "table_exchange.h"

namespace egretswitch::internal {
namespace {

// A part has some 6 kB. It takes 2 ms on a link of 25 Mbit/s and delays a
// request to start a run that is sent meanwhile by as much.
constexpr size_t kQueuesPerPart = 64;
constexpr size_t kMembersPerPart = 48;

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

void TableExchange::OnMessage(const std::string& entry,
                              const TableVersions& held) {
  if (IsAgent(entry)) {
    RecordCopy(entry, held);
    return;
  }
  if (held.config > 0 && held.config == m_config->version) {
    ConfirmConfig();
  }
  m_copy_age.RecordEntryVersion(entry, held.config, m_now);
  m_config_fetch.RecordPeerVersion(entry, held.config, m_now);
  m_members_fetch.RecordPeerVersion(entry, held.members, m_now);
}

void TableExchange::RecordCopy(const std::string& agent,
                               const TableVersions& held) {
  const absl::Duration age =
      absl::Milliseconds(std::min<uint64_t>(held.config_age_ms, kMaxAgeMs));
  if (age <= kMaxCopyAge) {
    m_config_fetch.RecordPeerVersion(agent, held.config, m_now);
  } else if (!m_config_confirmed && held.config > m_config->version) {
    m_actions.push_back(
        NoteStateChange{"copy too old",
                        {{"agent", agent},
                         {"version", absl::StrCat(held.config)},
                         {"age_ms", absl::StrCat(held.config_age_ms)}},
                        true});
  }
  m_members_fetch.RecordPeerVersion(agent, held.members, m_now);
}

// The former version is still served to a peer that is fetching it. Otherwise a
// peer on a slow link would never complete a fetch while new versions are
// published faster than the link carries one.
void TableExchange::OnMessage(const std::string& entry,
                              const ConfigRequest& request) {
  if (!m_config_confirmed) {
    return;  // not announced either
  }
  if (m_keeps_copies && request.first == 0) {
    m_actions.push_back(
        CopyRequested{entry, m_config->version, m_copy_age.At(m_now)});
  }
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
  ServiceConfig complete = std::exchange(m_incoming, {});
  if (!IsAgent(entry)) {
    ConfirmConfig();
  }
  if (IsAgent(entry) || m_keeps_copies) {
    m_config_fetch.EndFetch();
  }
  ApplyConfig(std::move(complete), entry);
}

void TableExchange::OnMessage(const std::string& entry,
                              const MembersRequest& request) {
  if (!m_members_confirmed) {
    return;
  }
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
  if (IsAgent(entry)) {
    OnCopy(entry, received);
    return;
  }
  const bool confirms = !m_evacuations_confirmed && received.IsLoaded() &&
                        received.through >= m_evacuations.through;
  if (confirms || IsNewer(received, m_evacuations)) {
    m_evacuations_confirmed = true;
    ApplyEvacuations(received, entry, confirms);
  } else if (received.data_centres != m_evacuations.data_centres &&
             m_evacuations_confirmed) {
    Send(entry, m_evacuations);
  }
}

void TableExchange::OnCopy(const std::string& agent,
                           const Evacuations& received) {
  if (m_evacuations_confirmed || !IsNewer(received, m_evacuations)) {
    return;
  }
  if (!IsWellFormed(received)) {
    m_actions.push_back(
        NoteStateChange{"peer's answer of no use",
                        {{"entry", agent}, {"table", "evacuations"}},
                        true});
    return;
  }
  ApplyEvacuations(received, agent);
}

}  // namespace egretswitch::internal
