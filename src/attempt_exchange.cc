// The caller of a job is the only one who knows that its former attempt has
// ended, and it tells so by sending the job to another entry. So that entry
// ends the former attempt, and waits for its end.
//
// Each entry announces its attempts before their callers can come again, so the
// entry that receives the job next knows of them without asking. It asks only
// for their end.
//
// A silent entry cannot be asked. If it has ended or stands still, its runs end
// by their leases: it sends no renewal later than kRenewPeriod after its last
// message here. An entry that works and is only cut off from this one may renew
// its runs for longer, which cannot be known here.
#include "attempt_exchange.h"

#include <algorithm>
#include <utility>

namespace egretswitch::internal {

// ---- Links

void AttemptExchange::RecordLinked(const std::string& entry,
                                   uint64_t incarnation,
                                   bool understands,
                                   MonoTime now) {
  for (auto& [other, peer] : m_peers) {
    if (other.first == entry && other.second != incarnation && peer.linked) {
      peer.linked = false;
      peer.unlinked_at = now;
    }
  }
  Peer& peer = m_peers[{entry, incarnation}];
  peer.linked = true;
  peer.understands = understands;
  peer.listed = false;
  peer.linked_at = now;
  peer.heard_at = now;
  // Messages on the former link may be lost.
  peer.opened.clear();
  peer.over.clear();
  peer.to_end.clear();
  peer.send_all = understands;
  m_urgent = m_urgent || understands;
}

void AttemptExchange::RecordUnlinked(const std::string& entry,
                                     uint64_t incarnation,
                                     MonoTime now) {
  const auto peer = m_peers.find({entry, incarnation});
  if (peer != m_peers.end() && peer->second.linked) {
    peer->second.linked = false;
    peer->second.unlinked_at = now;
  }
}

// ---- Attempts of this entry

void AttemptExchange::RecordOpened(std::string_view job,
                                   uint64_t attempt,
                                   MonoTime opened_at) {
  const MonoTime announce_at = opened_at + kAnnounceAfter;
  m_own[attempt] = {.job = std::string(job),
                    .opened_at = opened_at,
                    .announce_at = announce_at};
  m_to_announce.emplace(announce_at, attempt);
}

void AttemptExchange::RecordJoined(uint64_t attempt, MonoTime opened_at) {
  const auto own = m_own.find(attempt);
  if (own == m_own.end() || opened_at <= own->second.opened_at) {
    return;
  }
  own->second.opened_at = opened_at;
  if (own->second.announced) {
    own->second.announced = false;
    --m_announced;
    m_to_announce.emplace(own->second.announce_at, attempt);
    m_urgent = true;
  }
}

void AttemptExchange::RecordEnded(uint64_t attempt,
                                  std::set<RunAtAgent> runs,
                                  MonoTime now) {
  const auto own = m_own.find(attempt);
  if (own == m_own.end()) {
    return;
  }
  if (runs.empty()) {
    RecordOver(own);
    return;
  }
  own->second.ended_at = now;
  own->second.runs = std::move(runs);
  m_ended.insert(attempt);
}

void AttemptExchange::RecordRunOver(uint64_t attempt, const RunAtAgent& run) {
  const auto own = m_own.find(attempt);
  if (own != m_own.end() && own->second.runs.erase(run) > 0 &&
      own->second.runs.empty()) {
    RecordOver(own);
  }
}

void AttemptExchange::RecordRunsOver(RunOverAt over_at, MonoTime now) {
  for (auto it = m_ended.begin(); it != m_ended.end();) {
    const auto own = m_own.find(*it++);
    std::erase_if(own->second.runs, [&](const RunAtAgent& run) {
      return now > over_at(run, own->second.ended_at);
    });
    if (own->second.runs.empty()) {
      RecordOver(own);
    }
  }
}

void AttemptExchange::RecordOver(std::map<uint64_t, OwnAttempt>::iterator own) {
  const uint64_t attempt = own->first;
  if (own->second.announced) {
    --m_announced;
    for (auto& [entry, peer] : m_peers) {
      if (peer.linked && peer.understands) {
        peer.over.push_back(attempt);
      }
    }
    m_urgent = m_urgent || own->second.end_requested;
  }
  m_to_announce.erase({own->second.announce_at, attempt});
  m_ended.erase(attempt);
  m_own.erase(own);
}

// ---- Messages of other entries

std::vector<AttemptExchange::KnownAttempt> AttemptExchange::HandleOpen(
    const std::string& entry,
    uint64_t incarnation,
    const OpenAttempts& message,
    MonoTime now) {
  const Entry from{entry, incarnation};
  const auto found = m_peers.find(from);
  if (found == m_peers.end() || !found->second.linked) {
    return {};
  }
  Peer& peer = found->second;
  peer.heard_at = now;
  if (message.all) {
    peer.listed = true;
    ForgetAll(from, peer);
  }
  std::vector<KnownAttempt> learnt;
  for (const OpenAttempt& open : message.opened) {
    const MonoTime opened_at = now - absl::Milliseconds(open.age_ms);
    learnt.push_back({open.job, opened_at});
    Learn(from, peer, open.attempt, {open.job, opened_at});
  }
  for (const uint64_t attempt : message.over) {
    Forget(from, peer, attempt);
  }
  return learnt;
}

std::vector<uint64_t> AttemptExchange::HandleEnd(const std::string& entry,
                                                 uint64_t incarnation,
                                                 const EndAttempts& message) {
  const auto peer = m_peers.find({entry, incarnation});
  if (peer == m_peers.end() || !peer->second.linked) {
    return {};
  }
  std::vector<uint64_t> open;
  for (const uint64_t attempt : message.attempts) {
    const auto own = m_own.find(attempt);
    if (own == m_own.end()) {
      peer->second.over.push_back(attempt);
      m_urgent = true;
      continue;
    }
    own->second.end_requested = true;
    if (!m_ended.contains(attempt)) {
      open.push_back(attempt);
    }
  }
  return open;
}

void AttemptExchange::Learn(const Entry& entry,
                            Peer& peer,
                            uint64_t attempt,
                            PeerAttempt attempt_there) {
  m_elsewhere[attempt_there.job].insert({entry, attempt});
  peer.attempts[attempt] = std::move(attempt_there);
}

void AttemptExchange::Forget(const Entry& entry, Peer& peer, uint64_t attempt) {
  const auto known = peer.attempts.find(attempt);
  if (known == peer.attempts.end()) {
    return;
  }
  const auto job = m_elsewhere.find(known->second.job);
  job->second.erase({entry, attempt});
  if (job->second.empty()) {
    m_elsewhere.erase(job);
  }
  peer.attempts.erase(known);
}

void AttemptExchange::ForgetAll(const Entry& entry, Peer& peer) {
  while (!peer.attempts.empty()) {
    Forget(entry, peer, peer.attempts.begin()->first);
  }
}

// ---- Attempts of other entries

MonoTime AttemptExchange::OverAt(const Peer& peer) {
  const MonoTime silent = peer.heard_at + kSilentAttemptsOver;
  return peer.linked ? silent
                     : std::min(silent, peer.unlinked_at + kRunCertainlyOver);
}

bool AttemptExchange::MustAwait(std::string_view job,
                                MonoTime opened_at,
                                MonoTime lease_bound_until,
                                MonoTime now) const {
  const auto known = m_elsewhere.find(job);
  return known != m_elsewhere.end() &&
         std::any_of(known->second.begin(), known->second.end(),
                     [&](const auto& elsewhere) {
                       const Peer& peer = m_peers.at(elsewhere.first);
                       return peer.attempts.at(elsewhere.second).opened_at <
                                  opened_at &&
                              now <= std::max(OverAt(peer), lease_bound_until);
                     });
}

bool AttemptExchange::HasEndedAttempt(std::string_view job) const {
  return std::any_of(m_ended.begin(), m_ended.end(), [&](uint64_t attempt) {
    return m_own.at(attempt).job == job;
  });
}

bool AttemptExchange::AwaitsList(MonoTime now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [now](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.linked && peer.understands && !peer.listed &&
           now - peer.linked_at < kListTimeout;
  });
}

