// One thread that runs functions when they fall due.
//
//   TimerThread timers;
//   timers.RunAt(now + 4ms, [] { ... });
#ifndef EGRETSWITCH_STAND_INS_TIMER_THREAD_H_
#define EGRETSWITCH_STAND_INS_TIMER_THREAD_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace egretswitch::stand_ins {

using SteadyClock = std::chrono::steady_clock;

class TimerThread {
 public:
  TimerThread();
  // Functions that are not due yet are dropped.
  ~TimerThread();
  TimerThread(const TimerThread&) = delete;
  TimerThread& operator=(const TimerThread&) = delete;

  void RunAt(SteadyClock::time_point due, std::function<void()> function);

 private:
  struct Timer {
    SteadyClock::time_point due;
    uint64_t sequence;  // keeps the order of equal due times
    std::function<void()> function;
  };
  static bool Later(const Timer& a, const Timer& b);

  void Run();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<Timer> m_heap;
  uint64_t m_next_sequence = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_TIMER_THREAD_H_
