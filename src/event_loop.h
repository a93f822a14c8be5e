// A single-threaded loop over epoll: descriptors, timers, and callbacks posted
// from other threads.
//
//   loop.Watch(fd, EPOLLIN, [&](uint32_t events) { ... });
//   loop.RunAfter(absl::Milliseconds(100), [&] { loop.Stop(); });
//   loop.Run();
#ifndef EGRETSWITCH_SRC_EVENT_LOOP_H_
#define EGRETSWITCH_SRC_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "clock.h"
#include "unique_fd.h"

namespace egretswitch::internal {

// Every member but Post() and Stop() belongs to the thread that runs the loop.
// A turn: descriptors that are ready, posted callbacks, timers that are due,
// then the callbacks given to AtTurnEnd().
class EventLoop {
 public:
  using Callback = std::function<void()>;
  using FdCallback = std::function<void(uint32_t events)>;
  using TimerId = uint64_t;  // 0 names no timer

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // CLOCK_BOOTTIME, which also counts while the host is suspended.
  static MonoTime MonoNow();
  // Milliseconds since the Unix epoch.
  static int64_t WallNowMs();
  static Now ReadClocks();

  // Level-triggered. `events` are EPOLL* bits. The descriptor stays the
  // caller's, who calls Unwatch() before closing it.
  void Watch(int fd, uint32_t events, FdCallback callback);
  void Modify(int fd, uint32_t events);
  void Unwatch(int fd);
  // The same for a descriptor that its owner may have closed already.
  void UnwatchClosed(int fd);

  TimerId RunAfter(absl::Duration delay, Callback callback);
  // Harmless for a timer that has fired or was cancelled.
  void Cancel(TimerId timer);

  // Runs `callback` once, before the loop waits again.
  void AtTurnEnd(Callback callback);

  // Thread-safe.
  void Post(Callback callback);
  void Stop();

  // Until Stop(), also one that came before.
  void Run();

  // Until `done`, which is asked after each turn, or `cap` has passed. Returns
  // what `done` said last.
  bool RunUntil(absl::FunctionRef<bool()> done, absl::Duration cap);

 private:
  struct WatchRecord {
    int fd = -1;
    FdCallback callback;
  };
  struct TimerKey {
    MonoTime due;
    TimerId id = 0;
    bool operator<(const TimerKey& other) const {
      return due != other.due ? due < other.due : id < other.id;
    }
  };

  void Forget(int fd);
  void RunTurn(absl::Duration longest_wait);
  int WaitMs(absl::Duration longest_wait) const;
  void DispatchReady(int wait_ms);
  void RunDueTimers();
  void RunPosted();
  void RunTurnEnd();
  void Wake();

  UniqueFd m_epoll;
  UniqueFd m_wake;  // eventfd
  // Watches by a number that is never used again, so that an event which was
  // ready for a closed descriptor cannot reach its successor.
  std::unordered_map<uint64_t, std::shared_ptr<WatchRecord>> m_watches;
  std::unordered_map<int, uint64_t> m_watch_by_fd;
  uint64_t m_next_watch = 1;

  std::map<TimerKey, Callback> m_timers;
  std::unordered_map<TimerId, MonoTime> m_due_by_timer;
  TimerId m_next_timer = 1;

  std::vector<Callback> m_turn_end;
  std::mutex m_posted_mutex;
  std::vector<Callback> m_posted;  // guarded by m_posted_mutex
  std::atomic<bool> m_stopped = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_EVENT_LOOP_H_
