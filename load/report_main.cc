// Reads what callers and workers recorded and says what became of every job.
//
//   load_report --callers a.jsonl,b.jsonl --workers w1.jsonl,w2.jsonl
//
// The last line counts what must never happen; the exit status is 1 when any of
// it did. Nothing here comes from the dispatcher's own counters but --messages.
#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "caller_record.h"

namespace egretswitch::load {
namespace {

constexpr int kExitUserError = 2;
constexpr int kExitBroken = 1;

struct TaskKey {
  std::string team;
  std::string id;
  uint32_t index = 0;
  auto operator<=>(const TaskKey&) const = default;
};

struct JobKey {
  std::string team;
  std::string id;
  auto operator<=>(const JobKey&) const = default;
};

struct WorkerEvidence {
  std::map<TaskKey, uint32_t> starts;
  std::set<JobKey> started_jobs;
  uint64_t total_starts = 0;
};

struct Verdicts {
  uint64_t jobs = 0;
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;
  uint64_t duplicate_starts = 0;
  uint64_t partial = 0;
  uint64_t crossed = 0;
  uint64_t false_not_run = 0;  // refused as not run, but a task started

  bool Broken() const {
    return lost + duplicate_starts + partial + crossed + false_not_run > 0;
  }
};

void ReadWorker(const std::string& path, WorkerEvidence* evidence) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_discarded() || json.value("event", "") != "start") {
      continue;
    }
    const TaskKey key{json.value("team", ""), json.value("id", ""),
                      json.value("index", 0u)};
    ++evidence->starts[key];
    evidence->started_jobs.insert({key.team, key.id});
    ++evidence->total_starts;
  }
}

std::vector<CallerRecord> ReadCallers(const std::vector<std::string>& paths) {
  std::vector<CallerRecord> records;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
      records.push_back(nlohmann::json::parse(line).get<CallerRecord>());
    }
  }
  return records;
}

Verdicts Judge(const std::vector<CallerRecord>& records,
               const WorkerEvidence& evidence) {
  Verdicts verdicts;
  for (const CallerRecord& record : records) {
    ++verdicts.jobs;
    verdicts.answered += record.outcome == kComplete;
    verdicts.failed += record.outcome == kFailed;
    verdicts.refused += record.outcome == kRefused;
    verdicts.lost += record.outcome == kLost;
    verdicts.partial += record.partial;
    verdicts.crossed += record.crossed;
    const bool started =
        evidence.started_jobs.contains({record.team, record.id});
    verdicts.false_not_run += record.outcome == kRefused && started;
  }
  for (const auto& [key, count] : evidence.starts) {
    verdicts.duplicate_starts += count - 1;
  }
  return verdicts;
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto at = static_cast<size_t>(fraction * (values.size() - 1) + 0.5);
  return values[at];
}

void PrintKinds(const std::vector<CallerRecord>& records) {
  std::map<std::string, std::vector<CallerRecord>> by_kind;
  for (const CallerRecord& record : records) {
    by_kind[record.kind].push_back(record);
  }
  std::cout << std::left << std::setw(20) << "kind" << std::right
            << std::setw(8) << "jobs" << std::setw(10) << "answered"
            << std::setw(14) << "p50 resp/ideal" << std::setw(16)
            << "p99 resp/ideal" << std::setw(12) << "p50 ms" << std::setw(12)
            << "p99 ms"
            << "\n";
  for (const auto& [kind, jobs] : by_kind) {
    std::vector<double> stretch;
    std::vector<double> response;
    for (const CallerRecord& job : jobs) {
      if (job.outcome == kComplete) {
        stretch.push_back(job.response_ms / job.ideal_ms);
        response.push_back(job.response_ms);
      }
    }
    std::cout << std::left << std::setw(20) << kind << std::right
              << std::setw(8) << jobs.size() << std::setw(10) << stretch.size()
              << std::fixed << std::setprecision(2) << std::setw(14)
              << Quantile(stretch, 0.5) << std::setw(16)
              << Quantile(stretch, 0.99) << std::setprecision(1)
              << std::setw(12) << Quantile(response, 0.5) << std::setw(12)
              << Quantile(response, 0.99) << "\n";
  }
}

void PrintReasons(const std::vector<CallerRecord>& records) {
  std::map<std::string, uint64_t> reasons;
  for (const CallerRecord& record : records) {
    if (record.outcome != kComplete) {
      ++reasons[record.outcome + std::string(" ") + record.reason];
    }
  }
  for (const auto& [reason, count] : reasons) {
    std::cout << "not answered: " << reason << " " << count << "\n";
  }
}

void PrintMessages(const std::vector<CallerRecord>& records,
                   uint64_t starts,
                   uint64_t messages) {
  if (messages == 0 || starts == 0) {
    return;
  }
  const double floor = 2.0 * starts + 2.0 * records.size();
  std::cout << "messages per task: " << std::setprecision(3)
            << static_cast<double>(messages) / starts << " (" << messages
            << " messages between the system's processes, " << starts
            << " task starts; sending each task alone would take "
            << floor / starts << ")\n";
}

int Main(int argc, char** argv) {
  cxxopts::Options definition("load_report", "What became of every job.");
  definition.add_options()("callers", "callers' records",
                           cxxopts::value<std::vector<std::string>>())(
      "workers", "workers' records",
      cxxopts::value<std::vector<std::string>>())(
      "messages", "messages counted by the processes",
      cxxopts::value<uint64_t>()->default_value("0"))(
      "name", "begins the last line",
      cxxopts::value<std::string>()->default_value("demo"));
  std::vector<CallerRecord> records;
  WorkerEvidence evidence;
  uint64_t messages = 0;
  std::string name;
  try {
    const auto arguments = definition.parse(argc, argv);
    records = ReadCallers(arguments["callers"].as<std::vector<std::string>>());
    for (const std::string& path :
         arguments["workers"].as<std::vector<std::string>>()) {
      ReadWorker(path, &evidence);
    }
    messages = arguments["messages"].as<uint64_t>();
    name = arguments["name"].as<std::string>();
  } catch (const std::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return kExitUserError;
  }
  const Verdicts verdicts = Judge(records, evidence);
  PrintKinds(records);
  PrintReasons(records);
  PrintMessages(records, evidence.total_starts, messages);
  std::cout << "refused as not run although a task started: "
            << verdicts.false_not_run << "\n"
            << name << ": jobs=" << verdicts.jobs
            << " answered=" << verdicts.answered
            << " failed=" << verdicts.failed << " refused=" << verdicts.refused
            << " lost=" << verdicts.lost
            << " duplicate_starts=" << verdicts.duplicate_starts
            << " partial=" << verdicts.partial
            << " crossed=" << verdicts.crossed << "\n";
  return verdicts.Broken() || verdicts.jobs == 0 ? kExitBroken : EXIT_SUCCESS;
}

}  // namespace
}  // namespace egretswitch::load

int main(int argc, char** argv) {
  return egretswitch::load::Main(argc, argv);
}
