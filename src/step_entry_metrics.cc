// Renders the metrics of an entry.
//
//   egretswitch_jobs_open 12
//   egretswitch_evacuated_seconds{data_centre="south",from="store"} 3.5
#include <vector>

#include "metrics_text.h"
#include "step_entry_daemon.h"

namespace egretswitch::internal {

void StepEntryDaemon::AddEvacuations(MetricsText& text) const {
  std::vector<MetricsText::LabelledSample> ages;
  for (const auto& [data_centre, source] : m_tables.evacuation_sources()) {
    const absl::Duration age = EventLoop::MonoNow() - source.at;
    ages.push_back({{{"data_centre", data_centre}, {"from", source.from}},
                    absl::ToDoubleSeconds(age)});
  }
  text.AddGauge("evacuations_version",
                "The operators' table is read up to this offset.",
                static_cast<double>(m_tables.evacuations().through));
  text.AddLabelledGauge(
      "evacuated_seconds",
      "Since this process learnt that the data centre is evacuated, and from "
      "whom.",
      ages);
}

std::string StepEntryDaemon::Metrics() const {
  MetricsText text;
  text.AddGauge("jobs_open", "Jobs without an answer.",
                static_cast<double>(m_dispatcher.open_jobs()));
  text.AddGauge("config_version", "Configuration in force.",
                static_cast<double>(m_tables.config().version));
  const MonoTime confirmed =
      std::max(m_tables.config_confirmed_at(), m_started_at);
  text.AddGauge("config_unconfirmed_seconds",
                "Since when the store has not confirmed the configuration in "
                "force, or since the start.",
                absl::ToDoubleSeconds(EventLoop::MonoNow() - confirmed));
  text.AddGauge("members_known", "Processes of the deployment that are known.",
                static_cast<double>(m_tables.members().size()));
  const CancelledJobs& cancelled = m_dispatcher.cancelled_jobs();
  text.AddGauge("cancelled_jobs_known", "Cancelled jobs that are remembered.",
                static_cast<double>(cancelled.size()));
  text.AddCounter("cancelled_jobs_dropped_early",
                  "Cancelled jobs forgotten before their time, for lack of "
                  "room.",
                  cancelled.dropped_early());
  AddEvacuations(text);
  text.AddHistogram("job_seconds", "From a job's arrival to its answer.",
                    m_latency);
  for (size_t i = 0; i < static_cast<size_t>(RunCounter::kCount); ++i) {
    const auto counter = static_cast<RunCounter>(i);
    text.AddCounter(RunCounterName(counter), "Events of this process.",
                    m_counters.Get(counter) + m_tables.counters().Get(counter) +
                        m_dispatcher.counters().Get(counter) +
                        m_cancel_search.counters().Get(counter) +
                        m_cancel_exchange.counters().Get(counter));
  }
  return text.Take();
}

}  // namespace egretswitch::internal
