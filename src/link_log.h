// Log lines about links, the same for every kind of process.
#ifndef EGRETSWITCH_SRC_LINK_LOG_H_
#define EGRETSWITCH_SRC_LINK_LOG_H_

#include <string>

#include "absl/status/status.h"

namespace egretswitch::internal {

// Logs the end of a link to a named peer, or of a stranger that was turned
// away.
void LogLinkEnded(const std::string& peer, const absl::Status& reason);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_LOG_H_
