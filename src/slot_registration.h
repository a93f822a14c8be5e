// Makes this agent's place known to all entries by a SlotRegistered record in
// the control stream, tried again until the log confirms it.
//
//   first event         -> AppendLog{"slot/agent-3/9", SlotRegistered{...}}
//   LogAppendFailed     -> the same append after 200 to 400 ms at random, then
//                          400 to 800 ms, ..., at last 5 to 10 s
#ifndef EGRETSWITCH_SRC_SLOT_REGISTRATION_H_
#define EGRETSWITCH_SRC_SLOT_REGISTRATION_H_

#include <optional>
#include <string>
#include <string_view>

#include "clock.h"
#include "kernel.h"
#include "log_records.h"
#include "node_context.h"
#include "node_limits.h"

namespace egretswitch::internal {

class SlotRegistration {
 public:
  // Finds "context" in the kernel.
  SlotRegistration(const Kernel& kernel,
                   SlotRegistered record,
                   std::string append_id);

  // Called for every event: appends when an attempt is due.
  void Begin();

  void OnAppendDone(std::string_view append_id);

  // A record that took effect although the reply was lost does no harm twice.
  void OnAppendFailed(std::string_view append_id);

 private:
  absl::Duration NextPause();

  NodeContext& m_context;
  SlotRegistered m_record;
  std::string m_append_id;
  absl::Duration m_shortest_pause = kLogRetryPeriod;
  // Empty while the log's answer is awaited and when done.
  std::optional<MonoTime> m_next_attempt = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SLOT_REGISTRATION_H_
