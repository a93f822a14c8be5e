// The platform's log service as a process sees it: appends and waiting reads
// with offsets, and the ways in which it fails.
//
//   log.Append(record, reply);       // reply(LogAppendDone) 4 ms later
//   log.SetMode(LogMode::kDown);     // calls fail at once
//
// The network between a process and the log belongs to FakeWorld.
#ifndef EGRETSWITCH_TEST_FAKE_LOG_H_
#define EGRETSWITCH_TEST_FAKE_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "node_events.h"
#include "virtual_time.h"

namespace egretswitch::internal {

enum class LogMode : uint8_t {
  kWorking = 0,
  kDown,         // refuses every call
  kSlow,         // takes effect and answers up to kSlowestLog later
  kLosesReplies  // takes effect, answers nothing
};

inline constexpr VirtualUs kAppendLatency = Ms(4);
inline constexpr VirtualUs kSlowestLog = Ms(5000);
inline constexpr size_t kReadBatch = 64;

using LogReply =
    std::variant<LogReadDone, LogReadFailed, LogAppendDone, LogAppendFailed>;
using LogReplyTo = std::function<void(LogReply)>;

class FakeLog {
 public:
  FakeLog(VirtualTime& time, uint32_t shard_count)
      : m_time(time), m_shard_count(shard_count) {}

  void SetMode(LogMode mode);
  LogMode mode() const { return m_mode; }

  // A call that arrives at the service now. `reply` is called when its answer
  // leaves the service, or never.
  void Append(const LogRecord& record, LogReplyTo reply);
  void Read(const ReadLog& read, LogReplyTo reply);

  // Told of every record that is added.
  void SetObserver(std::function<void(const LogEntry&)> observer) {
    m_observer = std::move(observer);
  }

  // Adds a record at once, whatever the mode; returns its offset.
  uint64_t Put(LogRecord record);

  // Writes the snapshot that any process would write now, and drops every
  // record before it.
  void TruncateToSnapshot();

  const std::vector<LogEntry>& entries() const { return m_entries; }

 private:
  struct Waiting {
    ReadLog read;
    LogReplyTo reply;
  };

  uint64_t head() const { return m_first_kept + m_entries.size(); }
  VirtualUs SlowLatency();
  LogReadDone ResultOf(const ReadLog& read) const;
  void AnswerRead(const LogReplyTo& reply, const ReadLog& read);
  void WakeReaders();

  VirtualTime& m_time;
  uint32_t m_shard_count;
  LogMode m_mode = LogMode::kWorking;
  uint64_t m_first_kept = 0;
  std::vector<LogEntry> m_entries;
  std::map<uint64_t, Waiting> m_waiting;
  uint64_t m_next_waiting = 0;
  std::function<void(const LogEntry&)> m_observer;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAKE_LOG_H_
