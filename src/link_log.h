// Log lines about links, shared by entries and agents.
#ifndef EGRETSWITCH_SRC_LINK_LOG_H_
#define EGRETSWITCH_SRC_LINK_LOG_H_

#include <string>

#include "absl/status/status.h"

namespace egretswitch::internal {

// Logs that a link ended; `peer` is empty if an unauthenticated peer was
// refused.
void LogLinkEnded(const std::string& peer, const absl::Status& reason);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_LOG_H_
