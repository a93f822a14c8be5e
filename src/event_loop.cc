// One turn handles at most kEventsPerTurn descriptors, so that timers and
// flushes are never far away under load.
//
//   turn: epoll_wait -> callbacks -> posted -> timers -> turn end
#include "event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/time/clock.h"
#include "internal_assert.h"

namespace egretswitch::internal {

namespace {

constexpr int kEventsPerTurn = 256;
constexpr uint64_t kWakeWatch = 0;

void ControlEpoll(int epoll, int operation, int fd, epoll_event* event) {
  const int rc = ::epoll_ctl(epoll, operation, fd, event);
  InternalAssert(rc == 0, "epoll_ctl failed", std::strerror(errno));
}

}  // namespace

EventLoop::EventLoop()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC)),
      m_wake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  InternalAssert(m_epoll && m_wake, "epoll or eventfd failed",
                 std::strerror(errno));
  epoll_event event{.events = EPOLLIN, .data = {.u64 = kWakeWatch}};
  ControlEpoll(m_epoll.get(), EPOLL_CTL_ADD, m_wake.get(), &event);
}

EventLoop::~EventLoop() = default;

MonoTime EventLoop::MonoNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::DurationFromTimespec(now);
}

int64_t EventLoop::WallNowMs() {
  return absl::ToUnixMillis(absl::Now());
}

Now EventLoop::ReadClocks() {
  return Now{.mono = MonoNow(), .wall_ms = WallNowMs()};
}

void EventLoop::Watch(int fd, uint32_t events, FdCallback callback) {
  const uint64_t id = m_next_watch++;
  epoll_event event{.events = events, .data = {.u64 = id}};
  ControlEpoll(m_epoll.get(), EPOLL_CTL_ADD, fd, &event);
  auto record = std::make_shared<WatchRecord>();
  record->fd = fd;
  record->callback = std::move(callback);
  m_watches.emplace(id, std::move(record));
  m_watch_by_fd[fd] = id;
}

void EventLoop::Modify(int fd, uint32_t events) {
  const auto it = m_watch_by_fd.find(fd);
  InternalAssert(it != m_watch_by_fd.end(), "descriptor is not watched",
                 std::to_string(fd));
  epoll_event event{.events = events, .data = {.u64 = it->second}};
  ControlEpoll(m_epoll.get(), EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::Unwatch(int fd) {
  if (m_watch_by_fd.contains(fd)) {
    ControlEpoll(m_epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
    Forget(fd);
  }
}

// The kernel forgets a closed descriptor by itself, so that a failure to remove
// it says nothing.
void EventLoop::UnwatchClosed(int fd) {
  if (m_watch_by_fd.contains(fd)) {
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
    Forget(fd);
  }
}

void EventLoop::Forget(int fd) {
  const auto it = m_watch_by_fd.find(fd);
  m_watches.erase(it->second);
  m_watch_by_fd.erase(it);
}

EventLoop::TimerId EventLoop::RunAfter(absl::Duration delay,
                                       Callback callback) {
  const TimerId id = m_next_timer++;
  const MonoTime due = MonoNow() + delay;
  m_timers.emplace(TimerKey{due, id}, std::move(callback));
  m_due_by_timer.emplace(id, due);
  return id;
}

void EventLoop::Cancel(TimerId timer) {
  const auto it = m_due_by_timer.find(timer);
  if (it != m_due_by_timer.end()) {
    m_timers.erase(TimerKey{it->second, timer});
    m_due_by_timer.erase(it);
  }
}

void EventLoop::AtTurnEnd(Callback callback) {
  m_turn_end.push_back(std::move(callback));
}

void EventLoop::Post(Callback callback) {
  {
    const std::lock_guard lock(m_posted_mutex);
    m_posted.push_back(std::move(callback));
  }
  Wake();
}

void EventLoop::Stop() {
  m_stopped = true;
  Wake();
}

void EventLoop::Wake() {
  const uint64_t one = 1;
  // A full counter is as good as a written one: the loop wakes either way.
  [[maybe_unused]] const ssize_t rc = ::write(m_wake.get(), &one, sizeof(one));
}

void EventLoop::Run() {
  // A Stop() that came before is kept.
  while (!m_stopped.exchange(false)) {
    RunTurn(absl::InfiniteDuration());
  }
}

bool EventLoop::RunUntil(absl::FunctionRef<bool()> done, absl::Duration cap) {
  const MonoTime end = MonoNow() + cap;
  while (!done()) {
    const absl::Duration left = end - MonoNow();
    if (left <= absl::ZeroDuration()) {
      return false;
    }
    RunTurn(left);
  }
  return true;
}

void EventLoop::RunTurn(absl::Duration longest_wait) {
  DispatchReady(WaitMs(longest_wait));
  RunDueTimers();
  RunTurnEnd();
}

// Rounded up to whole milliseconds, so that a timer is due when the wait ends.
int EventLoop::WaitMs(absl::Duration longest_wait) const {
  if (!m_turn_end.empty()) {
    return 0;
  }
  absl::Duration wait = longest_wait;
  if (!m_timers.empty()) {
    wait = std::min(wait, m_timers.begin()->first.due - MonoNow());
  }
  if (wait == absl::InfiniteDuration()) {
    return -1;
  }
  const int64_t ms =
      absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1)));
  return static_cast<int>(std::clamp<int64_t>(ms, 0, 3'600'000));
}

void EventLoop::DispatchReady(int wait_ms) {
  std::array<epoll_event, kEventsPerTurn> events;
  const int count =
      ::epoll_wait(m_epoll.get(), events.data(), kEventsPerTurn, wait_ms);
  bool woken = false;
  for (int i = 0; i < count; ++i) {
    if (events[i].data.u64 == kWakeWatch) {
      woken = true;
      continue;
    }
    const auto it = m_watches.find(events[i].data.u64);
    if (it != m_watches.end()) {
      // The copy keeps the callback alive when it unwatches itself.
      const std::shared_ptr<WatchRecord> record = it->second;
      record->callback(events[i].events);
    }
  }
  if (woken) {
    RunPosted();
  }
}

void EventLoop::RunDueTimers() {
  if (m_timers.empty()) {
    return;
  }
  const MonoTime now = MonoNow();
  while (!m_timers.empty() && m_timers.begin()->first.due <= now) {
    auto timer = m_timers.extract(m_timers.begin());
    m_due_by_timer.erase(timer.key().id);
    timer.mapped()();
  }
}

void EventLoop::RunPosted() {
  uint64_t wakes = 0;
  [[maybe_unused]] const ssize_t rc =
      ::read(m_wake.get(), &wakes, sizeof(wakes));
  std::vector<Callback> posted;
  {
    const std::lock_guard lock(m_posted_mutex);
    posted.swap(m_posted);
  }
  for (const Callback& callback : posted) {
    callback();
  }
}

// Callbacks may add more; one that always adds another would hang the loop.
void EventLoop::RunTurnEnd() {
  while (!m_turn_end.empty()) {
    std::vector<Callback> callbacks;
    callbacks.swap(m_turn_end);
    for (const Callback& callback : callbacks) {
      callback();
    }
  }
}

}  // namespace egretswitch::internal