std::vector<std::string> AttemptExchange::RequestEnd(std::string_view job,
                                                     MonoTime opened_at) {
  std::vector<std::string> entries;
  const auto known = m_elsewhere.find(job);
  if (known == m_elsewhere.end()) {
    return entries;
  }
  for (const auto& [entry, attempt] : known->second) {
    Peer& peer = m_peers.at(entry);
    if (peer.attempts.at(attempt).opened_at >= opened_at) {
      continue;
    }
    entries.push_back(entry.first);
    if (peer.linked) {
      peer.to_end.push_back(attempt);
      m_urgent = true;
    }
  }
  return entries;
}

// ---- Sending

std::vector<SendRunMessage> AttemptExchange::TakeDue(MonoTime now) {
  std::vector<SendRunMessage> messages;
  const bool heartbeat = m_announced > 0 && now >= m_next_heartbeat;
  if (!m_urgent && !heartbeat && now < m_next_send) {
    return messages;
  }
  m_urgent = false;
  m_next_send = now + kAnnouncementPeriod;
  if (heartbeat) {
    m_next_heartbeat = now + kAttemptHeartbeatPeriod;
  }
  AnnounceOld(now);
  DropLostPeers(now);
  for (auto& [entry, peer] : m_peers) {
    if (peer.linked && peer.understands) {
      SendTo(entry, peer, heartbeat, now, messages);
    }
  }
  return messages;
}

