#include "record.h"

#include <iostream>

#include "absl/strings/str_cat.h"
#include "event_loop.h"

namespace egretswitch::review {

using internal::EventLoop;

Record::Record(const std::string& path)
    : m_begin(EventLoop::MonoNow()), m_file(path) {}

void Record::Write(const std::string& what) {
  const int64_t ms = absl::ToInt64Milliseconds(EventLoop::MonoNow() - m_begin);
  m_file << ms << " ms: " << what << std::endl;
}

void Record::Note(const std::string& what) {
  const std::lock_guard lock(m_mutex);
  Write(what);
}

void Record::Break(const std::string& what) {
  const std::lock_guard lock(m_mutex);
  m_broken = true;
  Write("BROKEN: " + what);
  std::cout << "broken: " << what << std::endl;
}

void Record::RunStarted(const StartedRun& run) {
  const std::lock_guard lock(m_mutex);
  m_starts.push_back(run);
  Write(absl::StrCat("run of ", run.task, " begins at ", run.worker));
}

bool Record::broken() const {
  const std::lock_guard lock(m_mutex);
  return m_broken;
}

std::vector<StartedRun> Record::StartsOf(const std::string& job,
                                         MonoTime after) const {
  const std::lock_guard lock(m_mutex);
  std::vector<StartedRun> starts;
  for (const StartedRun& run : m_starts) {
    if (run.job == job && run.at > after) {
      starts.push_back(run);
    }
  }
  return starts;
}

}  // namespace egretswitch::review
