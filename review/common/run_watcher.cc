// A worker stand-in reports starts; ends are seen by looking at what runs.
#include "run_watcher.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;
using internal::RunKey;
using internal::TaskRef;

constexpr absl::Duration kLookPeriod = absl::Milliseconds(5);

}  // namespace

RunWatcher::RunWatcher(EventLoop& loop,
                       const Workers& workers,
                       CaseRecord& record)
    : m_loop(loop), m_workers(workers), m_record(record) {
  for (size_t i = 0; i < workers.size(); ++i) {
    workers[i]->OnStart([this, i](const RunKey& key) { OnStart(i, key); });
  }
  Look();
}

std::string RunWatcher::Text(const Place& place) const {
  const auto& [key, worker] = place;
  return absl::StrCat("task ", key.task.job, ".0.", key.task.step, ".",
                      key.task.index, " run ", key.run, " on ",
                      m_workers[worker]->incarnation());
}

void RunWatcher::OnStart(size_t worker, const RunKey& key) {
  ++m_starts;
  if (m_traced.contains(key.task.job)) {
    m_seen.insert({key, worker});
    m_last_starts[key.task.job] = EventLoop::MonoNow();
    m_record.Add(absl::StrCat(Text({key, worker}), " starts"));
  }
}

MonoTime RunWatcher::last_start(const std::string& job) const {
  const auto it = m_last_starts.find(job);
  return it == m_last_starts.end() ? absl::ZeroDuration() : it->second;
}

size_t RunWatcher::RunsOf(const std::string& job) const {
  size_t runs = 0;
  for (const auto& [task, places] : RunsByTask()) {
    runs += task.job == job ? places.size() : 0;
  }
  return runs;
}

std::map<TaskRef, std::vector<RunWatcher::Place>> RunWatcher::RunsByTask()
    const {
  std::map<TaskRef, std::vector<Place>> runs;
  for (size_t i = 0; i < m_workers.size(); ++i) {
    for (const auto& [key, done_at] : m_workers[i]->Running()) {
      runs[key.task].push_back({key, i});
    }
  }
  return runs;
}

void RunWatcher::Look() {
  const MonoTime now = EventLoop::MonoNow();
  const auto runs = RunsByTask();
  std::set<Place> present;
  for (const auto& [task, places] : runs) {
    present.insert(places.begin(), places.end());
    if (places.size() < 2) {
      continue;
    }
    const auto [overlap, is_new] = m_overlaps.try_emplace(task, now);
    m_longest_overlap = std::max(m_longest_overlap, now - overlap->second);
    if (is_new) {
      m_record.Break(
          absl::StrCat(Text(places[0]), " beside ", Text(places[1])));
    }
  }
  for (auto it = m_seen.begin(); it != m_seen.end();) {
    const auto run = it++;
    if (!present.contains(*run)) {
      m_record.Add(absl::StrCat(Text(*run), " is over"));
      m_seen.erase(run);
    }
  }
  m_loop.RunAfter(kLookPeriod, [this] { Look(); });
}

}  // namespace egretswitch::review
