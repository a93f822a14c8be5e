// Client of the control stream in the platform's log service, over the HTTP
// protocol of docs/PLATFORM.md. To support another log service, replace this
// header and its source.
//
//   LogClient log(loop, {.address = "127.0.0.1:7900", .stream = "control"});
//   log.Read(0, absl::Seconds(1), [](absl::StatusOr<LogPage> page) { ... });
//   log.Append(record, [](AppendOutcome outcome) { ... });
#ifndef EGRETSWITCH_SRC_LOG_CLIENT_H_
#define EGRETSWITCH_SRC_LOG_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "event_loop.h"
#include "http_client.h"
#include "log_records.h"

namespace egretswitch::internal {

struct LogClientOptions {
  std::string address;  // "127.0.0.1:7900"
  std::string stream = "control";
  uint32_t max_records = 500;                      // per page
  absl::Duration call_timeout = absl::Seconds(2);  // added to a read's wait
};

// Records from the requested offset on. If `first_kept` is greater than that
// offset, retention has removed the records in between. `head` is the offset of
// the next record to be appended.
struct LogPage {
  uint64_t first_kept = 0;
  uint64_t head = 0;
  std::vector<LogEntry> entries;
};

struct RecordAppended {
  uint64_t offset = 0;
};

// If `may_have_taken_effect`, only reading the log shows whether the record was
// appended.
struct AppendFailed {
  bool may_have_taken_effect = true;
  std::string reason;
};

using AppendOutcome = std::variant<RecordAppended, AppendFailed>;

class LogClient {
 public:
  using ReadCallback = std::function<void(absl::StatusOr<LogPage>)>;
  using AppendCallback = std::function<void(AppendOutcome)>;

  LogClient(EventLoop& loop, LogClientOptions options);

  // Reads records from offset `from` on. If there are none, the log service
  // waits up to `wait` for one. A record that can't be decoded is delivered as
  // Unreadable.
  void Read(uint64_t from, absl::Duration wait, ReadCallback callback);

  void Append(const LogRecord& record, AppendCallback callback);

 private:
  const LogClientOptions m_options;
  const std::string m_records_url;
  HttpClient m_http;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOG_CLIENT_H_
