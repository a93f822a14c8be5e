#include "counters.h"

#include <iterator>

namespace egretswitch::internal {

std::string_view CounterName(Counter counter) {
  static constexpr std::string_view kNames[] = {
      "jobs_submitted",
      "jobs_answered",
      "jobs_owned",
      "jobs_joined",
      "task_starts",
      "task_results",
      "messages_sent",
      "messages_received",
      "retry_full",
      "retry_leaving",
      "retry_stale_permission",
      "retry_fenced",
      "retry_other_incarnation",
      "retry_link_down",
      "retry_refused_by_worker",
      "retry_budget_exhausted",
      "offers_taken",
      "offers_expired",
      "takeovers_started",
      "takeovers_done",
      "shards_handed_over",
      "log_reads",
      "log_read_failures",
      "log_appends",
      "log_append_failures",
      "table_edits_accepted",
      "table_edits_refused",
      "workers_ejected",
  };
  static_assert(std::size(kNames) == static_cast<size_t>(Counter::kCount));
  return kNames[static_cast<size_t>(counter)];
}

}  // namespace egretswitch::internal
