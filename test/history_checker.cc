#include "history_checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace egretswitch::internal {
namespace {

using Violations = std::vector<Violation>;

std::string KeyText(const SubmissionKey& key) {
  return key.team + "/" + key.id;
}

std::string TimeText(VirtualUs at) {
  return at == kNever ? "never" : std::to_string(at / 1000) + " ms";
}

std::string RequestText(const RequestRecord& request) {
  return KeyText(request.key) + " request " + std::to_string(request.token) +
         " at " + request.entry + " sent " + TimeText(request.sent) +
         " answered " + TimeText(request.answered);
}

// Points 1 and 5. A repeatable task counts as well: docs/DESIGN.md reads "no
// task of a submission starts twice" literally.
void CheckSingleStarts(const History& history, Violations& found) {
  std::map<std::pair<SubmissionKey, uint32_t>, const StartRecord*> first;
  for (const StartRecord& start : history.starts) {
    const auto [it, inserted] =
        first.emplace(std::pair(start.key, start.index), &start);
    if (inserted) {
      continue;
    }
    const bool repeatable = history.jobs.at(start.key).submission.repeatable;
    found.push_back(
        {repeatable ? 1 : 5, KeyText(start.key) + " task " +
                                 std::to_string(start.index) + " started at " +
                                 TimeText(it->second->at) + " on " +
                                 it->second->worker + " and at " +
                                 TimeText(start.at) + " on " + start.worker});
  }
}

// Points 2 and 3: every output is there and is that of the caller's own task.
void CheckAnswer(const JobRecord& job,
                 const RequestRecord& request,
                 const JobAnswer& answer,
                 Violations& found) {
  const auto& tasks = job.submission.tasks;
  if (answer.outputs.size() != tasks.size()) {
    found.push_back({2, RequestText(request) + ": " +
                            std::to_string(answer.outputs.size()) +
                            " outputs for " + std::to_string(tasks.size()) +
                            " tasks"});
    return;
  }
  for (size_t i = 0; i < tasks.size(); ++i) {
    if (answer.outputs[i].payload != EchoOf(tasks[i].payload)) {
      found.push_back({3, RequestText(request) + ": output " +
                              std::to_string(i) + " is \"" +
                              answer.outputs[i].payload + "\""});
    }
  }
}

// A complete answer can't come before its tasks ended on some worker.
void CheckAnswerHappened(const History& history,
                         const RequestRecord& request,
                         Violations& found) {
  std::set<uint32_t> ended;
  for (const StartRecord& start : history.starts) {
    if (start.key == request.key && start.ended <= request.answered) {
      ended.insert(start.index);
    }
  }
  const auto& tasks = history.jobs.at(request.key).submission.tasks;
  if (ended.size() < tasks.size()) {
    found.push_back({2, RequestText(request) + ": complete, but only " +
                            std::to_string(ended.size()) + " of " +
                            std::to_string(tasks.size()) + " tasks had ended"});
  }
}

// The latest moment at which the request must have its answer: the deadline,
// or the end of an outage of its entry that covers it.
VirtualUs DueTime(const History& history,
                  const RequestRecord& request,
                  VirtualUs deadline) {
  VirtualUs due = std::max(
      deadline, request.sent + (request.cancels ? kCancelPatience : 0));
  for (bool moved = true; moved;) {
    moved = false;
    for (const OutageRecord& outage : history.outages) {
      const bool covers = outage.stopped && outage.process == request.entry &&
                          outage.from <= due + kAnswerGrace &&
                          outage.until > due;
      if (covers) {
        due = outage.until;
        moved = true;
      }
      if (due == kNever) {
        return kNever;
      }
    }
  }
  return due + kAnswerGrace;
}

// Point 3: exactly one final answer, in time, unless the connection was lost.
void CheckAnswered(const History& history, Violations& found) {
  for (const RequestRecord& request : history.requests) {
    const JobRecord& job = history.jobs.at(request.key);
    if (request.answers > 1) {
      found.push_back({3, RequestText(request) + ": " +
                              std::to_string(request.answers) + " answers"});
    }
    const VirtualUs due = DueTime(history, request, job.deadline);
    if (request.answered > due && request.lost > due && due < history.end) {
      found.push_back({3, RequestText(request) + ": due " + TimeText(due)});
    }
    if (request.answers == 0) {
      continue;
    }
    if (const auto* answer = std::get_if<JobAnswer>(&request.outcome)) {
      CheckAnswer(job, request, *answer, found);
      CheckAnswerHappened(history, request, found);
    }
  }
}

// Whether a request other than `refused` may be the cause of a start at `at`:
// it was sent before, and had no final answer before the start.
bool AnotherMayCause(const History& history,
                     const RequestRecord& refused,
                     VirtualUs at) {
  return std::any_of(history.requests.begin(), history.requests.end(),
                     [&](const RequestRecord& other) {
                       return !other.cancels && other.token != refused.token &&
                              other.key == refused.key && other.sent <= at &&
                              other.answered >= at;
                     });
}

// Point 4. A start before the refusal makes "not run" a lie about the
// submission, whoever caused it; a start after it needs another request that
// was still open or was sent later.
void CheckNotRun(const History& history, Violations& found) {
  for (const RequestRecord& request : history.requests) {
    const auto* refusal = std::get_if<JobRefusal>(&request.outcome);
    if (request.answers == 0 || refusal == nullptr ||
        refusal->verdict != RunVerdict::kNotRun) {
      continue;
    }
    for (const StartRecord& start : history.starts) {
      if (start.key != request.key ||
          (start.at > request.answered &&
           AnotherMayCause(history, request, start.at))) {
        continue;
      }
      found.push_back({4, RequestText(request) + ": not run (" +
                              std::string(RefusalReasonName(refusal->reason)) +
                              "), but task " + std::to_string(start.index) +
                              " started at " + TimeText(start.at) + " on " +
                              start.worker +
                              (AnotherMayCause(history, request, start.at)
                                   ? " for another request of the same job"
                                   : "")});
      break;
    }
  }
}

// Point 4, the reason: every kind has its row from the start, and every worker
// can run every task, so "never" is a lie, whatever the fault.
void CheckReasons(const History& history, Violations& found) {
  for (const RequestRecord& request : history.requests) {
    const auto* refusal = std::get_if<JobRefusal>(&request.outcome);
    if (request.answers > 0 && refusal != nullptr &&
        (refusal->reason == RefusalReason::kUnknownKind ||
         refusal->reason == RefusalReason::kNoWorkerFits ||
         refusal->reason == RefusalReason::kInvalidRequest)) {
      found.push_back({4, RequestText(request) + ": refused as " +
                              std::string(RefusalReasonName(refusal->reason))});
    }
  }
}

// Point 6: starts on the worker of a leaving agent.
void CheckLeaving(const History& history, Violations& found) {
  for (const StopRecord& stop : history.stops) {
    for (const StartRecord& start : history.starts) {
      if (start.worker == stop.process &&
          start.at > stop.begun + kLeavingGrace && start.at <= stop.ended) {
        found.push_back({6, KeyText(start.key) + " started at " +
                                TimeText(start.at) + " on " + start.worker +
                                ", leaving since " + TimeText(stop.begun)});
      }
    }
  }
}

// Point 7, without other faults: what was open at the stop, through whichever
// entry and on whichever worker, is completed, and the process does end.
void CheckPlannedStops(const History& history, Violations& found) {
  if (history.faulted) {
    return;
  }
  for (const StopRecord& stop : history.stops) {
    if (stop.ended == kNever) {
      found.push_back({7, stop.process + " told to stop at " +
                              TimeText(stop.begun) + " never ended"});
    }
    for (const RequestRecord& request : history.requests) {
      const bool cut_off =
          request.sent < stop.begun && request.answered >= stop.begun &&
          (request.answers == 0 ||
           !std::holds_alternative<JobAnswer>(request.outcome)) &&
          history.jobs.at(request.key).cancelled == kNever;
      if (cut_off) {
        found.push_back({7, RequestText(request) + ": cut off by the stop of " +
                                stop.process + " at " + TimeText(stop.begun)});
      }
    }
  }
}

// One accepted edit, found by the rule "first matching version in log order".
struct AcceptedEdit {
  EditRecord edit;
  uint64_t version = 0;
};

std::vector<AcceptedEdit> AcceptedEdits(const History& history) {
  std::vector<EditRecord> edits = history.edits;
  std::erase_if(edits,
                [](const EditRecord& edit) { return edit.appended == kNever; });
  std::sort(edits.begin(), edits.end(),
            [](const EditRecord& a, const EditRecord& b) {
              return a.offset < b.offset;
            });
  std::map<std::string, uint64_t> versions;
  std::vector<AcceptedEdit> accepted;
  for (const EditRecord& edit : edits) {
    uint64_t& version = versions[edit.kind];
    if (edit.expected_version == version) {
      accepted.push_back({edit, ++version});
    }
  }
  return accepted;
}

bool IsAmong(const std::vector<AcceptedEdit>& accepted,
             const EditRecord& edit) {
  return std::any_of(accepted.begin(), accepted.end(),
                     [&edit](const AcceptedEdit& one) {
                       return one.edit.edit_id == edit.edit_id;
                     });
}

// Point 8, what operators are told: "accepted" and "superseded" agree with the
// log's order, "not appended" is in no log.
void CheckOperatorsTold(const History& history, Violations& found) {
  const std::vector<AcceptedEdit> accepted = AcceptedEdits(history);
  for (const EditRecord& edit : history.edits) {
    if (edit.answers == 0) {
      continue;
    }
    const bool in_force = IsAmong(accepted, edit);
    const bool lie =
        (edit.told == OperatorOutcome::kAccepted && !in_force) ||
        (edit.told == OperatorOutcome::kSuperseded && in_force) ||
        (edit.told == OperatorOutcome::kInvalid && in_force) ||
        (edit.told == OperatorOutcome::kNotAppended && edit.appended != kNever);
    if (lie || edit.answers > 1) {
      found.push_back({8, edit.edit_id + " of row " + edit.kind + ": told " +
                              std::to_string(static_cast<int>(edit.told)) +
                              " in " + std::to_string(edit.answers) +
                              " answers, but " +
                              (in_force ? "accepted" : "not accepted")});
    }
  }
}

// Whether the fault kept the process from hearing of the edit in time.
bool Excused(const History& history,
             const std::string& process,
             VirtualUs from,
             VirtualUs until) {
  return std::any_of(
      history.outages.begin(), history.outages.end(),
      [&](const OutageRecord& outage) {
        return (outage.process == process || outage.process == "log") &&
               outage.from < until && outage.until > from;
      });
}

// Point 8, in force: at every look later than the grace.
void CheckEditsInForce(const History& history, Violations& found) {
  for (const AcceptedEdit& accepted : AcceptedEdits(history)) {
    const EditRecord& edit = accepted.edit;
    for (const TableSample& sample : history.samples) {
      if (sample.at <= edit.appended + kTableGrace ||
          Excused(history, sample.process, sample.at - kTableGrace,
                  sample.at)) {
        continue;
      }
      const auto it = sample.row_versions.find(edit.kind);
      const uint64_t version = it == sample.row_versions.end() ? 0 : it->second;
      const bool wrong = version < accepted.version ||
                         (version == accepted.version &&
                          sample.weights.at(edit.kind) != edit.weight);
      if (wrong) {
        found.push_back({8, "row " + edit.kind + " version " +
                                std::to_string(accepted.version) + " of " +
                                TimeText(edit.appended) + " not in force at " +
                                sample.process + " at " + TimeText(sample.at)});
        break;
      }
    }
  }
}

// Point 8, never back: over every life of a process.
void CheckVersionsNeverFall(const History& history, Violations& found) {
  std::map<std::string, uint64_t> newest;
  for (const TableSample& sample : history.samples) {
    uint64_t& version = newest[sample.process];
    if (sample.table_version < version) {
      found.push_back({8, "table of " + sample.process + " fell from " +
                              std::to_string(version) + " to " +
                              std::to_string(sample.table_version) + " at " +
                              TimeText(sample.at)});
    }
    version = std::max(version, sample.table_version);
  }
}

// Point 9: what was submitted after all faults had healed.
void CheckTail(const History& history, Violations& found) {
  for (const auto& [key, job] : history.jobs) {
    if (!job.in_tail) {
      continue;
    }
    const bool complete =
        std::any_of(history.requests.begin(), history.requests.end(),
                    [&key = key](const RequestRecord& request) {
                      return request.key == key && request.answers > 0 &&
                             std::holds_alternative<JobAnswer>(request.outcome);
                    });
    if (!complete) {
      found.push_back({9, KeyText(key) + " not answered after all faults"});
    }
  }
}

}  // namespace

std::vector<Violation> CheckHistory(const History& history) {
  Violations found;
  CheckSingleStarts(history, found);
  CheckAnswered(history, found);
  CheckNotRun(history, found);
  CheckReasons(history, found);
  CheckLeaving(history, found);
  CheckPlannedStops(history, found);
  CheckOperatorsTold(history, found);
  CheckEditsInForce(history, found);
  CheckVersionsNeverFall(history, found);
  CheckTail(history, found);
  return found;
}

}  // namespace egretswitch::internal
