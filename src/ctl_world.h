// What a command of egretswitchctl touches outside itself: HTTP, the log
// service, the clock and its two output streams. Tests put fakes here.
//
//   CtlWorld world{send, read_log, now_ms, pause, "ana", std::cout, std::cerr};
//   const std::string_view args[] = {"status", "--entry", "127.0.0.1:7201"};
//   int exit_code = RunCtl(args, world);
#ifndef EGRETSWITCH_SRC_CTL_WORLD_H_
#define EGRETSWITCH_SRC_CTL_WORLD_H_

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "log_client.h"

namespace egretswitch::internal {

// Exit codes of the program, documented in its --help.
enum CtlExit : int {
  kCtlOk = 0,
  kCtlRefused = 1,      // refused or failed, with a verdict
  kCtlUserError = 2,    // wrong arguments, files or settings
  kCtlUnreachable = 3,  // no whole answer from any entry
};

struct CtlRequest {
  std::string method;  // "GET" or "POST"
  std::string url;
  std::string body;
  std::string token;  // empty: no Authorization header
  absl::Duration timeout = absl::ZeroDuration();
};

struct CtlResponse {
  int status = 0;
  std::string body;
};

// Unavailable: nothing was sent, so the call has certainly had no effect.
// Aborted: it was sent and no whole answer came, so it may have had one.
using SendHttp =
    std::function<absl::StatusOr<CtlResponse>(const CtlRequest& request)>;

// The records of a stream from an offset on, as LogClient reads them. The
// address is "ip:port".
using ReadLogPage =
    std::function<absl::StatusOr<LogPage>(std::string_view address,
                                          std::string_view stream,
                                          uint64_t from)>;

struct CtlWorld {
  SendHttp send;
  ReadLogPage read_log;
  std::function<int64_t()> now_ms;  // wall clock
  std::function<void(absl::Duration)> pause;
  std::string editor;  // who edits the table, for its history
  std::ostream& out;
  std::ostream& err;
};

// Prints the status to `world.err` and returns its exit code: InvalidArgument
// is a user error, Unavailable and Aborted are unreachable, others refused.
int ReportFailure(const absl::Status& status, CtlWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_WORLD_H_
