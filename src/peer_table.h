// What this entry knows of the other entries: which are linked, when each was
// last heard, what each said of the log, and which are proved to have ended.
//
//   ping 7 at 12.0 s -> pong 7{lacks_log, fold_offset 40}
//   peers.EvidenceOf(entry-b)   // {asked_at 12.0 s, lacks_log, 40}
//
// Everything is kept for one incarnation of an entry; docs/DESIGN.md, rule 8,
// says what proves that one has ended. Silence never does.
#ifndef EGRETSWITCH_SRC_PEER_TABLE_H_
#define EGRETSWITCH_SRC_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "log_follower.h"
#include "log_records.h"
#include "messages.h"
#include "node_context.h"
#include "node_events.h"

namespace egretswitch::internal {

// What a pong to a ping of this entry said, dated by the ping.
struct PongEvidence {
  MonoTime asked_at = absl::ZeroDuration();
  bool lacks_log = false;
  uint64_t fold_offset = 0;
  uint64_t own_fold_offset = 0;  // of this entry when the pong came
};

class PeerObserver {
 public:
  virtual ~PeerObserver() = default;

  // A proof that this incarnation has ended has just come.
  virtual void OnEntryEnded(const EntryId& id) = 0;
};

class PeerTable : public LogObserver {
 public:
  PeerTable(const EntryId& self, LogFollower* log, NodeContext* context);
  PeerTable(const PeerTable&) = delete;
  PeerTable& operator=(const PeerTable&) = delete;

  void AddObserver(PeerObserver* observer);

  void OnLinkUp(const Hello& hello);
  void OnLinkDown(std::string_view name, uint64_t incarnation);
  void OnRefused(const PeerRefusedConnection& refused);
  void OnPing(const EntryId& from, const PeerPing& ping);
  void OnPong(const EntryId& from, const PeerPong& pong);
  void OnTick();

  // The peer of that name is linked with this very incarnation.
  bool IsLinked(const EntryId& id) const;

  // Heard lately by this entry, by a peer of it, or in the log; not ended.
  // An entry seen in the log for the first time counts as heard then, and every
  // member for kSuspectAfter after the log came back: it has to show life
  // first.
  bool IsAlive(const EntryId& id) const;

  // Another member, not proved ended, was not heard by this entry itself for
  // half of kSuspectAfter, and may read a sign of life of this one: the silence
  // or the log's return is young, or it shows life in the log itself.
  bool ShouldShowLife() const;

  // For how long this entry itself has heard nothing of it.
  absl::Duration SilentFor(const EntryId& id) const;

  // Since when IsAlive() has held without a break.
  MonoTime AliveSince(const EntryId& id) const;

  bool IsDraining(const EntryId& id) const;

  // It has said for longer than its lease lasts that it lacks the log, while
  // this entry has it: it can't be an owner any more.
  bool IsLongWithoutLog(const EntryId& id) const;

  // Its last status said that it lacks the log.
  bool SaysLacking(const EntryId& id) const;

  // Log offset that this incarnation last said it had folded up to.
  uint64_t FoldOffsetOf(const EntryId& id) const;

  // Since when it is known to have folded this entry's EntryJoined.
  std::optional<MonoTime> AcknowledgedSelfSince(const EntryId& id) const;

  std::optional<PongEvidence> EvidenceOf(const EntryId& id) const;

  // When the proof of its end came, if there is one.
  std::optional<MonoTime> EndKnownSince(const EntryId& id) const;

  // Counts the proofs of ends that came.
  uint64_t ended_count() const { return m_ended_count; }

  void SetDraining() { m_draining = true; }

  // LogObserver.
  void OnFolded(const LogEntry& entry, FoldVerdict verdict) override;
  void OnHeadReached(MonoTime asked_at) override;

 private:
  // An offset of this entry's fold that the peer had not reached at `since`.
  struct Lag {
    uint64_t offset = 0;
    MonoTime since = absl::ZeroDuration();
  };
  // What is known of one incarnation.
  struct Record {
    MonoTime known_since = absl::ZeroDuration();
    MonoTime alive_since = absl::ZeroDuration();
    MonoTime alive_until = absl::ZeroDuration();  // by any source
    MonoTime heard = -absl::InfiniteDuration();   // by this entry itself
    MonoTime logged = -absl::InfiniteDuration();  // record of it last folded
    std::optional<MonoTime> ended_at;
    std::optional<MonoTime> acknowledged_self;
    std::optional<MonoTime> lacking_since;
    std::optional<PongEvidence> evidence;
    std::optional<Lag> lag;
    uint64_t fold_offset = 0;
    bool draining = false;
  };
  struct Link {
    uint64_t incarnation = 0;
    MonoTime up_since = absl::ZeroDuration();
    MonoTime next_ping = absl::ZeroDuration();
    std::map<uint64_t, MonoTime> asked;  // ping sequence -> when sent
  };

  Record& Know(const EntryId& id);
  const Record* Find(const EntryId& id) const;
  void Hear(const EntryId& id, MonoTime at, absl::Duration for_time);
  void HearInLog(const LogEntry& entry);
  void MarkEnded(const EntryId& id);
  void EndOthers(const EntryId& living, MonoTime known_before);
  void EndGone();
  bool IsOwnerOrFormer(const EntryId& id) const;
  void ForgetEnded();
  void TakeStatus(const EntryId& from, const PeerStatus& status);
  bool NeedsRelay(Record& record, const PeerStatus& status) const;
  void Relay(const EntryId& to, uint64_t from_offset);
  void SendPing(const std::string& name, Link& link);
  PeerStatus OwnStatus() const;
  void UpdateDialTargets();
  bool IsMember(const EntryId& id) const;

  const EntryId m_self;
  LogFollower& m_log;
  NodeContext& m_context;
  std::vector<PeerObserver*> m_observers;
  std::map<EntryId, Record> m_records;
  std::map<std::string, Link, std::less<>> m_links;
  std::vector<PeerAddress> m_targets;
  uint64_t m_next_sequence = 1;
  uint64_t m_ended_count = 0;
  MonoTime m_next_forget = -absl::InfiniteDuration();
  bool m_draining = false;
  bool m_members_changed = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PEER_TABLE_H_
