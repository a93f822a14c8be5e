#include "timer_thread.h"

#include <algorithm>
#include <tuple>

namespace egretswitch::stand_ins {

TimerThread::TimerThread() : m_thread([this] { Run(); }) {}

TimerThread::~TimerThread() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_one();
  m_thread.join();
}

void TimerThread::RunAt(SteadyClock::time_point due,
                        std::function<void()> function) {
  bool is_first = false;
  {
    const std::lock_guard lock(m_mutex);
    is_first = m_heap.empty() || due < m_heap.front().due;
    m_heap.push_back({due, m_next_sequence++, std::move(function)});
    std::push_heap(m_heap.begin(), m_heap.end(), Later);
  }
  if (is_first) {
    m_changed.notify_one();
  }
}

bool TimerThread::Later(const Timer& a, const Timer& b) {
  return std::tie(a.due, a.sequence) > std::tie(b.due, b.sequence);
}

void TimerThread::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    if (m_heap.empty()) {
      m_changed.wait(lock);
      continue;
    }
    // A copy: the wait lets go of the lock and the heap may move.
    const SteadyClock::time_point due = m_heap.front().due;
    if (due > SteadyClock::now()) {
      m_changed.wait_until(lock, due);
      continue;
    }
    std::pop_heap(m_heap.begin(), m_heap.end(), Later);
    const std::function<void()> function = std::move(m_heap.back().function);
    m_heap.pop_back();
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace egretswitch::stand_ins
