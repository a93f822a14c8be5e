// The settings of one process, read once at its start from a YAML file.
//
//   absl::StatusOr<Settings> settings = LoadSettings("entry.yaml");
//   settings->common().listen.Text()         -> "127.0.0.1:7001"
//   std::get<EntrySettings>(settings->role()).shards  -> 64
//
// Every key is checked, and all faults are reported in one pass, a line each:
//
//   user error: entry.yaml:12: callers.listen: found "localhost:80", allowed
//   an IP number and a port, such as 127.0.0.1:8080
//
// examples/entry.yaml and examples/agent.yaml show every key.
#ifndef EGRETSWITCH_SRC_SETTINGS_H_
#define EGRETSWITCH_SRC_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "absl/status/statusor.h"
#include "ip_port.h"
#include "link_identity.h"
#include "node_limits.h"
#include "submission.h"

namespace egretswitch::internal {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };
enum class LogFormat : uint8_t { kKeyValue, kJson };

// Where and how changes of state are logged.
struct LoggingSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kKeyValue;
  std::string file;        // empty: standard error
  bool to_stdout = false;  // standard output, in place of all others
};

// The operators' own HTTP address: status, metrics, table, drain.
struct OperatorSettings {
  IpPort listen;
  std::string token;
};

// The platform's log service and our stream in it.
struct LogServiceSettings {
  std::string url;  // "http://ip:port", no slash at the end
  std::string stream = "control";
};

// What every role has.
struct CommonSettings : LinkIdentity {
  OperatorSettings operator_api;
  LogServiceSettings log_service;
  LoggingSettings logging;
};

struct CallerSettings {
  IpPort listen;
  uint32_t max_connections = 4096;
};

struct EntrySettings {
  CallerSettings callers;
  uint32_t shards = kDefaultShardCount;  // the same in the whole deployment
};

// The worker beside an agent.
struct WorkerSettings {
  std::string url;  // "http://ip:port", no slash at the end
  uint32_t slots = 0;
  TaskNeeds capacity;
};

struct AgentSettings {
  WorkerSettings worker;
};

using RoleSettings = std::variant<EntrySettings, AgentSettings>;

// Checked settings; they never change during the life of a process.
class Settings {
 public:
  Settings(CommonSettings common, RoleSettings role)
      : m_common(std::move(common)), m_role(std::move(role)) {}

  const CommonSettings& common() const { return m_common; }
  const RoleSettings& role() const { return m_role; }

 private:
  CommonSettings m_common;
  RoleSettings m_role;
};

// Reads and checks the file. The status message holds a "user error: " line
// for each fault and is meant to be printed as it is.
absl::StatusOr<Settings> LoadSettings(std::string_view path);

// The text of a settings file; the status message is as above.
absl::StatusOr<std::string> ReadSettingsFile(std::string_view path);

// The same for text in memory. `name_for_errors` stands for the file; a
// relative shared_key_file or token_file is sought in its directory.
absl::StatusOr<Settings> ParseSettings(std::string_view text,
                                       std::string_view name_for_errors);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SETTINGS_H_
