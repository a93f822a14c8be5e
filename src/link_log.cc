#include "link_log.h"

#include "logging.h"

namespace egretswitch::internal {

void LogLinkEnded(const std::string& peer, const absl::Status& reason) {
  NoteStateChange event;
  event.what = "link ended";
  event.fields.push_back({"peer", peer.empty() ? "unknown" : peer});
  event.fields.push_back({"reason", std::string(reason.message())});
  LogStateChange(event);
}

}  // namespace egretswitch::internal
