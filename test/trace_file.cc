#include "trace_file.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>
#include <utility>
#include <variant>

#include "absl/status/status.h"

namespace egretswitch::internal {
namespace {

using Words = std::vector<std::string>;

constexpr VirtualUs kAfterTrace = Ms(15'000);

// One line's words, taken one after the other; the first error stays.
class LineReader {
 public:
  LineReader(std::string_view file, uint32_t line, Words words)
      : m_file(file), m_line(line), m_words(std::move(words)) {}

  bool AtEnd() const { return m_next == m_words.size(); }
  uint32_t line() const { return m_line; }
  const absl::Status& status() const { return m_status; }

  std::string Word(std::string_view what) {
    if (AtEnd()) {
      Fail("expected " + std::string(what));
      return {};
    }
    return m_words[m_next++];
  }

  uint64_t Number(std::string_view what) { return ToNumber(Word(what), what); }

  // Takes the next word when it is this one.
  bool Take(std::string_view word) {
    if (AtEnd() || m_words[m_next] != word) {
      return false;
    }
    ++m_next;
    return true;
  }

  std::vector<uint32_t> Numbers(std::string_view what) {
    std::vector<uint32_t> numbers;
    std::istringstream list(Word(what));
    for (std::string one; std::getline(list, one, ',');) {
      numbers.push_back(static_cast<uint32_t>(ToNumber(one, what)));
    }
    return numbers;
  }

  // "entry-b" -> 1
  uint32_t Entry() {
    const std::string name = Word("an entry");
    if (name.size() != 7 || !name.starts_with("entry-")) {
      Fail("not an entry: " + name);
      return 0;
    }
    return static_cast<uint32_t>(name.back() - 'a');
  }

  void Fail(const std::string& why) {
    if (m_status.ok()) {
      m_status = absl::InvalidArgumentError(
          std::string(m_file) + ":" + std::to_string(m_line) + ": " + why);
    }
  }

 private:
  uint64_t ToNumber(const std::string& word, std::string_view what) {
    uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(word.data(), word.data() + word.size(), number);
    if (error != std::errc() || end != word.data() + word.size()) {
      Fail("expected " + std::string(what) + ", found " + word);
    }
    return number;
  }

  std::string_view m_file;
  uint32_t m_line;
  Words m_words;
  size_t m_next = 0;
  absl::Status m_status;
};

Words SplitWords(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  Words words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

// ---- Lines ------------------------------------------------------------------

void ReadWorld(LineReader& line, WorldSize& size) {
  while (!line.AtEnd()) {
    const std::string key = line.Word("a key");
    const auto value = static_cast<uint32_t>(line.Number(key));
    if (key == "entries") {
      size.entries = value;
    } else if (key == "agents") {
      size.agents = value;
    } else if (key == "slots") {
      size.slots = value;
    } else if (key == "shards") {
      size.shards = value;
    } else {
      line.Fail("unknown key " + key);
    }
  }
}

// "kind check via entry-a run 60,60 deadline 4000 once"
JobPlan ReadJob(LineReader& line, VirtualUs at) {
  JobPlan job;
  job.at = at;
  while (!line.AtEnd()) {
    const std::string key = line.Word("a key");
    if (key == "kind") {
      job.kind = line.Word("a kind");
    } else if (key == "via") {
      job.entry = line.Entry();
    } else if (key == "run") {
      job.run_ms = line.Numbers("run times in ms");
    } else if (key == "deadline") {
      job.deadline_after = Ms(line.Number("ms"));
    } else if (key == "once") {
      job.repeatable = false;
    } else {
      line.Fail("unknown key " + key);
    }
  }
  if (job.run_ms.empty()) {
    line.Fail("run is missing");
  }
  return job;
}

// "burst 40 mill every 5 kind check run 80": mill-0 to mill-39, 5 ms apart,
// through one entry after the other.
void ReadBurst(LineReader& line, VirtualUs at, Scenario& scenario) {
  const auto count = static_cast<uint32_t>(line.Number("a number of jobs"));
  const std::string prefix = line.Word("a prefix of ids");
  VirtualUs every = 0;
  if (line.Take("every")) {
    every = Ms(line.Number("ms"));
  }
  JobPlan job = ReadJob(line, at);
  for (uint32_t i = 0; i < count; ++i) {
    job.id = prefix + "-" + std::to_string(i);
    job.at = at + i * every;
    job.entry = i % scenario.size.entries;
    scenario.jobs.push_back(job);
  }
}

JobPlan* FindJob(LineReader& line, Scenario& scenario) {
  const std::string id = line.Word("an id");
  const auto it =
      std::find_if(scenario.jobs.begin(), scenario.jobs.end(),
                   [&id](const JobPlan& job) { return job.id == id; });
  if (it == scenario.jobs.end()) {
    line.Fail("no job " + id + " before this line");
    return nullptr;
  }
  return &*it;
}

void ReadEdit(LineReader& line, VirtualUs at, Scenario& scenario) {
  EditPlan edit;
  edit.at = at;
  edit.kind = line.Word("a kind");
  while (!line.AtEnd()) {
    const std::string key = line.Word("a key");
    if (key == "expects") {
      edit.expected_version = line.Number("a version");
    } else if (key == "weight") {
      edit.weight = static_cast<uint32_t>(line.Number("a weight"));
    } else if (key == "via") {
      edit.entry = line.Entry();
    } else {
      line.Fail("unknown key " + key);
    }
  }
  scenario.edits.push_back(edit);
}

void ReadFault(LineReader& line, VirtualUs at, TraceFile& trace) {
  const std::string name = line.Word("a fault");
  const auto kind = FindFault(name);
  if (!kind) {
    line.Fail("unknown fault " + name);
    return;
  }
  trace.faults.push_back(
      {at, *kind, line.AtEnd() ? "" : line.Word("a process")});
}

// What happens at a time.
void ReadAt(LineReader& line, TraceFile& trace) {
  Scenario& scenario = trace.scenario;
  const VirtualUs at = Ms(line.Number("ms"));
  const std::string what = line.Word("an event");
  if (what == "submit") {
    const std::string id = line.Word("an id");
    scenario.jobs.push_back(ReadJob(line, at));
    scenario.jobs.back().id = id;
  } else if (what == "burst") {
    ReadBurst(line, at, scenario);
  } else if (what == "again") {
    if (JobPlan* job = FindJob(line, scenario)) {
      line.Take("via");
      job->resends.push_back({at - job->at, line.Entry()});
    }
  } else if (what == "cancel") {
    if (JobPlan* job = FindJob(line, scenario)) {
      job->cancel_after = at - job->at;
    }
  } else if (what == "stop") {
    scenario.stops.push_back({at, line.Word("a process")});
  } else if (what == "edit") {
    ReadEdit(line, at, scenario);
  } else if (what == "fault") {
    ReadFault(line, at, trace);
  } else {
    line.Fail("unknown event " + what);
  }
}

void ReadExpect(LineReader& line, TraceFile& trace) {
  Expectation expected;
  expected.line = line.line();
  expected.pattern = line.Word("an id");
  const std::string outcome = line.Word("an outcome");
  if (outcome == "complete") {
    expected.outcome = StatedOutcome::kComplete;
  } else if (outcome == "refused") {
    expected.outcome = StatedOutcome::kRefused;
  } else if (outcome != "final") {
    line.Fail("unknown outcome " + outcome);
  }
  while (!line.AtEnd()) {
    const std::string key = line.Word("a key");
    if (key == "within") {
      expected.within = Ms(line.Number("ms"));
    } else if (key == "reason") {
      expected.reason = line.Word("a reason");
    } else if (key == "at_least") {
      expected.at_least = line.Number("a number of jobs");
    } else if (key == "at_most") {
      expected.at_most = line.Number("a number of jobs");
    } else {
      line.Fail("unknown key " + key);
    }
  }
  trace.expectations.push_back(expected);
}

void ReadLine(LineReader& line, TraceFile& trace) {
  const std::string first = line.Word("a line");
  if (first == "trace") {
    trace.scenario.name = line.Word("a name");
  } else if (first == "seed") {
    trace.seed = line.Number("a seed");
  } else if (first == "world") {
    ReadWorld(line, trace.scenario.size);
  } else if (first == "kinds") {
    trace.scenario.kinds.clear();
    while (!line.AtEnd()) {
      trace.scenario.kinds.push_back(line.Word("a kind"));
    }
  } else if (first == "at") {
    ReadAt(line, trace);
  } else if (first == "expect") {
    ReadExpect(line, trace);
  } else {
    line.Fail("unknown line " + first);
  }
}

// ---- Outcomes ---------------------------------------------------------------

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

absl::StatusOr<TraceFile> ReadTrace(std::string_view name,
                                    std::string_view text) {
  TraceFile trace;
  std::istringstream stream{std::string(text)};
  uint32_t number = 0;
  for (std::string line; std::getline(stream, line);) {
    ++number;
    Words words = SplitWords(line);
    if (words.empty()) {
      continue;
    }
    LineReader reader(name, number, std::move(words));
    ReadLine(reader, trace);
    if (!reader.AtEnd()) {
      reader.Fail("too many words");
    }
    if (!reader.status().ok()) {
      return reader.status();
    }
  }
  return trace;
}

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
