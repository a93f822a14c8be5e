#include "trace_file.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "absl/status/status.h"

namespace egretswitch::internal {
namespace {

using Words = std::vector<std::string>;

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

}  // namespace egretswitch::internal
