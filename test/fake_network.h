// Links between processes in virtual time: ordered messages with latencies,
// dialing, refusals, cuts of each direction, and what each end learns of them.
//
//   network.Cut("entry-a", "agent-1");  // nothing arrives any more
//   ... 3 s later both ends handle LinkDown; dials stay without an answer
//
// A cut shorter than kCutLinkTimeout only delays: what was sent arrives after
// it, in order, as on TCP.
#ifndef EGRETSWITCH_TEST_FAKE_NETWORK_H_
#define EGRETSWITCH_TEST_FAKE_NETWORK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "node_events.h"
#include "virtual_time.h"

namespace egretswitch::internal {

inline constexpr VirtualUs kCutLinkTimeout = Ms(3000);

using NetworkEvent =
    std::variant<LinkUp, LinkDown, PeerRefusedConnection, MessageArrived>;

enum class ProcessState : uint8_t {
  kRuns = 0,
  kFrozen,
  kEnded,    // its host refuses connections
  kHostLost  // silence
};

// The processes, as the network sees them.
class ProcessHost {
 public:
  virtual ~ProcessHost() = default;
  virtual ProcessState StateOf(const std::string& process) const = 0;

  // Counts the starts of the process.
  virtual uint64_t LifeOf(const std::string& process) const = 0;
  virtual Hello HelloOf(const std::string& process) const = 0;

  // The process's own steady clock.
  virtual MonoTime SteadyTimeOf(const std::string& process) const = 0;

  // Runs `task` in that life of the process: now, after it wakes, or never.
  virtual void Post(const std::string& process,
                    uint64_t life,
                    std::function<void()> task) = 0;
  virtual void HandleNetworkEvent(const std::string& process,
                                  NetworkEvent event) = 0;
};

class FakeNetwork {
 public:
  FakeNetwork(VirtualTime& time, ProcessHost& host)
      : m_time(time), m_host(host) {}

  void SetTargets(const std::string& process, std::vector<PeerAddress> peers);
  void Send(const std::string& from, const std::string& to, Message message);

  // The process has ended; peers learn it at once unless `silent`.
  void OnEnded(const std::string& process, bool silent);

  // Stops deliveries from one process to another. Processes may be "log".
  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  bool IsCut(const std::string& from, const std::string& to) const;

  // Adds a delay to what is sent from now on between the two, either way.
  void SetDelay(const std::string& a, const std::string& b, VirtualUs delay);

  VirtualUs Latency() { return m_time.Random(100, 1000); }

 private:
  struct Link {
    uint64_t number = 0;
    VirtualUs dialed = 0;
    std::array<std::string, 2> names;
    std::array<uint64_t, 2> lives{};
    std::array<uint64_t, 2> incarnations{};
    std::array<bool, 2> up{};                 // as that end believes
    std::array<VirtualUs, 2> last_arrival{};  // at that end
    std::array<std::vector<std::function<void()>>, 2> held;
    bool severed = false;  // nothing in flight arrives any more
  };
  using LinkPtr = std::shared_ptr<Link>;
  using Pair = std::pair<std::string, std::string>;

  static Pair PairOf(const std::string& a, const std::string& b);
  LinkPtr FindLink(const std::string& a, const std::string& b) const;
  void ArriveAt(const LinkPtr& link,
                size_t end,
                VirtualUs delay,
                std::function<void()> task);
  void Release(const LinkPtr& link, size_t end);
  void BreakEnd(const LinkPtr& link, size_t end, VirtualUs delay);
  void HandleBreak(const LinkPtr& link, size_t end);
  void BreakWhenStillCut(const Pair& direction, uint64_t cut);
  bool IsTarget(const std::string& process, const std::string& peer) const;
  LinkPtr UpLink(const std::string& process, const std::string& peer) const;
  bool IsConnecting(const std::string& dialer, const std::string& peer) const;
  void Dial(const std::string& process, uint64_t life, const std::string& peer);
  void Connect(const std::string& dialer, const std::string& peer);
  void Accept(const LinkPtr& link, size_t end);

  VirtualTime& m_time;
  ProcessHost& m_host;
  std::map<Pair, LinkPtr> m_links;    // the newest of each pair
  std::map<Pair, LinkPtr> m_current;  // process and peer -> accepted there
  uint64_t m_next_link = 0;
  std::map<Pair, uint64_t> m_cuts;  // direction -> number of the cut
  std::map<Pair, VirtualUs> m_delays;
  uint64_t m_next_cut = 0;
  std::map<std::string, std::vector<PeerAddress>> m_targets;
  std::map<Pair, uint64_t> m_dialing;  // dialer and peer -> dialer's life
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAKE_NETWORK_H_