void AttemptExchange::AnnounceOld(MonoTime now) {
  while (!m_to_announce.empty() && m_to_announce.begin()->first <= now) {
    const uint64_t attempt = m_to_announce.begin()->second;
    m_to_announce.erase(m_to_announce.begin());
    OwnAttempt& own = m_own.at(attempt);
    own.announced = true;
    ++m_announced;
    Announce(attempt, own, now);
  }
}

void AttemptExchange::Announce(uint64_t attempt,
                               const OwnAttempt& own,
                               MonoTime now) {
  const auto age_ms =
      static_cast<uint32_t>(absl::ToInt64Milliseconds(now - own.opened_at));
  for (auto& [entry, peer] : m_peers) {
    if (peer.linked && peer.understands && !peer.send_all) {
      peer.opened.push_back({own.job, attempt, age_ms});
    }
  }
}

void AttemptExchange::SendTo(const Entry& entry,
                             Peer& peer,
                             bool heartbeat,
                             MonoTime now,
                             std::vector<SendRunMessage>& messages) {
  if (peer.send_all || !peer.opened.empty() || !peer.over.empty() ||
      heartbeat) {
    OpenAttempts message{.all = peer.send_all,
                         .opened = std::exchange(peer.opened, {}),
                         .over = std::exchange(peer.over, {})};
    if (message.all) {
      message.opened = AllAnnounced(now);
    }
    peer.send_all = false;
    messages.push_back({entry.first, entry.second, std::move(message)});
  }
  if (!peer.to_end.empty()) {
    messages.push_back({entry.first, entry.second,
                        EndAttempts{std::exchange(peer.to_end, {})}});
  }
}

std::vector<OpenAttempt> AttemptExchange::AllAnnounced(MonoTime now) const {
  std::vector<OpenAttempt> all;
  for (const auto& [attempt, own] : m_own) {
    if (own.announced) {
      all.push_back({own.job, attempt,
                     static_cast<uint32_t>(
                         absl::ToInt64Milliseconds(now - own.opened_at))});
    }
  }
  return all;
}

void AttemptExchange::DropLostPeers(MonoTime now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const auto current = it++;
    if (!current->second.linked &&
        now > current->second.unlinked_at + kLateStartsOver) {
      ForgetAll(current->first, current->second);
      m_peers.erase(current);
    }
  }
}

}  // namespace egretswitch::internal
