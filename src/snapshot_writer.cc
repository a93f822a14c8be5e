#include "snapshot_writer.h"

namespace egretswitch::internal {
namespace {

constexpr uint64_t kRecordsBetweenSnapshots = 500;
constexpr absl::Duration kSnapshotPeriod = absl::Minutes(10);

}  // namespace

SnapshotWriter::SnapshotWriter(LogFollower* log,
                               const ShardTakeover* takeover,
                               NodeContext* context)
    : m_log(*log), m_takeover(*takeover), m_context(*context) {}

void SnapshotWriter::OnTick() {
  const MonoTime now = m_context.now().mono;
  if (!m_log.complete()) {
    return;
  }
  if (!m_covered_at) {
    m_covered_at = now;
  }
  if (!m_takeover.Serves(0) || !m_append_id.empty() || !m_log.CanAppend()) {
    return;
  }
  const uint64_t next = m_log.control().next_offset();
  const uint64_t records = next > m_covered ? next - m_covered : 0;
  const bool old = now - *m_covered_at >= kSnapshotPeriod;
  if (records >= kRecordsBetweenSnapshots || (records > 0 && old)) {
    m_append_id = m_log.Append(m_log.control().MakeSnapshot());
  }
}

void SnapshotWriter::OnFolded(const LogEntry& entry, FoldVerdict verdict) {
  if (verdict == FoldVerdict::kAccepted &&
      std::holds_alternative<Snapshot>(entry.record.body)) {
    m_covered = entry.offset + 1;
    m_covered_at = m_context.now().mono;
  }
}

void SnapshotWriter::OnAppendSettled(std::string_view append_id, AppendResult) {
  if (append_id == m_append_id) {
    m_append_id.clear();
  }
}

}  // namespace egretswitch::internal
