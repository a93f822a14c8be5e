// A request is flooded with an echo: an entry that receives it for the first
// time asks its own peers and replies when they have. One that receives it
// again replies at once, since its own reply goes to the first asker. So a
// request crosses each link once in each direction at most, and the first asker
// knows that all entries that were reached have replied.
//
// A found job is answered at once. The request goes on to the other entries all
// the same: its caller may have submitted it again elsewhere.
#include "cancel_search.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace egretswitch::internal {

CancelSearch::CancelSearch(uint64_t seed, CancelHere cancel_here)
    : m_cancel_here(std::move(cancel_here)), m_last_request(seed) {}

CancelActions CancelSearch::Handle(const CancelEvent& event, MonoTime now) {
  m_now = now;
  SettleDue();
  DropOld();
  std::visit([this](const auto& details) { On(details); }, event);
  SendQueued();
  return std::exchange(m_actions, {});
}

MonoTime CancelSearch::NextWake() const {
  MonoTime next = m_anything_queued ? m_next_send : absl::InfiniteDuration();
  if (!m_deadlines.empty()) {
    next = std::min(next, m_deadlines.begin()->first);
  }
  return next;
}

// ---- Peers

// The peer is asked what it has missed: a search that awaits its reply needs
// it, and the others tell it which jobs not to start. Requests of the peer
// itself are left out, but not those of an earlier incarnation.
void CancelSearch::On(const CancelPeerConnected& event) {
  Peer& peer = m_peers[event.name];
  peer = {.incarnation = event.incarnation,
          .understands_cancels = event.understands_cancels};
  if (!event.understands_cancels) {
    return;
  }
  for (const auto& [request, search] : m_searches) {
    const bool asked_here = search.asker == event.name &&
                            search.asker_incarnation == event.incarnation;
    if (!asked_here) {
      const bool awaited = search.pending.contains(event.name);
      peer.requests.push_back(
          {request, search.job, awaited ? search.hops - 1 : 0});
      m_anything_queued = true;
    }
  }
}

// The searches that await its reply go on until their time has passed: a cut
// link is up again within some milliseconds.
void CancelSearch::On(const PeerDisconnected& event) {
  const auto peer = m_peers.find(event.name);
  if (peer != m_peers.end() && peer->second.incarnation == event.incarnation &&
      peer->second.linked()) {
    peer->second.lost_at = m_now;
    peer->second.requests.clear();
    peer->second.replies.clear();
  }
}

void CancelSearch::On(const EntriesCounted& event) {
  m_entries = event.count;
}

// ---- Requests

void CancelSearch::On(const CancelRequested& event) {
  m_counters.Add(RunCounter::kCancelsAsked);
  const bool held = m_cancel_here(absl::MakeConstSpan(&event.job, 1)).front();
  Begin(++m_last_request,
        {.job = event.job, .call = event.call, .hops = HopsNeeded()}, held);
}

void CancelSearch::On(const PeerMessageReceived& event) {
  const auto peer = m_peers.find(event.name);
  if (peer == m_peers.end() || peer->second.incarnation != event.incarnation) {
    return;
  }
  if (const auto* asked = std::get_if<CancelStepJobs>(&event.body)) {
    OnRequests(event.name, *asked);
  } else if (const auto* replied =
                 std::get_if<StepJobsCancelled>(&event.body)) {
    OnReplies(event.name, *replied);
  }
}

void CancelSearch::OnRequests(const std::string& from,
                              const CancelStepJobs& asked) {
  std::vector<std::string> jobs;
  for (const CancelRequest& request : asked.requests) {
    jobs.push_back(request.job);
  }
  const std::vector<bool> held = m_cancel_here(jobs);
  for (size_t i = 0; i < jobs.size(); ++i) {
    const CancelRequest& request = asked.requests[i];
    if (const auto known = m_searches.find(request.request);
        known != m_searches.end()) {
      OnRepeated(from, request.request, known->second);
      continue;
    }
    const uint32_t hops = std::min(request.hops, kMaxCancelHops - 1);
    m_counters.Add(RunCounter::kCancelsPassedOn, hops > 0 ? 1 : 0);
    Begin(request.request,
          {.job = jobs[i],
           .asker = from,
           .asker_incarnation = m_peers.at(from).incarnation,
           .hops = hops},
          held[i]);
  }
}

// The first asker asks again over a new link, on which it awaits the reply.
void CancelSearch::OnRepeated(const std::string& from,
                              uint64_t request,
                              Search& search) {
  if (from != search.asker) {
    Reply(from, {request, search.cancelled_here, true});
  } else if (search.answered) {
    search.answered = false;
    Settle(request, search);
  }
}

void CancelSearch::Begin(uint64_t request, Search search, bool held) {
  search.began_at = m_now;
  search.cancelled = held;
  search.cancelled_here = held;
  const bool has_room = m_searches.size() < kMaxCancelSearches;
  if (has_room) {
    AskPeers(request, search);
  } else {
    search.complete = false;
  }
  Search& added = m_searches[request] = std::move(search);
  m_by_age.emplace_back(m_now, request);
  m_deadlines.emplace(DeadlineOf(added), request);
  Settle(request, added);
  if (!has_room) {
    m_searches.erase(request);
    m_by_age.pop_back();
  }
}

