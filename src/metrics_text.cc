#include "metrics_text.h"

#include <array>
#include <charconv>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace egretswitch::internal {
namespace {

constexpr double kMsPerSecond = 1000;

std::string FullName(std::string_view name, std::string_view suffix = "") {
  std::string full = "egretswitch_";
  full += name;
  full += suffix;
  return full;
}

// Shortest text that reads back as the same number.
std::string NumberText(double value) {
  std::array<char, 32> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return std::string(buffer.data(), result.ptr);
}

std::string EscapeLabel(std::string_view text) {
  return absl::StrReplaceAll(std::string(text),
                             {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::string LabelsText(std::span<const MetricsText::Label> labels) {
  std::string text;
  for (const MetricsText::Label& label : labels) {
    absl::StrAppend(&text, text.empty() ? "" : ",", std::string(label.name),
                    "=\"", EscapeLabel(label.value), "\"");
  }
  return text;
}

std::string CounterHelp(std::string_view name) {
  std::string help = "Events of this process: ";
  help += name;
  help += '.';
  return help;
}

}  // namespace

void MetricsText::AddHeading(std::string_view full_name,
                             std::string_view help,
                             std::string_view type) {
  m_text += "# HELP ";
  m_text += full_name;
  m_text += ' ';
  m_text += help;
  m_text += "\n# TYPE ";
  m_text += full_name;
  m_text += ' ';
  m_text += type;
  m_text += '\n';
}

void MetricsText::AddSample(std::string_view full_name, double value) {
  m_text += full_name;
  m_text += ' ';
  m_text += NumberText(value);
  m_text += '\n';
}

void MetricsText::AddGauge(std::string_view name,
                           std::string_view help,
                           double value) {
  const std::string full = FullName(name);
  AddHeading(full, help, "gauge");
  AddSample(full, value);
}

void MetricsText::AddLabelledGauge(std::string_view name,
                                   std::string_view help,
                                   std::span<const LabelledSample> samples) {
  const std::string full = FullName(name);
  AddHeading(full, help, "gauge");
  for (const LabelledSample& sample : samples) {
    AddSample(absl::StrCat(full, "{", LabelsText(sample.labels), "}"),
              sample.value);
  }
}

void MetricsText::AddCounter(std::string_view name,
                             std::string_view help,
                             uint64_t value) {
  const std::string full = FullName(name, "_total");
  AddHeading(full, help, "counter");
  AddSample(full, static_cast<double>(value));
}

void MetricsText::AddHistogram(std::string_view name,
                               std::string_view help,
                               const LatencyHistogram& histogram) {
  const std::string full = FullName(name, "_seconds");
  AddHeading(full, help, "histogram");
  for (const CumulativeBucket& bucket : histogram.Buckets()) {
    AddSample(full + "_bucket{le=\"" +
                  NumberText(bucket.upper_ms / kMsPerSecond) + "\"}",
              static_cast<double>(bucket.count));
  }
  const auto count = static_cast<double>(histogram.count());
  AddSample(full + "_bucket{le=\"+Inf\"}", count);
  AddSample(full + "_sum", histogram.sum_ms() / kMsPerSecond);
  AddSample(full + "_count", count);
}

void MetricsText::AddCounters(const Counters& counters) {
  for (size_t i = 0; i < static_cast<size_t>(Counter::kCount); ++i) {
    const auto counter = static_cast<Counter>(i);
    const std::string_view name = CounterName(counter);
    AddCounter(name, CounterHelp(name), counters.Get(counter));
  }
  const std::string refusals = FullName("refusals", "_total");
  AddHeading(refusals, "Refusals and failures told to callers, by reason.",
             "counter");
  constexpr auto kFirst = static_cast<size_t>(RefusalReason::kNone) + 1;
  for (size_t i = kFirst; i < static_cast<size_t>(RefusalReason::kCount); ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    AddSample(refusals + "{reason=\"" + std::string(RefusalReasonName(reason)) +
                  "\"}",
              static_cast<double>(counters.GetRefusals(reason)));
  }
}

void MetricsText::AddEntryStatus(const EntryStatus& status) {
  AddGauge("fold_offset", "Next offset of the control stream.",
           static_cast<double>(status.fold_offset));
  AddGauge("table_version", "Version of the operator table in force here.",
           static_cast<double>(status.table_version));
  AddGauge("log_age_seconds", "Time since the last successful log read.",
           static_cast<double>(status.log_age_ms) / kMsPerSecond);
  AddGauge("may_start_tasks", "1 while this entry may start tasks.",
           status.may_start_tasks);
  AddGauge("draining", "1 during a graceful shutdown.", status.draining);
  AddGauge("shards_owned", "Shards that this entry owns.", status.shards_owned);
  AddGauge("shards_serving", "Owned shards that are taken over completely.",
           status.shards_serving);
  AddGauge("jobs_open", "Jobs without an outcome.", status.jobs_open);
  AddGauge("tasks_waiting", "Tasks of owned jobs that wait for a slot.",
           status.tasks_waiting);
  AddGauge("tasks_running", "Tasks of owned jobs on workers.",
           status.tasks_running);
  AddGauge("workers_linked", "Workers whose agent is linked.",
           status.workers_linked);
  AddGauge("slots_free", "Free slots of these workers, as estimated.",
           status.slots_free);
}

void MetricsText::AddAgentReport(const AgentReport& report) {
  AddGauge("slots", "Slots of the worker.", report.slots);
  AddGauge("running", "Tasks on the worker.", report.running);
  AddGauge("ledger_entries", "Submissions remembered by this agent.",
           report.ledger_entries);
  AddGauge("entries_linked", "Entries that are linked.", report.entries_linked);
  AddGauge("leaving", "1 when the agent takes no new work.", report.leaving);
  AddGauge("ready", "1 when the agent accepts starts.", report.ready);
}

}  // namespace egretswitch::internal
