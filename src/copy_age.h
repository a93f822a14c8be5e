// How long ago the configuration that an agent keeps was last known to be the
// newest one. Entries vouch for it by the version that they report.
//
//   CopyAge age;
//   age.RecordOwnVersion(7);
//   age.RecordEntryVersion("entry-1", 7, now);
//   age.At(now + absl::Seconds(9))              -> 0: entry-1 is linked
//   age.RemoveEntry("entry-1", now + absl::Seconds(9));
//   age.At(now + absl::Seconds(10))             -> 1 s
//
// An entry that has just started uses this to reject the copy of an agent that
// was cut off from the entries.
#ifndef EGRETSWITCH_SRC_COPY_AGE_H_
#define EGRETSWITCH_SRC_COPY_AGE_H_

#include <cstdint>
#include <map>
#include <string>

#include "clock.h"

namespace egretswitch::internal {

// An older copy is not used. Entries are back within seconds of a loss of
// power; operators who have none for this long may have published a
// configuration since, which no process has read.
inline constexpr absl::Duration kMaxCopyAge = absl::Seconds(30);

class CopyAge {
 public:
  void RecordOwnVersion(uint64_t version);
  // Of a linked entry; 0 if it has none.
  void RecordEntryVersion(const std::string& entry,
                          uint64_t version,
                          MonoTime now);
  void RemoveEntry(const std::string& entry, MonoTime now);

  // Infinite if no entry ever vouched for this version.
  absl::Duration At(MonoTime now) const;

 private:
  bool IsVouchedFor() const;

  uint64_t m_own_version = 0;
  std::map<std::string, uint64_t> m_entries;  // linked, and their versions
  // When each newer version was first reported; the lowest one counts.
  std::map<uint64_t, MonoTime> m_newer;
  MonoTime m_last_vouched_at = -absl::InfiniteDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_COPY_AGE_H_