void CancelSearch::AskPeers(uint64_t request, Search& search) {
  if (search.hops == 0) {
    return;
  }
  for (auto& [name, peer] : m_peers) {
    if (name == search.asker) {
      continue;
    }
    if (!peer.understands_cancels) {
      search.complete = false;
      continue;
    }
    search.pending.insert(name);
    if (peer.linked()) {
      peer.requests.push_back({request, search.job, search.hops - 1});
      m_anything_queued = true;
    }
  }
}

// Few entries are all linked to each other. When one of these links is down, a
// second one leads around it.
uint32_t CancelSearch::HopsNeeded() const {
  const auto linked = static_cast<size_t>(
      std::count_if(m_peers.begin(), m_peers.end(),
                    [](const auto& peer) { return peer.second.linked(); }));
  if (linked + 1 >= m_entries) {
    return 1;
  }
  return 2 * linked >= m_entries ? 2 : kMaxCancelHops;
}

// ---- Replies

void CancelSearch::OnReplies(const std::string& from,
                             const StepJobsCancelled& replied) {
  for (const CancelReply& reply : replied.replies) {
    const auto search = m_searches.find(reply.request);
    if (search == m_searches.end() || search->second.pending.erase(from) == 0) {
      continue;
    }
    search->second.cancelled = search->second.cancelled || reply.cancelled;
    search->second.complete = search->second.complete && reply.complete;
    Settle(reply.request, search->second);
  }
}

MonoTime CancelSearch::DeadlineOf(const Search& search) const {
  return search.began_at + kCancelTimePerHop * search.hops;
}

// Called before DropOld(), so that no search is dropped before it is answered,
// even after a pause of the process.
void CancelSearch::SettleDue() {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
    const uint64_t request = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    if (const auto search = m_searches.find(request);
        search != m_searches.end()) {
      Settle(request, search->second);
    }
  }
}

// Answers once the job is found, every entry has replied, or the time is up.
void CancelSearch::Settle(uint64_t request, Search& search) {
  const bool due =
      search.cancelled || search.pending.empty() || m_now >= DeadlineOf(search);
  if (search.answered || !due) {
    return;
  }
  search.answered = true;
  m_deadlines.erase({DeadlineOf(search), request});
  search.complete = search.complete && search.pending.empty();
  if (search.call.has_value()) {
    AnswerCaller(*search.call, search);
  } else {
    Reply(search.asker, {request, search.cancelled, search.complete});
  }
}

void CancelSearch::AnswerCaller(CallId call, const Search& search) {
  if (search.cancelled) {
    m_counters.Add(search.cancelled_here ? RunCounter::kCancelsFoundHere
                                         : RunCounter::kCancelsFoundElsewhere);
    m_actions.push_back(AnswerCancel{call, CancelVerdict::kCancelled});
    return;
  }
  m_counters.Add(search.complete ? RunCounter::kCancelsNotFound
                                 : RunCounter::kCancelsIncomplete);
  m_actions.push_back(AnswerCancel{call, search.complete
                                             ? CancelVerdict::kNotFound
                                             : CancelVerdict::kUnconfirmed});
  m_actions.push_back(
      NoteStateChange{"cancelled job not found",
                      {{"job", search.job},
                       {"complete", search.complete ? "yes" : "no"},
                       {"unanswered", absl::StrJoin(search.pending, ",")}},
                      true});
}

// ---- Sending

// The asker's record may have been dropped after the loss of its link.
void CancelSearch::Reply(const std::string& name, const CancelReply& reply) {
  const auto peer = m_peers.find(name);
  if (peer != m_peers.end() && peer->second.linked() &&
      peer->second.understands_cancels) {
    peer->second.replies.push_back(reply);
    m_anything_queued = true;
  }
}

void CancelSearch::DropOld() {
  while (!m_by_age.empty() &&
         m_now - m_by_age.front().first >= kCancelSearchRetention) {
    m_searches.erase(m_by_age.front().second);
    m_by_age.pop_front();
  }
  std::erase_if(m_peers, [this](const auto& peer) {
    return m_now - peer.second.lost_at >= kLostEntryRetention;
  });
}

void CancelSearch::SendQueued() {
  if (!m_anything_queued || m_now < m_next_send) {
    return;
  }
  m_anything_queued = false;
  m_next_send = m_now + kCancelBatchPeriod;
  for (auto& [name, peer] : m_peers) {
    if (!peer.requests.empty()) {
      m_actions.push_back(
          SendRunMessage{name, peer.incarnation,
                         CancelStepJobs{std::exchange(peer.requests, {})}});
    }
    if (!peer.replies.empty()) {
      m_actions.push_back(
          SendRunMessage{name, peer.incarnation,
                         StepJobsCancelled{std::exchange(peer.replies, {})}});
    }
  }
}

}  // namespace egretswitch::internal
