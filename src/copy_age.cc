#include "copy_age.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Versions that are published while an agent fetches one. Only the lowest one
// has an effect on the age.
constexpr size_t kMaxNewerVersions = 16;

}  // namespace

void CopyAge::RecordOwnVersion(uint64_t version) {
  if (version <= m_own_version) {
    return;
  }
  m_own_version = version;
  m_newer.erase(m_newer.begin(), m_newer.upper_bound(version));
  m_last_vouched_at = -absl::InfiniteDuration();
}

void CopyAge::RecordEntryVersion(const std::string& entry,
                                 uint64_t version,
                                 MonoTime now) {
  m_entries[entry] = version;
  if (version == m_own_version) {
    m_last_vouched_at = now;
  } else if (version > m_own_version && m_newer.size() < kMaxNewerVersions) {
    m_newer.emplace(version, now);
  }
}

void CopyAge::RemoveEntry(const std::string& entry, MonoTime now) {
  if (IsVouchedFor()) {
    m_last_vouched_at = now;
  }
  m_entries.erase(entry);
}

bool CopyAge::IsVouchedFor() const {
  return std::any_of(
      m_entries.begin(), m_entries.end(),
      [this](const auto& entry) { return entry.second == m_own_version; });
}

absl::Duration CopyAge::At(MonoTime now) const {
  if (!m_newer.empty()) {
    return now - m_newer.begin()->second;
  }
  return IsVouchedFor() ? absl::ZeroDuration() : now - m_last_vouched_at;
}

}  // namespace egretswitch::internal
