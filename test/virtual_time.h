// A clock that runs only from one event to the next, and the queue behind it.
//
//   VirtualTime time(7);                       // seed of every random draw
//   time.After(Ms(5), [] { ... });
//   time.RunUntil(Ms(100));
//
// Events of one moment run in the order in which they were scheduled, so a run
// is decided by its seed alone.
#ifndef EGRETSWITCH_TEST_VIRTUAL_TIME_H_
#define EGRETSWITCH_TEST_VIRTUAL_TIME_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace egretswitch::internal {

// Microseconds since the start of the run.
using VirtualUs = int64_t;

constexpr VirtualUs Ms(int64_t ms) {
  return ms * 1000;
}

class VirtualTime {
 public:
  using Task = std::function<void()>;

  explicit VirtualTime(uint64_t seed) : m_random(seed) {}

  VirtualUs now() const { return m_now; }

  void At(VirtualUs at, Task task) {
    m_queue.push_back({std::max(at, m_now), m_next++, std::move(task)});
    std::push_heap(m_queue.begin(), m_queue.end(), Later);
  }
  void After(VirtualUs delay, Task task) { At(m_now + delay, std::move(task)); }

  // Runs everything up to and including `until`.
  void RunUntil(VirtualUs until) {
    while (!m_queue.empty() && m_queue.front().at <= until) {
      std::pop_heap(m_queue.begin(), m_queue.end(), Later);
      Scheduled next = std::move(m_queue.back());
      m_queue.pop_back();
      m_now = next.at;
      next.task();
    }
    m_now = std::max(m_now, until);
  }

  // A draw from low to high, both included.
  int64_t Random(int64_t low, int64_t high) {
    return low + static_cast<int64_t>(m_random() %
                                      static_cast<uint64_t>(high - low + 1));
  }

 private:
  struct Scheduled {
    VirtualUs at;
    uint64_t sequence;
    Task task;
  };
  static bool Later(const Scheduled& a, const Scheduled& b) {
    return std::pair(a.at, a.sequence) > std::pair(b.at, b.sequence);
  }

  VirtualUs m_now = 0;
  uint64_t m_next = 0;
  std::vector<Scheduled> m_queue;
  std::mt19937_64 m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_VIRTUAL_TIME_H_
