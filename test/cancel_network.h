// Entries that search for cancelled jobs, linked to each other by the test, in
// virtual time. Each entry is a CancelSearch and the ids of its open jobs.
//
//   CancelNetwork network(3);
//   network.entry(2).open.insert("5c0e");
//   network.Cancel(0, "5c0e");
//   network.Pass(absl::Milliseconds(50));
//   network.VerdictOf(call)       -> kCancelled
#ifndef EGRETSWITCH_TEST_CANCEL_NETWORK_H_
#define EGRETSWITCH_TEST_CANCEL_NETWORK_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cancel_search.h"
#include "run_fixture.h"

namespace egretswitch::internal {

class CancelNetwork {
 public:
  struct Entry {
    std::string name;
    uint64_t incarnation = 0;
    bool understands_cancels = true;
    bool frozen = false;  // neither receives nor sends
    std::set<std::string> open;
    std::set<std::string> cancelled;  // heard of, by id
    std::set<std::string> held;       // of these, the ones that were open here
    std::unique_ptr<CancelSearch> search;
  };

  // All entries are linked to each other.
  explicit CancelNetwork(int entries) : CancelNetwork(entries, true) {}
  CancelNetwork(int entries, bool linked) {
    m_entries.resize(static_cast<size_t>(entries));
    for (int i = 0; i < entries; ++i) {
      m_entries[i].name = absl::StrCat("entry-", i);
      Start(i);
    }
    for (int i = 0; linked && i < entries; ++i) {
      for (int j = 0; j < i; ++j) {
        Link(i, j);
      }
    }
  }

  Entry& entry(int number) { return m_entries[number]; }
  const std::map<CallId, CancelVerdict>& verdicts() const { return m_verdicts; }
  std::optional<CancelVerdict> VerdictOf(CallId call) const {
    const auto found = m_verdicts.find(call);
    return found == m_verdicts.end() ? std::nullopt
                                     : std::optional(found->second);
  }
  // Messages on the busiest link, in one direction.
  int MaxMessagesOnALink() const {
    int most = 0;
    for (const auto& [ends, count] : m_messages) {
      most = std::max(most, count);
    }
    return most;
  }

  void Link(int one, int other) {
    m_links.insert({one, other});
    m_links.insert({other, one});
    Connect(one, other);
    Connect(other, one);
  }

  // Messages under way are lost.
  void Cut(int one, int other) {
    m_links.erase({one, other});
    m_links.erase({other, one});
    std::erase_if(m_sent, [&](const Sent& sent) {
      return (sent.from == one && sent.to == other) ||
             (sent.from == other && sent.to == one);
    });
    Do(one,
       PeerDisconnected{m_entries[other].name, m_entries[other].incarnation});
    Do(other,
       PeerDisconnected{m_entries[one].name, m_entries[one].incarnation});
  }

  // Its memory and its jobs are lost with it.
  void Kill(int number) {
    for (int other = 0; other < size(); ++other) {
      if (m_links.contains({number, other})) {
        Cut(number, other);
      }
    }
    m_entries[number].open.clear();
    m_entries[number].held.clear();
    m_entries[number].cancelled.clear();
    m_entries[number].search.reset();
  }

  void Start(int number) {
    Entry& entry = m_entries[number];
    entry.incarnation = ++m_incarnations;
    entry.search = std::make_unique<CancelSearch>(
        entry.incarnation << 32, [&entry](absl::Span<const std::string> jobs) {
          std::vector<bool> held;
          for (const std::string& job : jobs) {
            entry.cancelled.insert(job);
            if (entry.open.erase(job) > 0) {
              entry.held.insert(job);
            }
            held.push_back(entry.held.contains(job));
          }
          return held;
        });
    Do(number, EntriesCounted{m_entries.size()});
  }

  CallId Cancel(int number, const std::string& job) {
    Do(number, CancelRequested{++m_calls, job});
    return m_calls;
  }

  // Messages take less than a step.
  void Pass(absl::Duration by) {
    constexpr absl::Duration kStep = absl::Milliseconds(1);
    for (; by > absl::ZeroDuration(); by -= kStep) {
      for (const Sent& sent : std::exchange(m_sent, {})) {
        Do(sent.to, PeerMessageReceived{m_entries[sent.from].name,
                                        sent.from_incarnation, sent.body});
      }
      clock.Advance(kStep);
      for (int i = 0; i < size(); ++i) {
        if (m_entries[i].search != nullptr &&
            m_entries[i].search->NextWake() <= clock.now().mono) {
          Do(i, TimePassed{});
        }
      }
    }
  }

  int size() const { return static_cast<int>(m_entries.size()); }

  VirtualClock clock;

 private:
  struct Sent {
    int from = 0;
    uint64_t from_incarnation = 0;
    int to = 0;
    RunMessageBody body;
  };

  void Connect(int at, int peer) {
    const Entry& other = m_entries[peer];
    Do(at, CancelPeerConnected{other.name, other.incarnation,
                               other.understands_cancels});
  }

  void Do(int number, const CancelEvent& event) {
    Entry& entry = m_entries[number];
    if (entry.search == nullptr || entry.frozen) {
      return;
    }
    const CancelActions actions = entry.search->Handle(event, clock.now().mono);
    for (const AnswerCancel& answer : ActionsOf<AnswerCancel>(actions)) {
      m_verdicts[answer.call] = answer.verdict;
    }
    for (const SendRunMessage& send : ActionsOf<SendRunMessage>(actions)) {
      Transmit(number, send);
    }
  }

  void Transmit(int from, const SendRunMessage& send) {
    const int to = std::stoi(send.peer.substr(send.peer.find('-') + 1));
    if (m_links.contains({from, to}) &&
        m_entries[to].incarnation == send.incarnation) {
      ++m_messages[{from, to}];
      m_sent.push_back({from, m_entries[from].incarnation, to, send.body});
    }
  }

  std::vector<Entry> m_entries;
  std::set<std::pair<int, int>> m_links;
  std::deque<Sent> m_sent;
  std::map<std::pair<int, int>, int> m_messages;
  std::map<CallId, CancelVerdict> m_verdicts;
  CallId m_calls = 0;
  uint64_t m_incarnations = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_CANCEL_NETWORK_H_
