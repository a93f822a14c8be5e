// Each entry hears of every cancel (cancel_search.h) while it runs. What it
// misses while it is down or cut off, it requests on its next links; what all
// entries lose together is left at some agents. Parts are requested one by one,
// so that other messages on a link wait for one part at most.
#include "cancel_exchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "worker_subset.h"

namespace egretswitch::internal {
namespace {

// Some 5 kB.
constexpr size_t kMaxJobsPerPart = 100;

// Messages are lost for some seconds before a silent link is found to be down.
constexpr absl::Duration kUndetectedLoss = absl::Seconds(10);

}  // namespace

CancelExchange::CancelExchange(ProcessRole role,
                               const CancelledJobs& memory,
                               uint64_t seed)
    : m_is_entry(role == ProcessRole::kEntry), m_memory(memory), m_seed(seed) {}

CancelExchangeActions CancelExchange::Handle(const CancelExchangeEvent& event,
                                             MonoTime now) {
  m_now = now;
  m_began_at = std::min(m_began_at, now);
  DropLost();
  std::visit([this](const auto& details) { On(details); }, event);
  if (m_now >= m_send_at) {
    SendToKeepers();
  }
  CompleteIfDue();
  return std::exchange(m_actions, {});
}

MonoTime CancelExchange::NextWake() const {
  return m_is_entry && !m_complete ? std::min(GiveUpAt(), m_send_at)
                                   : m_send_at;
}

// ---- Links

void CancelExchange::On(const CancelMemoryPeerUp& event) {
  Peer& peer = m_peers[event.name];
  const absl::Duration missed = MissedTime(peer, event.incarnation);
  peer = {.incarnation = event.incarnation,
          .role = event.role,
          .understands = event.understands_cancelled_jobs,
          .hash = RendezvousHash(event.name, m_seed)};
  peer.transfer.request.learnt_within_ms =
      static_cast<uint32_t>(absl::ToInt64Milliseconds(missed));
  if (!m_is_entry) {
    return;
  }
  const bool is_agent = event.role == ProcessRole::kAgent;
  if (is_agent) {
    m_first_agent_at = std::min(m_first_agent_at, m_now);
  }
  if (!peer.understands) {
    peer.answered = true;
  } else if (!is_agent || !m_complete) {
    Request(event.name, peer);
  }
  SelectKeepers();
}

// Returns the period in which the peer may have learnt of cancels without
// passing them on to this process. That is the whole retention time, unless a
// transfer was completed on the previous link.
absl::Duration CancelExchange::MissedTime(const Peer& former,
                                          uint64_t incarnation) const {
  const bool up_to_date_until_lost =
      former.incarnation == incarnation && former.answered && !former.linked();
  return up_to_date_until_lost
             ? std::min(m_now - former.lost_at + kUndetectedLoss,
                        kCancelledJobRetention)
             : kCancelledJobRetention;
}

void CancelExchange::On(const PeerDisconnected& event) {
  const auto found = m_peers.find(event.name);
  if (found == m_peers.end() ||
      found->second.incarnation != event.incarnation ||
      !found->second.linked()) {
    return;
  }
  found->second.lost_at = m_now;
  found->second.transferring = false;
  found->second.is_keeper = false;
  SelectKeepers();
}

void CancelExchange::On(const AgentsDialled& event) {
  m_agents_dialled = event.count;
}

// Every record that such a peer has received before has expired.
void CancelExchange::DropLost() {
  std::erase_if(m_peers, [this](const auto& entry) {
    return m_now - entry.second.lost_at >= kCancelledJobRetention;
  });
}

// ---- Cancels of this process

// The other entries are told by the search (cancel_search.h).
void CancelExchange::On(const CancelsRecorded& event) {
  for (const std::string& job : event.jobs) {
    m_unsent.push_back({.job = job, .held = m_memory.WasHeld(job)});
  }
  if (!m_unsent.empty()) {
    m_send_at = std::min(m_send_at, m_now + kKeeperBatchPeriod);
  }
}

void CancelExchange::On(const CancelsAcknowledged&) {
  SendToKeepers();
}

// Sends the records with an age of zero, which is too low by one batch period
// at most.
void CancelExchange::SendToKeepers() {
  const CancelledJobsPart part{.jobs = std::exchange(m_unsent, {}),
                               .complete = m_complete};
  m_send_at = absl::InfiniteDuration();
  if (part.jobs.empty()) {
    return;
  }
  for (const auto& [name, peer] : m_peers) {
    if (peer.is_keeper) {
      Send(name, part);
    }
  }
}

// ---- Messages

void CancelExchange::On(const PeerMessageReceived& event) {
  const auto peer = m_peers.find(event.name);
  if (peer == m_peers.end() || !peer->second.linked() ||
      peer->second.incarnation != event.incarnation) {
    return;
  }
  if (const auto* request = std::get_if<CancelledJobsRequest>(&event.body)) {
    OnRequest(event.name, *request);
  } else if (const auto* part = std::get_if<CancelledJobsPart>(&event.body)) {
    OnPart(event.name, peer->second, *part);
  }
}

void CancelExchange::OnRequest(const std::string& from,
                               const CancelledJobsRequest& request) {
  CancelledJobsPart part;
  part.jobs = m_memory.Page(
      {.after = request.after,
       .learnt_within = absl::Milliseconds(request.learnt_within_ms)},
      kMaxJobsPerPart, m_now);
  part.requested = true;
  part.last = part.jobs.size() < kMaxJobsPerPart;
  part.complete = m_complete;
  Send(from, std::move(part));
}

void CancelExchange::OnPart(const std::string& from,
                            Peer& peer,
                            const CancelledJobsPart& part) {
  std::vector<CancelledJob> unknown;
  for (const CancelledJob& job : part.jobs) {
    if (!m_memory.Contains(job.job, m_now)) {
      unknown.push_back(job);
    }
  }
  m_counters.Add(RunCounter::kCancelsLearnt, unknown.size());
  if (!part.jobs.empty()) {
    m_actions.push_back(MergeCancelledJobs{part.jobs});
  }
  if (m_is_entry && !unknown.empty()) {
    PassOn(unknown, from);
  }
  if (part.requested) {
    peer.transfer.new_jobs += unknown.size();
    ContinueTransfer(from, peer, part);
  } else if (!m_is_entry && !peer.transferring && !peer.answered) {
    Request(from, peer);
  }
}

void CancelExchange::Request(const std::string& name, Peer& peer) {
  peer.transferring = true;
  peer.transfer.began_at = m_now;
  Send(name, peer.transfer.request);
}

void CancelExchange::ContinueTransfer(const std::string& from,
                                      Peer& peer,
                                      const CancelledJobsPart& part) {
  if (!peer.transferring) {
    return;
  }
  Transfer& transfer = peer.transfer;
  transfer.jobs += part.jobs.size();
  for (const CancelledJob& job : part.jobs) {
    transfer.oldest_ms = std::max(transfer.oldest_ms, job.age_ms);
  }
  if (!part.last && !part.jobs.empty()) {
    m_last_part_at = m_now;
    transfer.request.after = part.jobs.back().job;
    Send(from, transfer.request);
    return;
  }
  peer.transferring = false;
  peer.answered = true;
  peer.complete = part.complete;
  LogTransfer(from, peer);
}

void CancelExchange::LogTransfer(const std::string& from, const Peer& peer) {
  const Transfer& transfer = peer.transfer;
  m_actions.push_back(NoteStateChange{
      "cancelled jobs received",
      {{"from", from},
       {"jobs", absl::StrCat(transfer.jobs)},
       {"new", absl::StrCat(transfer.new_jobs)},
       {"oldest_ms", absl::StrCat(transfer.oldest_ms)},
       {"learnt_within_ms", absl::StrCat(transfer.request.learnt_within_ms)},
       {"took_ms", MillisecondsText(m_now - transfer.began_at)},
       {"sender_complete", peer.complete ? "yes" : "no"}},
      /*routine=*/transfer.new_jobs == 0});
}

// Passes records on to the keepers and to the linked entries, since an entry
// that was also disconnected from the sender may be linked to this entry only.
// While the memory is incomplete, the records come from what other entries
// have, so only the keepers get them.
void CancelExchange::PassOn(absl::Span<const CancelledJob> jobs,
                            std::string_view except) {
  const CancelledJobsPart part{.jobs = {jobs.begin(), jobs.end()},
                               .complete = m_complete};
  for (const auto& [name, peer] : m_peers) {
    const bool wants = peer.role == ProcessRole::kEntry
                           ? m_complete && peer.understands
                           : peer.is_keeper;
    if (wants && peer.linked() && name != except) {
      Send(name, part);
    }
  }
}

// ---- Keepers

// An empty part makes an agent a keeper, which then requests what it has
// missed. An entry whose own memory is incomplete selects keepers as well,
// since it may acknowledge a cancel and terminate.
void CancelExchange::SelectKeepers() {
  if (!m_is_entry) {
    return;
  }
  size_t keepers = 0;
  std::vector<std::pair<uint64_t, std::string>> candidates;
  for (const auto& [name, peer] : m_peers) {
    if (peer.role != ProcessRole::kAgent || !peer.linked() ||
        !peer.understands) {
      continue;
    }
    if (peer.is_keeper) {
      ++keepers;
    } else {
      candidates.emplace_back(peer.hash, name);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [hash, name] : candidates) {
    if (keepers++ >= kCancelKeepers) {
      return;
    }
    m_peers.at(name).is_keeper = true;
    Send(name, CancelledJobsPart{.complete = m_complete});
  }
}

// ---- Completion

bool CancelExchange::AwaitsEntry() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.role == ProcessRole::kEntry && peer.transferring;
  });
}

