// The command line of egretswitchctl, read and checked.
//
//   table put t.csv --entry 127.0.0.1:7201 --token-file token
//   -> words {"table", "put", "t.csv"}, entries {"http://127.0.0.1:7201"}, ...
#ifndef EGRETSWITCH_SRC_CTL_ARGUMENTS_H_
#define EGRETSWITCH_SRC_CTL_ARGUMENTS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace egretswitch::internal {

struct CtlArguments {
  std::vector<std::string> words;    // the command and its operands
  std::vector<std::string> entries;  // "http://ip:port", in the order given
  std::string token_file;
  std::optional<absl::Duration> timeout;
  std::string output;  // -o: a file in place of standard output
  std::string log;     // "ip:port" of the log service
  std::string stream = "control";
  uint32_t shards = 0;  // 0: the default number
  bool json = false;
  bool wait = false;
  bool help = false;
  bool version = false;
};

// The error is the user's.
absl::StatusOr<CtlArguments> ParseCtlArguments(
    std::span<const std::string_view> args);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_ARGUMENTS_H_
