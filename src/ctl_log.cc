#include "ctl_log.h"

#include <optional>
#include <utility>

#include "event_loop.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kReadTimeout = absl::Seconds(10);

}  // namespace

absl::StatusOr<LogPage> ReadLogOnce(std::string_view address,
                                    std::string_view stream,
                                    uint64_t from) {
  EventLoop loop;
  LogClient log(loop, {.address = std::string(address),
                       .stream = std::string(stream),
                       .call_timeout = kReadTimeout});
  std::optional<absl::StatusOr<LogPage>> result;
  log.Read(from, absl::ZeroDuration(),
           [&](absl::StatusOr<LogPage> page) { result = std::move(page); });
  // The client's own timeout comes first.
  loop.RunUntil([&] { return result.has_value(); }, 2 * kReadTimeout);
  return result.has_value() ? *std::move(result)
                            : absl::UnavailableError("log service: no answer");
}

}  // namespace egretswitch::internal
