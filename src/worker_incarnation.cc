#include "worker_incarnation.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

constexpr char kSeparator = '@';

}  // namespace

std::string IncarnationName(std::string_view worker_id, int64_t start_time_ms) {
  if (start_time_ms <= 0) {
    return std::string(worker_id);
  }
  return absl::StrCat(std::string(worker_id), std::string(1, kSeparator),
                      start_time_ms);
}

std::string_view WorkerIdOf(std::string_view incarnation) {
  return incarnation.substr(0, incarnation.find(kSeparator));
}

int64_t StartTimeOf(std::string_view incarnation) {
  const size_t separator = incarnation.find(kSeparator);
  int64_t start_time_ms = 0;
  const bool valid =
      separator != std::string_view::npos &&
      absl::SimpleAtoi(std::string(incarnation.substr(separator + 1)),
                       &start_time_ms);
  return valid ? start_time_ms : 0;
}

bool IsEarlierIncarnation(std::string_view left, std::string_view right) {
  return WorkerIdOf(left) == WorkerIdOf(right) &&
         StartTimeOf(left) < StartTimeOf(right);
}

bool IsWorkerId(std::string_view text) {
  return !text.empty() && text.find(kSeparator) == std::string_view::npos;
}

}  // namespace egretswitch::internal
