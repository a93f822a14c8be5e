// The settings of a process that serves jobs made of steps, from a YAML file:
//
//   role: step_entry          role: step_agent
//   callers: {listen: ...}    worker: {url: ...}
//
// platform/entry.yaml and platform/agent.yaml show every key. Faults are
// reported as settings.h says.
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

// What both roles have.
struct StepCommonSettings : LinkIdentity {
  IpPort metrics_listen;
  std::string store_address;  // of the platform's store, "ip:port"
  LoggingSettings logging;
};

struct StepEntrySettings {
  IpPort callers_listen;
  // A configuration is in force so long after its publication.
  absl::Duration config_within = kDefaultConfigApplyLimit;
  IpPort ready_listen;  // where the balancer asks whether to send callers here
};

struct StepAgentSettings {
  IpPort announcements_listen;  // where the worker reports itself
  std::string worker_address;   // "ip:port"
};

struct StepSettings {
  StepCommonSettings common;
  std::variant<StepEntrySettings, StepAgentSettings> role;
};

// Whether the text asks for one of these roles; false for what is no YAML.
bool IsStepSettings(std::string_view text);

absl::StatusOr<StepSettings> ParseStepSettings(
    std::string_view text,
    std::string_view name_for_errors);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_SETTINGS_H_
