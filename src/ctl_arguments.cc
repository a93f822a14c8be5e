#include "ctl_arguments.h"

#include <cxxopts.hpp>

#include "absl/strings/str_cat.h"
#include "ip_port.h"
#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr std::string_view kUrlPrefix = "http://";
constexpr absl::Duration kLongestTimeout = absl::Hours(1);

cxxopts::Options MakeOptions() {
  using cxxopts::value;
  cxxopts::Options options("egretswitchctl");
  options.add_options()                                            //
      ("entry", "", value<std::vector<std::string>>())             //
      ("token-file", "", value<std::string>()->default_value(""))  //
      ("timeout", "", value<std::string>())                        //
      ("o,output", "", value<std::string>()->default_value(""))    //
      ("log", "", value<std::string>())                            //
      ("stream", "", value<std::string>()->default_value("control"))(
          "shards", "", value<uint32_t>()->default_value("0"))  //
      ("json", "")                                              //
      ("wait", "")                                              //
      ("h,help", "")                                            //
      ("version", "")                                           //
      ("words", "", value<std::vector<std::string>>());
  options.parse_positional("words");
  return options;
}

// "127.0.0.1:8001" and "http://127.0.0.1:8001/" are the same address.
absl::StatusOr<IpPort> ParseAddress(std::string_view option,
                                    std::string_view text) {
  std::string_view address = text;
  if (address.starts_with(kUrlPrefix)) {
    address.remove_prefix(kUrlPrefix.size());
    if (address.ends_with('/')) {
      address.remove_suffix(1);
    }
  }
  const std::optional<IpPort> parsed = ParseIpPort(address);
  if (!parsed) {
    return absl::InvalidArgumentError(absl::StrCat(
        std::string(option), ": found \"", std::string(text),
        "\", allowed an IP number and a port, such as 127.0.0.1:8001"));
  }
  return *parsed;
}

absl::StatusOr<absl::Duration> ParseTimeout(const std::string& text) {
  absl::Duration timeout;
  if (!absl::ParseDuration(text, &timeout) || timeout < absl::Milliseconds(1) ||
      timeout > kLongestTimeout) {
    return absl::InvalidArgumentError(
        absl::StrCat("--timeout: found \"", text,
                     "\", allowed a time from 1ms to 1h, such as 500ms or 5s"));
  }
  return timeout;
}

absl::Status ReadAddresses(const cxxopts::ParseResult& parsed,
                           CtlArguments* arguments) {
  if (parsed.count("entry") > 0) {
    for (const auto& text : parsed["entry"].as<std::vector<std::string>>()) {
      const auto entry = ParseAddress("--entry", text);
      if (!entry.ok()) {
        return entry.status();
      }
      arguments->entries.push_back(std::string(kUrlPrefix) + entry->Text());
    }
  }
  if (parsed.count("log") > 0) {
    const auto log = ParseAddress("--log", parsed["log"].as<std::string>());
    if (!log.ok()) {
      return log.status();
    }
    arguments->log = log->Text();
  }
  return absl::OkStatus();
}

absl::StatusOr<CtlArguments> ReadParsed(const cxxopts::ParseResult& parsed) {
  CtlArguments arguments;
  if (parsed.count("words") > 0) {
    arguments.words = parsed["words"].as<std::vector<std::string>>();
  }
  if (absl::Status status = ReadAddresses(parsed, &arguments); !status.ok()) {
    return status;
  }
  if (parsed.count("timeout") > 0) {
    const auto timeout = ParseTimeout(parsed["timeout"].as<std::string>());
    if (!timeout.ok()) {
      return timeout.status();
    }
    arguments.timeout = *timeout;
  }
  arguments.token_file = parsed["token-file"].as<std::string>();
  arguments.output = parsed["output"].as<std::string>();
  arguments.stream = parsed["stream"].as<std::string>();
  arguments.shards = parsed["shards"].as<uint32_t>();
  arguments.json = parsed.count("json") > 0;
  arguments.wait = parsed.count("wait") > 0;
  arguments.help = parsed.count("help") > 0;
  arguments.version = parsed.count("version") > 0;
  return arguments;
}

}  // namespace

absl::StatusOr<CtlArguments> ParseCtlArguments(
    std::span<const std::string_view> args) {
  std::vector<std::string> texts(args.begin(), args.end());
  std::vector<const char*> argv = {"egretswitchctl"};
  for (const std::string& text : texts) {
    argv.push_back(text.c_str());
  }
  cxxopts::Options options = MakeOptions();
  try {
    return ReadParsed(
        options.parse(static_cast<int>(argv.size()), argv.data()));
  } catch (const std::exception& e) {
    // cxxopts reports by exception; none leaves this function.
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace egretswitch::internal
