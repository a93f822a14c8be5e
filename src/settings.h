// The settings of one process, read from a YAML file at startup.
//
//   absl::StatusOr<Settings> settings = LoadSettings("entry.yaml");
//   settings->common().listen.Text()         -> "127.0.0.1:7001"
//   std::get<EntrySettings>(settings->role()).shards  -> 64
//
// Every key is validated, and all errors are reported together, one per line:
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

// Destination, level and format of the log.
struct LoggingSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kKeyValue;
  std::string file;        // empty: standard error
  bool to_stdout = false;  // standard output, overrides `file`
};

// The HTTP API for operators: status, metrics, table, drain.
struct OperatorSettings {
  IpPort listen;
  std::string token;
};

// The platform's log service and the stream that this deployment uses in it.
struct LogServiceSettings {
  std::string url;  // "http://ip:port", no slash at the end
  std::string stream = "control";
};

// Settings that every role has.
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
  uint32_t shards = kDefaultShardCount;  // must be equal in all entries
};

// The worker that an agent manages.
struct WorkerSettings {
  std::string url;  // "http://ip:port", no slash at the end
  uint32_t slots = 0;
  TaskNeeds capacity;
};

struct AgentSettings {
  WorkerSettings worker;
};

using RoleSettings = std::variant<EntrySettings, AgentSettings>;

// Validated settings, immutable while the process runs.
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

// Reads and validates the file. The status message has a "user error: " line
// for each error and can be printed as it is.
absl::StatusOr<Settings> LoadSettings(std::string_view path);

// Returns the text of a settings file. Errors are reported as by
// LoadSettings().
absl::StatusOr<std::string> ReadSettingsFile(std::string_view path);

// Like LoadSettings() for text in memory. `name_for_errors` replaces the file's
// path; a relative shared_key_file or token_file is resolved against its
// directory.
absl::StatusOr<Settings> ParseSettings(std::string_view text,
                                       std::string_view name_for_errors);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SETTINGS_H_
