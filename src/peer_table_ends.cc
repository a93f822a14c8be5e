// Which incarnations of entries have certainly ended, by what proof, and for
// how long this is remembered.
//
//   a pong of entry-1/8        -> entry-1/7 has ended
//   the fold has no entry-1/7  -> it has ended
#include <algorithm>
#include <string>
#include <vector>

#include "peer_table.h"

namespace egretswitch::internal {
namespace {

// What is known of an ended incarnation is kept for this long after nothing in
// the fold names it; jobs live for two minutes at most.
constexpr absl::Duration kEndedMemory = absl::Minutes(10);

}  // namespace

void PeerTable::MarkEnded(const EntryId& id) {
  Record& record = Know(id);
  if (record.ended_at || id == m_self) {
    return;
  }
  record.ended_at = m_context.now().mono;
  ++m_ended_count;
  if (m_log.complete()) {
    m_context.Do(NoteStateChange{
        "entry ended",
        {{"entry", id.name}, {"incarnation", std::to_string(id.incarnation)}}});
  }
  for (PeerObserver* observer : m_observers) {
    observer->OnEntryEnded(id);
  }
}

// `living` answered a ping sent at `known_before`: every other incarnation of
// its name that was known by then has ended. The link alone doesn't prove it:
// what a process sent before its end may be read after the next one has joined.
void PeerTable::EndOthers(const EntryId& living, MonoTime known_before) {
  const Record* record = Find(living);
  if (record != nullptr && record->ended_at) {
    return;
  }
  std::vector<EntryId> gone;
  for (const auto& [id, other] : m_records) {
    if (id.name == living.name && id != living &&
        other.known_since <= known_before) {
      gone.push_back(id);
    }
  }
  for (const EntryId& id : gone) {
    MarkEnded(id);
  }
}

// Marks what the fold says has left or was replaced.
void PeerTable::EndGone() {
  const ControlState& control = m_log.control();
  const auto end_if_gone = [this](const EntryId& id) {
    if (!id.name.empty() && id != m_self && !IsMember(id)) {
      MarkEnded(id);
    }
  };
  for (ShardId shard = 0; shard < control.shard_count(); ++shard) {
    end_if_gone(control.shard(shard).owner);
    for (const EntryId& former : control.shard(shard).former_owners) {
      end_if_gone(former);
    }
  }
}

bool PeerTable::IsOwnerOrFormer(const EntryId& id) const {
  const ControlState& control = m_log.control();
  for (ShardId shard = 0; shard < control.shard_count(); ++shard) {
    const ShardState& state = control.shard(shard);
    const auto& former = state.former_owners;
    if (state.owner == id ||
        std::find(former.begin(), former.end(), id) != former.end()) {
      return true;
    }
  }
  return false;
}

// A deployment whose entries restart for months must not grow by it.
void PeerTable::ForgetEnded() {
  const MonoTime now = m_context.now().mono;
  std::erase_if(m_records, [this, now](const auto& item) {
    const auto& [id, record] = item;
    return record.ended_at && now - *record.ended_at > kEndedMemory &&
           !IsMember(id) && !IsLinked(id) && !IsOwnerOrFormer(id);
  });
}

}  // namespace egretswitch::internal
