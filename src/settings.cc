#include "settings.h"

#include <array>
#include <fstream>
#include <map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "settings_reader.h"

namespace egretswitch::internal {
namespace {

constexpr size_t kMaxFileBytes = 1u << 20;
constexpr std::array<std::string_view, 2> kRoles = {"entry", "agent"};
constexpr size_t kEntryRole = 0;
constexpr size_t kAgentRole = 1;
constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warning",
                                                     "error"};
constexpr std::array<std::string_view, 2> kFormats = {"key_value", "json"};

// Builds the settings from the top-level mapping of a file. The result is valid
// only if no error was added to `errors`.
class SettingsBuilder {
 public:
  SettingsBuilder(const YAML::Node& root, SettingsErrors* errors)
      : m_root(root, "", 1, errors), m_errors(errors) {}

  Settings Build();

 private:
  // Reads an address that the process listens on; these must be distinct.
  IpPort ReadListen(MappingReader& reader);
  OperatorSettings ReadOperator();
  LogServiceSettings ReadLogService();
  LoggingSettings ReadLogging();
  CommonSettings ReadCommon();
  EntrySettings ReadEntry();
  AgentSettings ReadAgent();
  RoleSettings ReadRole();

  MappingReader m_root;
  SettingsErrors* m_errors;
  std::map<std::string, std::string> m_listen_keys;  // by address
};

IpPort SettingsBuilder::ReadListen(MappingReader& reader) {
  const IpPort address = reader.Address("listen");
  if (address.port == 0) {
    return address;  // already reported
  }
  const std::string path = reader.Path("listen");
  const auto [it, is_new] = m_listen_keys.emplace(address.Text(), path);
  if (!is_new) {
    m_errors->AddUnexpected(
        reader.Line("listen"), path,
        absl::StrCat("\"", address.Text(), "\", the address of ", it->second),
        "an address of its own");
  }
  return address;
}

OperatorSettings SettingsBuilder::ReadOperator() {
  MappingReader reader = m_root.Section("operator", true);
  OperatorSettings settings;
  settings.listen = ReadListen(reader);
  settings.token = reader.Secret("token");
  reader.RejectUnknownKeys();
  return settings;
}

LogServiceSettings SettingsBuilder::ReadLogService() {
  MappingReader reader = m_root.Section("log_service", true);
  LogServiceSettings settings;
  settings.url = reader.Url("url");
  settings.stream = reader.Name("stream", settings.stream);
  reader.RejectUnknownKeys();
  return settings;
}

LoggingSettings SettingsBuilder::ReadLogging() {
  MappingReader reader = m_root.Section("logging", false);
  LoggingSettings settings;
  const size_t info = static_cast<size_t>(LogLevel::kInfo);
  settings.level = static_cast<LogLevel>(reader.Choice("level", kLevels, info));
  settings.format =
      static_cast<LogFormat>(reader.Choice("format", kFormats, 0));
  settings.file = reader.Text("file", "");
  reader.RejectUnknownKeys();
  return settings;
}

CommonSettings SettingsBuilder::ReadCommon() {
  CommonSettings settings;
  settings.name = m_root.Name("name");
  settings.data_centre = m_root.Name("data_centre");
  settings.region = m_root.Name("region");
  settings.listen = ReadListen(m_root);
  if (settings.listen.ip == "0.0.0.0" || settings.listen.ip == "::") {
    // The process announces this address to its peers.
    m_errors->AddUnexpected(m_root.Line("listen"), "listen",
                            absl::StrCat("\"", settings.listen.Text(), "\""),
                            "an address that other processes can connect to");
  }
  settings.shared_key = m_root.Secret("shared_key");
  settings.operator_api = ReadOperator();
  settings.log_service = ReadLogService();
  settings.logging = ReadLogging();
  return settings;
}

EntrySettings SettingsBuilder::ReadEntry() {
  EntrySettings settings;
  MappingReader callers = m_root.Section("callers", true);
  settings.callers.listen = ReadListen(callers);
  settings.callers.max_connections = callers.Number(
      "max_connections", {1, 100'000}, settings.callers.max_connections);
  callers.RejectUnknownKeys();
  settings.shards = m_root.Number("shards", {1, 4096}, settings.shards);
  return settings;
}

AgentSettings SettingsBuilder::ReadAgent() {
  AgentSettings settings;
  MappingReader worker = m_root.Section("worker", true);
  settings.worker.url = worker.Url("url");
  settings.worker.slots = worker.Number("slots", {1, 4096});
  TaskNeeds& capacity = settings.worker.capacity;
  capacity.millicores = worker.Number("millicores", {1, 10'000'000});
  capacity.memory_mb = worker.Number("memory_mb", {1, 100'000'000});
  capacity.accelerators = worker.Number("accelerators", {0, 1024}, 0);
  worker.RejectUnknownKeys();
  return settings;
}

RoleSettings SettingsBuilder::ReadRole() {
  const size_t role = m_root.Choice("role", kRoles);
  if (role == kEntryRole) {
    return ReadEntry();
  }
  if (role == kAgentRole) {
    return ReadAgent();
  }
  // Without a valid role, the keys of every role are accepted.
  for (const std::string_view key : {"callers", "shards", "worker"}) {
    m_root.Allow(key);
  }
  return EntrySettings{};
}

Settings SettingsBuilder::Build() {
  CommonSettings common = ReadCommon();
  RoleSettings role = ReadRole();
  m_root.RejectUnknownKeys();
  return Settings(std::move(common), std::move(role));
}

absl::StatusOr<Settings> BuildFrom(const std::vector<YAML::Node>& documents,
                                   SettingsErrors& errors) {
  if (documents.size() != 1 || !documents.front().IsMap()) {
    errors.AddUnexpected(1, "", "something else", "one YAML mapping of keys");
    return errors.Summary();
  }
  Settings settings = SettingsBuilder(documents.front(), &errors).Build();
  if (absl::Status status = errors.Summary(); !status.ok()) {
    return status;
  }
  return settings;
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(std::string_view text,
                                       std::string_view name_for_errors) {
  SettingsErrors errors(name_for_errors);
  if (text.size() > kMaxFileBytes) {
    errors.AddUnexpected(0, "", absl::StrCat(text.size(), " bytes"),
                         absl::StrCat("up to ", kMaxFileBytes, " bytes"));
    return errors.Summary();
  }
  try {
    return BuildFrom(YAML::LoadAll(std::string(text)), errors);
  } catch (const YAML::Exception& e) {
    // yaml-cpp throws on malformed text. No exception leaves this function.
    errors.AddUnexpected(e.mark.line + 1, "", "text that is not YAML: " + e.msg,
                         "one YAML mapping of keys");
    return errors.Summary();
  }
}

absl::StatusOr<std::string> ReadSettingsFile(std::string_view path) {
  std::ifstream in{std::string(path), std::ios::binary};
  // Reads one byte more than the limit, so that ParseSettings() rejects a file
  // that is too long.
  std::string text(kMaxFileBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(in.gcount()));
  if (!in.is_open() || in.bad()) {
    SettingsErrors errors(path);
    errors.AddUnexpected(0, "", "no file that can be read", "a YAML file");
    return errors.Summary();
  }
  return text;
}

absl::StatusOr<Settings> LoadSettings(std::string_view path) {
  const absl::StatusOr<std::string> text = ReadSettingsFile(path);
  return text.ok() ? ParseSettings(*text, path) : text.status();
}

}  // namespace egretswitch::internal