bool CancelExchange::AnyEntryComplete() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.role == ProcessRole::kEntry && peer.linked() && peer.complete;
  });
}

size_t CancelExchange::AgentsAnswered() const {
  return static_cast<size_t>(
      std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.role == ProcessRole::kAgent && peer.linked() &&
               peer.answered;
      }));
}

MonoTime CancelExchange::GiveUpAt() const {
  return std::min(m_first_agent_at + kMaxCancelMemoryTimeout,
                  std::max(m_first_agent_at + kCancelMemoryTimeout,
                           m_last_part_at + kCancelPartTimeout));
}

// The memory of one complete entry suffices, once no other entry owes an
// answer. Otherwise all agents are awaited, since any of them may be the only
// remaining keeper.
void CancelExchange::CompleteIfDue() {
  if (!m_is_entry || m_complete) {
    return;
  }
  const bool all_agents =
      m_agents_dialled > 0 && AgentsAnswered() >= m_agents_dialled;
  if (!AwaitsEntry() && AnyEntryComplete()) {
    Complete("entry");
  } else if (!AwaitsEntry() && all_agents) {
    Complete("all_agents");
  } else if (m_now >= GiveUpAt()) {
    Complete("time_limit");
  }
}

void CancelExchange::Complete(std::string_view by) {
  m_complete = true;
  m_actions.emplace_back(CancelMemoryComplete{});
  m_actions.push_back(
      NoteStateChange{"cancelled jobs complete",
                      {{"known_by", std::string(by)},
                       {"after_ms", MillisecondsText(m_now - m_began_at)},
                       {"agents_answered", absl::StrCat(AgentsAnswered())},
                       {"agents_dialled", absl::StrCat(m_agents_dialled)},
                       {"jobs", absl::StrCat(m_memory.size())}}});
}

void CancelExchange::Send(const std::string& name, RunMessageBody body) {
  m_actions.push_back(
      SendRunMessage{name, m_peers.at(name).incarnation, std::move(body)});
}

}  // namespace egretswitch::internal
