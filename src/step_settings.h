// The settings of the roles that serve jobs made of steps, from a YAML file:
//
//   role: step_entry          role: step_agent
//   callers: {listen: ...}    worker: {url: ...}
//
// platform/entry.yaml and platform/agent.yaml show every key. Errors are
// reported as described in settings.h.
#ifndef EGRETSWITCH_SRC_STEP_SETTINGS_H_
#define EGRETSWITCH_SRC_STEP_SETTINGS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "ip_port.h"
#include "link_identity.h"
#include "service_config.h"
#include "settings.h"

namespace egretswitch::internal {

// Settings that both roles have.
struct StepCommonSettings : LinkIdentity {
  IpPort metrics_listen;
  std::string store_address;  // the platform's store, "ip:port"
  LoggingSettings logging;
  // Whether agents keep copies of the tables for entries that start while the
  // store is unreachable.
  bool keep_tables_at_agents = false;
};

struct StepEntrySettings {
  IpPort callers_listen;
  // The longest time from the publication of a configuration until this entry
  // applies it.
  absl::Duration config_apply_limit = kDefaultConfigApplyLimit;
  IpPort ready_listen;  // readiness probes of the load balancer
};

struct StepAgentSettings {
  IpPort announcements_listen;  // the worker announces itself here
  std::string worker_address;   // "ip:port"
  // The longest lease that the worker grants; 0 if unknown.
  absl::Duration max_worker_lease = absl::ZeroDuration();
};

struct StepSettings {
  StepCommonSettings common;
  std::variant<StepEntrySettings, StepAgentSettings> role;
};

// Returns whether the text sets one of these roles; false if it is not YAML.
bool IsStepSettings(std::string_view text);

absl::StatusOr<StepSettings> ParseStepSettings(
    std::string_view text,
    std::string_view name_for_errors);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_SETTINGS_H_
