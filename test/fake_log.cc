#include "fake_log.h"

#include <algorithm>
#include <string>
#include <utility>

#include "control_state.h"

namespace egretswitch::internal {

// Going down fails every waiting read: the service closes its connections.
void FakeLog::SetMode(LogMode mode) {
  m_mode = mode;
  if (mode != LogMode::kDown) {
    return;
  }
  for (auto& [id, waiting] : std::exchange(m_waiting, {})) {
    waiting.reply(LogReadFailed{waiting.read.asked_at});
  }
}

uint64_t FakeLog::Put(LogRecord record) {
  const uint64_t offset = head();
  m_entries.push_back({offset, std::move(record)});
  if (m_observer) {
    m_observer(m_entries.back());
  }
  WakeReaders();
  return offset;
}

VirtualUs FakeLog::SlowLatency() {
  return m_time.Random(Ms(300), kSlowestLog);
}

// The synced write takes effect half way through the latency, so a log that
// goes down in the second half has lost the reply after the effect.
void FakeLog::Append(const LogRecord& record, LogReplyTo reply) {
  if (m_mode == LogMode::kDown) {
    reply(LogAppendFailed{record.append_id, false});
    return;
  }
  const VirtualUs latency =
      m_mode == LogMode::kSlow ? SlowLatency() : kAppendLatency;
  m_time.After(latency / 2, [this, record, reply, latency] {
    if (m_mode == LogMode::kDown) {
      reply(LogAppendFailed{record.append_id, true});
      return;
    }
    const uint64_t offset = Put(record);
    m_time.After(latency - latency / 2, [this, record, reply, offset] {
      if (m_mode == LogMode::kDown) {
        reply(LogAppendFailed{record.append_id, true});
      } else if (m_mode != LogMode::kLosesReplies) {
        reply(LogAppendDone{record.append_id, offset});
      }
    });
  });
}

LogReadDone FakeLog::ResultOf(const ReadLog& read) const {
  LogReadDone done;
  done.asked_at = read.asked_at;
  done.first_kept = m_first_kept;
  done.head = head();
  for (uint64_t at = std::max(read.from, m_first_kept);
       at < head() && done.entries.size() < kReadBatch; ++at) {
    done.entries.push_back(m_entries[at - m_first_kept]);
  }
  return done;
}

void FakeLog::AnswerRead(const LogReplyTo& reply, const ReadLog& read) {
  if (m_mode == LogMode::kDown) {
    reply(LogReadFailed{read.asked_at});
  } else {
    reply(ResultOf(read));
  }
}

void FakeLog::Read(const ReadLog& read, LogReplyTo reply) {
  if (m_mode == LogMode::kSlow) {
    m_time.After(SlowLatency(),
                 [this, read, reply] { AnswerRead(reply, read); });
    return;
  }
  if (m_mode == LogMode::kDown || head() > read.from) {
    AnswerRead(reply, read);
    return;
  }
  const uint64_t id = m_next_waiting++;
  m_waiting.emplace(id, Waiting{read, std::move(reply)});
  m_time.After(absl::ToInt64Microseconds(read.wait), [this, id] {
    if (auto node = m_waiting.extract(id)) {
      AnswerRead(node.mapped().reply, node.mapped().read);
    }
  });
}

void FakeLog::WakeReaders() {
  for (auto& [id, waiting] : std::exchange(m_waiting, {})) {
    AnswerRead(waiting.reply, waiting.read);
  }
}

void FakeLog::TruncateToSnapshot() {
  ControlState state(m_shard_count);
  for (const LogEntry& entry : m_entries) {
    state.Apply(entry);
  }
  Put({"truncation-" + std::to_string(head()), state.MakeSnapshot()});
  m_entries.erase(m_entries.begin(), m_entries.end() - 1);
  m_first_kept = m_entries.front().offset;
}

}  // namespace egretswitch::internal
