#include "ctl_operate.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ctl_client.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

// Turns the body of one entry's response into what --json shows of it.
using ReadBody = std::function<absl::StatusOr<json>(const std::string& body)>;

absl::StatusOr<json> ReadJsonBody(const std::string& body) {
  json document = json::parse(body, nullptr, false);
  if (document.is_discarded()) {
    return absl::UnknownError("an answer that is not JSON");
  }
  return document;
}

// Lines of the text exposition format: "name{labels} value".
absl::StatusOr<json> ReadMetricsBody(const std::string& body) {
  json document = json::object();
  std::istringstream in(body);
  for (std::string line; std::getline(in, line);) {
    const size_t space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string::npos) {
      continue;
    }
    document[line.substr(0, space)] =
        json::parse(line.substr(space + 1), nullptr, false);
  }
  return document;
}

// The samples of what is evacuated alone.
absl::StatusOr<json> ReadEvacuations(const std::string& body) {
  absl::StatusOr<json> all = ReadMetricsBody(body);
  json evacuations = json::object();
  for (const auto& [name, value] : all->items()) {
    if (name.find("evacuated_seconds{") != std::string::npos) {
      evacuations[name.substr(name.find('{'))] = value;
    }
  }
  return evacuations;
}

std::string ValueText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

bool IsFlat(const json& value) {
  return !value.is_structured() ||
         std::none_of(value.begin(), value.end(), [](const json& element) {
           return element.is_structured();
         });
}

// One "key  value" line each; a list of objects gets a line for each of them.
void PrintMembers(const json& document, std::ostream& out) {
  size_t width = 0;
  for (const auto& item : document.items()) {
    width = std::max(width, item.key().size());
  }
  for (const auto& [key, value] : document.items()) {
    const std::string padding(width - key.size() + 2, ' ');
    if (IsFlat(value)) {
      out << "  " << key << padding << ValueText(value) << "\n";
      continue;
    }
    out << "  " << key << "\n";
    for (const auto& element : value.items()) {
      out << "    " << (value.is_object() ? element.key() + "  " : "")
          << ValueText(element.value()) << "\n";
    }
  }
}

void PrintEntry(const std::string& entry,
                const json& document,
                CtlWorld& world) {
  world.out << entry << "\n";
  if (document.is_object()) {
    PrintMembers(document, world.out);
  } else {
    world.out << "  " << ValueText(document) << "\n";
  }
}

absl::StatusOr<json> Ask(const CtlClient& client,
                         const std::string& entry,
                         std::string_view path,
                         const ReadBody& read) {
  const auto response = client.CallAt(entry, "GET", path);
  if (!response.ok()) {
    return response.status();
  }
  if (!IsSuccess(*response)) {
    return absl::UnknownError(entry + ": " + ErrorTextOf(*response));
  }
  return read(response->body);
}

int AskAll(CtlApi api,
           std::string_view path,
           const ReadBody& read,
           const CtlArguments& arguments,
           CtlWorld& world) {
  const auto client = CtlClient::Create(api, arguments, world);
  if (!client.ok()) {
    return ReportFailure(client.status(), world);
  }
  json all = json::object();
  int exit_code = kCtlOk;
  for (const std::string& entry : arguments.entries) {
    const auto document = Ask(*client, entry, path, read);
    if (!document.ok()) {
      const int code = ReportFailure(document.status(), world);
      exit_code = std::max(exit_code, code);
      all[entry] = nullptr;
    } else if (arguments.json) {
      all[entry] = *document;
    } else {
      PrintEntry(entry, *document, world);
    }
  }
  if (arguments.json) {
    world.out << all.dump() << "\n";
  }
  return exit_code;
}

// Posts and prints `done` when that succeeded.
int PostAndReport(std::string_view path,
                  const json& body,
                  const std::string& done,
                  const CtlArguments& arguments,
                  CtlWorld& world) {
  const auto client = CtlClient::Create(CtlApi::kOperators, arguments, world);
  if (!client.ok()) {
    return ReportFailure(client.status(), world);
  }
  const auto response = client->Call(
      "POST", path, body.dump(-1, ' ', false, json::error_handler_t::replace));
  if (!response.ok()) {
    return ReportFailure(response.status(), world);
  }
  if (!IsSuccess(*response)) {
    return ReportFailure(absl::UnknownError(ErrorTextOf(*response)), world);
  }
  world.out << (arguments.json ? response->body : done) << "\n";
  return kCtlOk;
}

}  // namespace

int RunStatus(std::span<const std::string>,
              const CtlArguments& arguments,
              CtlWorld& world) {
  return AskAll(CtlApi::kOperators, "/status", &ReadJsonBody, arguments, world);
}

int RunCounters(std::span<const std::string>,
                const CtlArguments& arguments,
                CtlWorld& world) {
  return AskAll(CtlApi::kOperators, "/metrics", &ReadMetricsBody, arguments,
                world);
}

int RunEvacuations(std::span<const std::string>,
                   const CtlArguments& arguments,
                   CtlWorld& world) {
  return AskAll(CtlApi::kCallers, "/metrics", &ReadEvacuations, arguments,
                world);
}

int RunDrain(std::span<const std::string>,
             const CtlArguments& arguments,
             CtlWorld& world) {
  if (arguments.entries.size() > 1) {
    return ReportFailure(absl::InvalidArgumentError(absl::StrCat(
                             "--entry: found ", arguments.entries.size(),
                             " entries, allowed the one that is to drain")),
                         world);
  }
  return PostAndReport("/drain", json::object(),
                       "draining: it takes nothing new, finishes what it has, "
                       "and ends",
                       arguments, world);
}

int RunEntryEnded(std::span<const std::string> operands,
                  const CtlArguments& arguments,
                  CtlWorld& world) {
  return PostAndReport("/entries/ended", {{"name", operands[0]}},
                       operands[0] + " is on record as ended", arguments,
                       world);
}

}  // namespace egretswitch::internal
