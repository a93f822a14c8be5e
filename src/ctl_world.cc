#include "ctl_world.h"

namespace egretswitch::internal {
namespace {

// Settings and tables report several faults, each with its own prefix.
constexpr char kUserErrorPrefix[] = "user error: ";

std::string UserErrorText(const absl::Status& status) {
  const std::string text(status.message());
  return text.starts_with(kUserErrorPrefix) ? text : kUserErrorPrefix + text;
}

}  // namespace

int ReportFailure(const absl::Status& status, CtlWorld& world) {
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
      world.err << UserErrorText(status) << "\n";
      return kCtlUserError;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kAborted:
      world.err << "cannot reach: " << status.message() << "\n";
      return kCtlUnreachable;
    default:
      world.err << "refused: " << status.message() << "\n";
      return kCtlRefused;
  }
}

}  // namespace egretswitch::internal
