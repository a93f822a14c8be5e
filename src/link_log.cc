#include "link_log.h"

#include "logging.h"

namespace egretswitch::internal {

void LogLinkEnded(const std::string& peer, const absl::Status& reason) {
  NoteStateChange note;
  note.what = "link ended";
  note.fields.push_back({"peer", peer.empty() ? "unknown" : peer});
  note.fields.push_back({"reason", std::string(reason.message())});
  LogStateChange(note);
}

}  // namespace egretswitch::internal
