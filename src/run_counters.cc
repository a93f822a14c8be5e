#include "run_counters.h"

namespace egretswitch::internal {
namespace {

// In the order of RunCounter.
constexpr std::array<std::string_view, static_cast<size_t>(RunCounter::kCount)>
    kNames = {"runs_started",
              "runs_done",
              "runs_failed",
              "runs_stopped",
              "runs_worker_lost",
              "refused_no_room",
              "refused_leaving",
              "refused_stale",
              "refused_old_number",
              "refused_by_worker",
              "refused_evacuated",
              "refused_unreachable",
              "refused_suspect",
              "starts_unknown",
              "starts_repeated",
              "stopped_entry_silent",
              "stopped_entry_replaced",
              "runs_told_again",
              "links_dialled_again",
              "stopped_by_entry",
              "stopped_stranger",
              "workers_adopted",
              "workers_lost",
              "jobs_taken",
              "jobs_completed",
              "jobs_failed",
              "jobs_refused_unsupported",
              "jobs_refused_busy",
              "jobs_refused_draining",
              "jobs_refused_after_pause",
              "jobs_refused_no_config",
              "jobs_refused_unconfirmed",
              "jobs_refused_evacuated",
              "jobs_no_queue",
              "jobs_invalid",
              "jobs_timed_out",
              "jobs_caller_left",
              "jobs_left_before_taken",
              "jobs_joined",
              "jobs_ended_by_pause",
              "jobs_crash_workers",
              "jobs_workers_lost",
              "retries_no_room",
              "retries_never_started",
              "retries_stopped",
              "runs_moved_early",
              "runs_moved_hung",
              "retries_failed",
              "retries_worker_lost",
              "retries_agent_lost",
              "workers_ejected",
              "config_versions",
              "evacuations_begun",
              "evacuations_ended",
              "store_failures",
              "records_unreadable",
              "reports_unreadable"};
static_assert(!kNames.back().empty(), "a counter has no name");

}  // namespace

std::string_view RunCounterName(RunCounter counter) {
  return kNames[static_cast<size_t>(counter)];
}

}  // namespace egretswitch::internal
