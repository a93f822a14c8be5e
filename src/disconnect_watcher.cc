#include "disconnect_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "internal_assert.h"

namespace egretswitch::internal {
namespace {

constexpr uint64_t kStopId = 0;
constexpr int kEventsPerWait = 64;

}  // namespace

DisconnectWatcher::DisconnectWatcher()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_stop_event(eventfd(0, EFD_CLOEXEC)) {
  InternalAssert(m_epoll >= 0 && m_stop_event >= 0, "cannot create epoll",
                 "disconnect_watcher");
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kStopId;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_stop_event, &event);
  m_thread = std::thread([this] { Run(); });
}

DisconnectWatcher::~DisconnectWatcher() {
  const uint64_t one = 1;
  const ssize_t written = write(m_stop_event, &one, sizeof(one));
  InternalAssert(written == sizeof(one), "cannot wake the thread",
                 "disconnect_watcher");
  m_thread.join();
  close(m_stop_event);
  close(m_epoll);
}

uint64_t DisconnectWatcher::Watch(int fd, std::function<void()> on_gone) {
  const std::lock_guard lock(m_mutex);
  const uint64_t id = ++m_last_id;
  m_watched[id] = {fd, std::move(on_gone)};
  epoll_event event{};
  // One shot: the closed state lasts, and one report is all that is wanted.
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id;
  const int result = epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
  InternalAssert(result == 0, "cannot watch a connection",
                 "disconnect_watcher");
  return id;
}

void DisconnectWatcher::Unwatch(uint64_t id) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_watched.find(id);
  if (it == m_watched.end()) {
    return;
  }
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, it->second.fd, nullptr);
  m_watched.erase(it);
}

void DisconnectWatcher::Run() {
  epoll_event events[kEventsPerWait];
  while (true) {
    const int count = epoll_wait(m_epoll, events, kEventsPerWait, -1);
    InternalAssert(count >= 0 || errno == EINTR, "epoll_wait failed",
                   "disconnect_watcher");
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kStopId) {
        return;
      }
      Report(events[i].data.u64);
    }
  }
}

void DisconnectWatcher::Report(uint64_t id) {
  std::function<void()> on_gone;
  {
    const std::lock_guard lock(m_mutex);
    const auto it = m_watched.find(id);
    if (it == m_watched.end()) {
      return;  // unwatched after epoll had reported it
    }
    on_gone = it->second.on_gone;
  }
  // Without the lock: the callback will call Unwatch().
  on_gone();
}

}  // namespace egretswitch::internal
