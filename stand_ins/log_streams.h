// The records of the log stand-in: streams of texts with offsets, kept for a
// bounded number of records, time and bytes.
//
//   streams.Append("control", "a", now)   -> 0
//   streams.Read("control", 0, 10)        -> {first_kept 0, head 1, {{0, "a"}}}
#ifndef EGRETSWITCH_STAND_INS_LOG_STREAMS_H_
#define EGRETSWITCH_STAND_INS_LOG_STREAMS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretswitch::stand_ins {

struct Retention {
  size_t records = 10'000;  // for each stream
  std::chrono::seconds age{3600};
  size_t bytes = 32u << 20;  // for each stream
  size_t streams = 64;
};

struct StoredRecord {
  uint64_t offset = 0;
  std::string data;
};

struct StreamPage {
  uint64_t first_kept = 0;  // oldest offset that can still be read
  uint64_t head = 0;        // offset of the next record
  std::vector<StoredRecord> records;
};

// Not thread-safe: LogService holds its lock around every call.
class LogStreams {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit LogStreams(Retention retention) : m_retention(retention) {}

  // Offset of the new record, or nothing when there are too many streams.
  std::optional<uint64_t> Append(const std::string& stream,
                                 std::string data,
                                 TimePoint now);

  // At most `max` records from `from` on; none of a stream never written to.
  StreamPage Read(const std::string& stream, uint64_t from, size_t max) const;

 private:
  struct Record {
    std::string data;
    TimePoint appended;
  };
  struct Stream {
    uint64_t first_kept = 0;
    size_t bytes = 0;
    std::deque<Record> records;
  };

  void DropOld(Stream& stream, TimePoint now) const;

  const Retention m_retention;
  std::map<std::string, Stream> m_streams;
};

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_LOG_STREAMS_H_
