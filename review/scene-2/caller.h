// A caller: one blocking HTTP call on a connection of its own.
//
//   CallResult result = Call(port, {.method = "DELETE", .path =
//   "/checks/5c0e"});
#ifndef EGRETSWITCH_REVIEW_SCENE_2_CALLER_H_
#define EGRETSWITCH_REVIEW_SCENE_2_CALLER_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace egretswitch::review {

struct CallerCall {
  std::string method;
  std::string path;
  std::string body = {};
  // How long the caller waits; it says so in the header of its call.
  absl::Duration patience = absl::Milliseconds(1500);
};

struct CallResult {
  int status = 0;  // 0: no whole answer
  std::string body;
};

CallResult Call(uint16_t port, const CallerCall& call);

// The id of job `number` of a case.
std::string JobId(uint32_t number);

// A job that needn't be kept, of `tasks` tasks with this spec.
std::string JobBody(const std::string& spec, int tasks, int estimate_ms);

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_2_CALLER_H_
