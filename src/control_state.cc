#include "control_state.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

constexpr size_t kMaxKindBytes = 64;
constexpr uint32_t kMaxWeight = 1000;
constexpr uint32_t kMaxPercent = 100;

// Former incarnations kept of each name, and of all names together: a join that
// comes late is one of the last few.
constexpr ptrdiff_t kFormerPerName = 4;
constexpr size_t kFormerInAll = 500;

bool IsKindCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
         c == '.' || c == '-';
}

absl::Status RangeError(const char* column,
                        uint32_t found,
                        const char* allowed) {
  return absl::InvalidArgumentError(absl::StrCat("column ", column, ": found ",
                                                 found, ", allowed ", allowed));
}

// Moves `shard` to `owner` under the next epoch; the former one stays on
// record until a ShardsServed.
void PassOn(ShardState& shard, const EntryId& owner) {
  ++shard.epoch;
  auto& former = shard.former_owners;
  const bool listed =
      std::find(former.begin(), former.end(), shard.owner) != former.end();
  if (!shard.owner.name.empty() && !listed) {
    former.push_back(shard.owner);
  }
  shard.owner = owner;
}

}  // namespace

ControlState::ControlState(uint32_t shard_count) : m_shards(shard_count) {}

uint32_t ControlState::shard_count() const {
  return static_cast<uint32_t>(m_shards.size());
}

const ShardState& ControlState::shard(ShardId shard) const {
  return m_shards.at(shard);
}

const std::map<std::string, EntryState>& ControlState::entries() const {
  return m_entries;
}

const std::map<std::string, SlotRegistered>& ControlState::slots() const {
  return m_slots;
}

const std::map<std::string, RowState>& ControlState::rows() const {
  return m_rows;
}

const TableRow* ControlState::FindRow(std::string_view kind) const {
  const auto it = m_rows.find(std::string(kind));
  if (it == m_rows.end() || it->second.deleted) {
    return nullptr;
  }
  return &it->second.row;
}

FoldVerdict ControlState::Apply(const LogEntry& entry) {
  if (entry.offset < m_next_offset) {
    return FoldVerdict::kSkipped;
  }
  const auto* snapshot = std::get_if<Snapshot>(&entry.record.body);
  if (entry.offset > m_next_offset && snapshot == nullptr) {
    return FoldVerdict::kGap;
  }
  const uint64_t offset = entry.offset;
  const FoldVerdict verdict = std::visit(
      [this, offset](const auto& body) { return ApplyBody(body, offset); },
      entry.record.body);
  // A snapshot taken across a gap may itself be older than its own offset: the
  // reader goes on from next_offset().
  if (entry.offset > m_next_offset) {
    return verdict;
  }
  m_next_offset = entry.offset + 1;
  return verdict;
}

bool ControlState::IsMember(const EntryId& id) const {
  const auto it = m_entries.find(id.name);
  return it != m_entries.end() &&
         it->second.joined.incarnation == id.incarnation;
}

// A second copy of its join, late in the log, must not displace the next
// incarnation or bring back one that has left.
void ControlState::RememberFormer(const EntryId& id) {
  const auto same_name = [&id](const EntryId& other) {
    return other.name == id.name;
  };
  auto& former = m_former_entries;
  const auto oldest = std::find_if(former.begin(), former.end(), same_name);
  if (std::count_if(former.begin(), former.end(), same_name) >=
      kFormerPerName) {
    former.erase(oldest);
  } else if (former.size() >= kFormerInAll) {
    former.erase(former.begin());
  }
  former.push_back(id);
}

