// One real EntryNode, "entry-000", in virtual time; the log, the agents and the
// other entries around it are played: each does at once what it is asked for.
//
//   EntryDriver driver({.agents = 650});
//   driver.Start();                 // reads the log, links up, serves
//   driver.RunIdle(absl::Seconds(3));
//   driver.cpu().ns()               // spent by the node alone
#ifndef EGRETSWITCH_BENCH_CAPACITY_ENTRY_DRIVER_H_
#define EGRETSWITCH_BENCH_CAPACITY_ENTRY_DRIVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "capacity_meter.h"
#include "entry_node.h"

namespace egretswitch::internal {

// What the entry finds in its world.
struct EntryScene {
  uint32_t agents = 11;
  uint32_t slots = 8;  // of each agent, free unless `agents_full`
  bool agents_full = false;
  uint32_t entries = 1;  // itself included
  uint32_t shards = kDefaultShardCount;
  uint32_t rows = 1;
  uint32_t team_rate = 0;      // of every row
  uint32_t edits = 0;          // further edits of row 0 in the log
  bool former_owner = false;   // another entry owns every shard
  uint32_t holdings_each = 0;  // held by every agent, told with its fence
  uint32_t tasks_a_holding = 1;
};

class EntryDriver {
 public:
  explicit EntryDriver(const EntryScene& scene);

  // Reads and folds the log, and becomes a member.
  void ReadLogToHead();
  // Links every other entry and every agent, and lets a second pass.
  void LinkAll();
  void Start();

  // Ticks and pings alone.
  void RunIdle(absl::Duration time);

  // One caller's job; agents finish its tasks at once unless they are full.
  void SubmitJob(const std::string& team,
                 uint32_t tasks,
                 const std::string& payload);
  // An operator's edit of row 0, read back from the log.
  void EditRow();
  // The agent's process is replaced by another at the same address.
  void RestartAgent(uint32_t agent);
  void LoseAgent(uint32_t agent);
  void LinkAgent(uint32_t agent);
  // The log says that the former owner has left: the takeover begins.
  void EndFormerOwner();

  // A measurement means nothing when the node did not do what was measured.
  void Expect(bool holds, const char* what) const;

  void Handle(EntryEvent event);

  // Forgets what was measured so far.
  void ResetMeters();
  const CpuMeter& cpu() const { return m_cpu; }
  const Traffic& sent() const { return m_sent; }
  const Traffic& received() const { return m_received; }
  uint64_t answers() const { return m_answers; }
  uint64_t refusals() const { return m_refusals; }
  uint64_t log_appends() const { return m_appends; }
  EntryStatus status() const { return m_node->Status(m_now); }
  const ControlState& control() const { return m_node->control(); }
  size_t log_size() const { return m_log.size(); }

 private:
  struct PlayedAgent {
    uint32_t number = 0;
    std::string name;
    uint64_t incarnation = 1;
    uint64_t permission = 0;
    bool linked = false;
  };

  void WriteLog();
  void Append(RecordBody body);
  std::vector<HeardPeer> EveryoneHeard() const;
  PeerStatus PeerStatusNow() const;
  Hello HelloOf(const PlayedAgent& agent) const;
  void Deliver(const std::string& peer, uint64_t incarnation, Message message);
  void PingFromPeers();
  void AnswerRead(const ReadLog& read);
  void Drain();

  void Perform(const Send& send);
  void Perform(const ReadLog& read);
  void Perform(const AppendLog& append);
  void Perform(const AnswerCaller& answer);
  template <typename Other>
  void Perform(const Other&) {}

  void Play(const std::string& peer, const PeerPing& ping);
  void Play(const std::string& peer, const FenceShards& fence);
  void Play(const std::string& peer, const StartTasks& start);
  template <typename Other>
  void Play(const std::string&, const Other&) {}

  AgentStatus StatusOf(PlayedAgent& agent) const;

  const EntryScene m_scene;
  std::unique_ptr<EntryNode> m_node;
  Now m_now;
  std::vector<LogEntry> m_log;
  std::optional<ReadLog> m_held_read;
  std::map<std::string, PlayedAgent> m_agents;
  std::vector<std::string> m_agent_names;
  std::vector<std::string> m_entry_names;  // of the others
  MonoTime m_next_pings;
  bool m_peers_linked = false;
  std::deque<EntryEvent> m_events;
  uint64_t m_next_token = 1;
  uint64_t m_next_ping = 1;
  uint64_t m_answers = 0;
  uint64_t m_refusals = 0;
  uint64_t m_appends = 0;
  CpuMeter m_cpu;
  Traffic m_sent;
  Traffic m_received;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_CAPACITY_ENTRY_DRIVER_H_
