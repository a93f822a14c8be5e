// One synchronous read of the log service for egretswitchctl, through the same
// client that the daemon uses.
//
//   ReadLogOnce("127.0.0.1:9000", "control", 0) -> LogPage
#ifndef EGRETSWITCH_SRC_CTL_LOG_H_
#define EGRETSWITCH_SRC_CTL_LOG_H_

#include <cstdint>
#include <string_view>

#include "absl/status/statusor.h"
#include "log_client.h"

namespace egretswitch::internal {

absl::StatusOr<LogPage> ReadLogOnce(std::string_view address,
                                    std::string_view stream,
                                    uint64_t from);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_LOG_H_
