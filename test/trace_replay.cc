// Replays a trace and compares its jobs' ends with the stated outcomes.
#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "trace_file.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kAfterTrace = Ms(15'000);

// The last word on one job, from its callers' records.
struct JobEnd {
  bool complete = false;
  bool refused = false;
  RefusalReason reason = RefusalReason::kNone;
  VirtualUs took = kNever;
};

// A complete answer is the last word, whatever another connection was told.
std::map<std::string, JobEnd> EndsOf(const History& history) {
  std::map<std::string, JobEnd> ends;
  std::map<std::string, VirtualUs> first_sent;
  for (const auto& [key, job] : history.jobs) {
    ends[key.id];
  }
  for (const RequestRecord& request : history.requests) {
    JobEnd& end = ends[request.key.id];
    const VirtualUs began =
        first_sent.emplace(request.key.id, request.sent).first->second;
    if (request.answers == 0 || request.cancels || end.complete) {
      continue;
    }
    end.took = request.answered - began;
    if (const auto* refusal = std::get_if<JobRefusal>(&request.outcome)) {
      end.refused = true;
      end.reason = refusal->reason;
    } else {
      end.complete = true;
    }
  }
  return ends;
}

bool Matches(const std::string& pattern, const std::string& id) {
  return pattern.ends_with('*')
             ? id.starts_with(pattern.substr(0, pattern.size() - 1))
             : id == pattern;
}

bool Meets(const Expectation& expected, const JobEnd& end) {
  const bool refused = end.refused && !end.complete &&
                       (expected.reason.empty() ||
                        expected.reason == RefusalReasonName(end.reason));
  const bool as_stated =
      (expected.outcome == StatedOutcome::kComplete && end.complete) ||
      (expected.outcome == StatedOutcome::kRefused && refused) ||
      (expected.outcome == StatedOutcome::kFinal &&
       (end.complete || end.refused));
  return as_stated && end.took <= expected.within;
}

void CheckExpectation(const Expectation& expected,
                      const std::map<std::string, JobEnd>& ends,
                      std::vector<std::string>& unmet) {
  uint32_t matching = 0;
  uint32_t meeting = 0;
  std::string missing;
  for (const auto& [id, end] : ends) {
    if (Matches(expected.pattern, id)) {
      ++matching;
      if (Meets(expected, end)) {
        ++meeting;
      } else {
        missing += " " + id;
      }
    }
  }
  const uint32_t least =
      expected.at_least.value_or(expected.at_most ? 0 : matching);
  const uint32_t most = expected.at_most.value_or(matching);
  if (matching == 0 || meeting < least || meeting > most) {
    unmet.push_back("line " + std::to_string(expected.line) + ": " +
                    expected.pattern + ": " + std::to_string(meeting) + " of " +
                    std::to_string(matching) +
                    " jobs as stated; not:" + missing);
  }
}

}  // namespace

// Runs until every deadline and every fault's end have passed.
TraceResult ReplayTrace(const TraceFile& trace) {
  FakeWorld world(trace.scenario.size, trace.seed, trace.scenario.kinds);
  world.Play(trace.scenario);
  VirtualUs end = 0;
  for (const TimedFault& fault : trace.faults) {
    end = std::max(end, fault.at);
    world.time().At(fault.at, [&world, fault] {
      InjectFault(world, fault.kind, fault.process);
    });
  }
  for (const JobPlan& job : trace.scenario.jobs) {
    end = std::max(end, job.at + job.deadline_after);
  }
  world.RunUntil(end + kAfterTrace);
  const History& history = world.Finish();
  const std::map<std::string, JobEnd> ends = EndsOf(history);
  TraceResult result;
  result.violations = CheckHistory(history);
  for (const auto& [id, job_end] : ends) {
    ++result.jobs;
    result.jobs_complete += job_end.complete ? 1 : 0;
  }
  for (const Expectation& expected : trace.expectations) {
    CheckExpectation(expected, ends, result.unmet);
  }
  return result;
}

}  // namespace egretswitch::internal