FoldVerdict ControlState::ApplyBody(const EntryJoined& body, uint64_t offset) {
  if (body.name.empty() || body.address.empty()) {
    return FoldVerdict::kInvalid;
  }
  const EntryId id{body.name, body.incarnation};
  if (std::find(m_former_entries.begin(), m_former_entries.end(), id) !=
      m_former_entries.end()) {
    return FoldVerdict::kSuperseded;
  }
  const auto current = m_entries.find(body.name);
  if (current != m_entries.end() && !IsMember(id)) {
    RememberFormer({body.name, current->second.joined.incarnation});
  }
  m_entries[body.name] = EntryState{body, offset};
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlState::ApplyBody(const EntryLeft& body, uint64_t) {
  if (!IsMember({body.name, body.incarnation})) {
    return FoldVerdict::kSuperseded;
  }
  m_entries.erase(body.name);
  RememberFormer({body.name, body.incarnation});
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlState::ApplyBody(const SlotRegistered& body, uint64_t) {
  if (body.name.empty() || body.address.empty()) {
    return FoldVerdict::kInvalid;
  }
  m_slots[body.name] = body;
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlState::ApplyBody(const SlotRemoved& body, uint64_t) {
  return m_slots.erase(body.name) > 0 ? FoldVerdict::kAccepted
                                      : FoldVerdict::kSuperseded;
}

FoldVerdict ControlState::ApplyBody(const ShardsClaimed& body, uint64_t) {
  // An owner that has left, or was replaced, can't be given anything.
  if (!IsMember(body.owner)) {
    return FoldVerdict::kSuperseded;
  }
  bool any = false;
  for (const ShardClaim& claim : body.claims) {
    if (claim.shard >= m_shards.size()) {
      continue;
    }
    ShardState& shard = m_shards[claim.shard];
    if (shard.epoch != claim.expected_epoch) {
      continue;
    }
    PassOn(shard, body.owner);
    any = true;
  }
  return any ? FoldVerdict::kAccepted : FoldVerdict::kSuperseded;
}

FoldVerdict ControlState::ApplyBody(const ShardsServed& body, uint64_t) {
  bool any = false;
  for (const ServedShard& served : body.shards) {
    if (served.shard < m_shards.size() &&
        m_shards[served.shard].epoch == served.epoch) {
      m_shards[served.shard].former_owners.clear();
      any = true;
    }
  }
  return any ? FoldVerdict::kAccepted : FoldVerdict::kSuperseded;
}

FoldVerdict ControlState::ApplyBody(const RowEdited& body, uint64_t) {
  if (!ValidateRow(body.row).ok()) {
    return FoldVerdict::kInvalid;
  }
  const auto it = m_rows.find(body.row.kind);
  const uint64_t current = it == m_rows.end() ? 0 : it->second.version;
  if (current != body.expected_version) {
    return FoldVerdict::kSuperseded;
  }
  m_rows[body.row.kind] = RowState{body.row, current + 1, body.deleted};
  ++m_table_version;
  return FoldVerdict::kAccepted;
}

// A snapshot written for an earlier offset than this state's changes nothing:
// this state already contains it.
FoldVerdict ControlState::ApplyBody(const Snapshot& body, uint64_t offset) {
  if (body.next_offset > offset || body.shards.size() != m_shards.size()) {
    return FoldVerdict::kInvalid;
  }
  if (body.next_offset <= m_next_offset) {
    return FoldVerdict::kAccepted;
  }
  m_next_offset = body.next_offset;
  m_table_version = body.table_version;
  m_shards = body.shards;
  m_entries.clear();
  for (const EntryState& entry : body.entries) {
    m_entries[entry.joined.name] = entry;
  }
  m_former_entries = body.former_entries;
  m_slots.clear();
  for (const SlotRegistered& slot : body.slots) {
    m_slots[slot.name] = slot;
  }
  m_rows.clear();
  for (const RowState& row : body.rows) {
    m_rows[row.row.kind] = row;
  }
  return FoldVerdict::kAccepted;
}

FoldVerdict ControlState::ApplyBody(const Unreadable&, uint64_t) {
  return FoldVerdict::kInvalid;
}

// Only liveness follows from it (peer_table.h).
FoldVerdict ControlState::ApplyBody(const EntryAlive& body, uint64_t) {
  return IsMember(body.entry) ? FoldVerdict::kAccepted
                              : FoldVerdict::kSuperseded;
}

Snapshot ControlState::MakeSnapshot() const {
  Snapshot snapshot;
  snapshot.next_offset = m_next_offset;
  snapshot.table_version = m_table_version;
  snapshot.shards = m_shards;
  for (const auto& [name, entry] : m_entries) {
    snapshot.entries.push_back(entry);
  }
  snapshot.former_entries = m_former_entries;
  for (const auto& [name, slot] : m_slots) {
    snapshot.slots.push_back(slot);
  }
  for (const auto& [kind, row] : m_rows) {
    snapshot.rows.push_back(row);
  }
  return snapshot;
}

absl::Status ValidateRow(const TableRow& row) {
  if (row.kind.empty() || row.kind.size() > kMaxKindBytes ||
      !std::all_of(row.kind.begin(), row.kind.end(), IsKindCharacter)) {
    return absl::InvalidArgumentError(
        absl::StrCat("column kind: found \"", row.kind.substr(0, kMaxKindBytes),
                     "\", allowed 1 to 64 characters of a-z 0-9 _ . -"));
  }
  if (row.weight < 1 || row.weight > kMaxWeight) {
    return RangeError("weight", row.weight, "1 to 1000");
  }
  if (row.retry_percent > kMaxPercent) {
    return RangeError("retry_percent", row.retry_percent, "0 to 100");
  }
  if (row.prefer_response > kMaxPercent) {
    return RangeError("prefer_response", row.prefer_response, "0 to 100");
  }
  return absl::OkStatus();
}

}  // namespace egretswitch::internal
