#include "step_settings.h"

#include <array>

#include "settings_reader.h"

namespace egretswitch::internal {
namespace {

constexpr std::array<std::string_view, 2> kRoles = {"step_entry", "step_agent"};
constexpr size_t kEntryRole = 0;

// "http://127.0.0.1:7900" -> "127.0.0.1:7900". MappingReader has validated the
// URL, but returns an invalid one too.
std::string AddressOfUrl(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  return url.size() < kScheme.size() ? url : url.substr(kScheme.size());
}

IpPort ReadListen(MappingReader& root, std::string_view section) {
  MappingReader reader = root.Section(section, true);
  const IpPort address = reader.Address("listen");
  reader.RejectUnknownKeys();
  return address;
}

std::string ReadAddress(MappingReader& root, std::string_view section) {
  MappingReader reader = root.Section(section, true);
  const std::string url = reader.Url("url");
  reader.RejectUnknownKeys();
  return AddressOfUrl(url);
}

void ReadWorker(MappingReader& root, StepAgentSettings& agent) {
  constexpr NumberRange kMilliseconds = {1, 3'600'000};
  MappingReader reader = root.Section("worker", true);
  agent.worker_address = AddressOfUrl(reader.Url("url"));
  if (reader.Has("max_lease_ms")) {
    agent.max_worker_lease =
        absl::Milliseconds(reader.Number("max_lease_ms", kMilliseconds, 1));
  }
  reader.RejectUnknownKeys();
}

absl::Duration ReadConfigApplyLimit(MappingReader& root) {
  constexpr NumberRange kMilliseconds = {1, 3'600'000};
  MappingReader reader = root.Section("configuration", false);
  const absl::Duration limit = absl::Milliseconds(
      reader.Number("in_force_within_ms", kMilliseconds,
                    static_cast<uint32_t>(
                        absl::ToInt64Milliseconds(kDefaultConfigApplyLimit))));
  reader.RejectUnknownKeys();
  return limit;
}

bool ReadKeepTables(MappingReader& root) {
  constexpr std::array<std::string_view, 2> kValues = {"false", "true"};
  MappingReader reader = root.Section("tables", false);
  const size_t value = reader.Choice("keep_at_agents", kValues, 0);
  reader.RejectUnknownKeys();
  return value == 1;
}

StepSettings Read(MappingReader& root, SettingsErrors& errors) {
  constexpr std::array<std::string_view, 4> kLevels = {"debug", "info",
                                                       "warning", "error"};
  constexpr std::array<std::string_view, 2> kFormats = {"key_value", "json"};
  StepSettings settings;
  const size_t role = root.Choice("role", kRoles);
  StepCommonSettings& common = settings.common;
  common.name = root.Text("name");
  common.data_centre = root.Text("data_centre", "");
  common.region = root.Text("region", "");
  common.listen = root.Address("listen");
  common.shared_key = root.Secret("shared_key");
  common.metrics_listen = ReadListen(root, "metrics");
  common.store_address = ReadAddress(root, "store");
  common.keep_tables_at_agents = ReadKeepTables(root);
  MappingReader logging = root.Section("logging", false);
  common.logging.to_stdout = true;
  common.logging.level = static_cast<LogLevel>(
      logging.Choice("level", kLevels, static_cast<size_t>(LogLevel::kInfo)));
  common.logging.format =
      static_cast<LogFormat>(logging.Choice("format", kFormats, 0));
  logging.RejectUnknownKeys();
  if (role == kEntryRole) {
    StepEntrySettings entry;
    entry.callers_listen = ReadListen(root, "callers");
    entry.ready_listen = ReadListen(root, "ready");
    entry.config_apply_limit = ReadConfigApplyLimit(root);
    settings.role = entry;
  } else {
    StepAgentSettings agent;
    agent.announcements_listen = ReadListen(root, "announcements");
    ReadWorker(root, agent);
    settings.role = agent;
  }
  root.RejectUnknownKeys();
  if (common.name.empty()) {
    errors.AddUnexpected(root.Line("name"), "name", "nothing", "a name");
  }
  return settings;
}

}  // namespace

bool IsStepSettings(std::string_view text) {
  try {
    const YAML::Node root = YAML::Load(std::string(text));
    const YAML::Node role = root.IsMap() ? root["role"] : YAML::Node();
    return role.IsDefined() && role.IsScalar() &&
           role.Scalar().starts_with("step_");
  } catch (const YAML::Exception&) {
    return false;  // ParseSettings() reports the error
  }
}

absl::StatusOr<StepSettings> ParseStepSettings(
    std::string_view text,
    std::string_view name_for_errors) {
  SettingsErrors errors(name_for_errors);
  try {
    const YAML::Node node = YAML::Load(std::string(text));
    MappingReader root(node, "", 1, &errors);
    StepSettings settings = Read(root, errors);
    if (absl::Status status = errors.Summary(); !status.ok()) {
      return status;
    }
    return settings;
  } catch (const YAML::Exception& e) {
    // yaml-cpp throws on malformed text. No exception leaves this function.
    errors.AddUnexpected(e.mark.line + 1, "", "text that is not YAML: " + e.msg,
                         "one YAML mapping of keys");
    return errors.Summary();
  }
}

}  // namespace egretswitch::internal
