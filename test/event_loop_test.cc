// The loop runs what it was given, in order, on its own thread, and nothing
// that was taken back.
#include "event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <thread>
#include <vector>

#include "free_port.h"

namespace egretswitch::internal {

namespace {

constexpr absl::Duration kCap = absl::Seconds(60);

// Readable from the start.
UniqueFd ReadableFd() {
  return UniqueFd(::eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
}

BOOST_AUTO_TEST_SUITE(event_loop)

BOOST_AUTO_TEST_CASE(timers_fire_by_due_time_then_by_age) {
  EventLoop loop;
  std::vector<int> fired;
  loop.RunAfter(absl::Milliseconds(3), [&] { fired.push_back(3); });
  loop.RunAfter(absl::ZeroDuration(), [&] { fired.push_back(1); });
  loop.RunAfter(absl::ZeroDuration(), [&] { fired.push_back(2); });
  BOOST_TEST(loop.RunUntil([&] { return fired.size() == 3; }, kCap));
  BOOST_TEST((fired == std::vector<int>{1, 2, 3}));
}

BOOST_AUTO_TEST_CASE(timer_cancelled_never_fires) {
  EventLoop loop;
  bool cancelled_fired = false;
  bool later_fired = false;
  const EventLoop::TimerId timer =
      loop.RunAfter(absl::ZeroDuration(), [&] { cancelled_fired = true; });
  loop.RunAfter(absl::Milliseconds(1), [&] { later_fired = true; });
  loop.Cancel(timer);
  loop.Cancel(timer);
  BOOST_TEST(loop.RunUntil([&] { return later_fired; }, kCap));
  BOOST_TEST(!cancelled_fired);
}

BOOST_AUTO_TEST_CASE(unwatched_within_the_turn_is_not_called) {
  EventLoop loop;
  std::array<UniqueFd, 2> fds = {ReadableFd(), ReadableFd()};
  int calls = 0;
  for (size_t i = 0; i < fds.size(); ++i) {
    // Whichever comes first puts an unready descriptor in the other's place.
    loop.Watch(fds[i].get(), EPOLLIN, [&, other = 1 - i](uint32_t) {
      ++calls;
      const int number = fds[other].get();
      loop.Unwatch(number);
      fds[other].Close();
      fds[other] = UniqueFd(::eventfd(0, EFD_CLOEXEC));
      BOOST_TEST(fds[other].get() == number);
      loop.Watch(number, EPOLLIN, [&](uint32_t) { calls += 100; });
    });
  }
  BOOST_TEST(loop.RunUntil([&] { return calls > 0; }, kCap));
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(turn_end_comes_after_the_turn_and_may_add_more) {
  EventLoop loop;
  std::vector<int> order;
  loop.RunAfter(absl::ZeroDuration(), [&] {
    loop.AtTurnEnd([&] {
      order.push_back(2);
      loop.AtTurnEnd([&] { order.push_back(3); });
    });
    order.push_back(1);
  });
  BOOST_TEST(loop.RunUntil([&] { return !order.empty(); }, kCap));
  BOOST_TEST((order == std::vector<int>{1, 2, 3}));
}

BOOST_AUTO_TEST_CASE(posted_by_other_threads_runs_on_the_loop_s) {
  EventLoop loop;
  const std::thread::id own = std::this_thread::get_id();
  int ran = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < 100; ++j) {
        loop.Post([&] { ran += std::this_thread::get_id() == own ? 1 : 0; });
      }
    });
  }
  BOOST_TEST(loop.RunUntil([&] { return ran == 400; }, kCap));
  for (std::thread& thread : threads) {
    thread.join();
  }
}

BOOST_AUTO_TEST_CASE(stop_from_another_thread_ends_run) {
  EventLoop loop;
  std::thread stopper;
  loop.Post([&] { stopper = std::thread([&] { loop.Stop(); }); });
  loop.Run();
  stopper.join();
}

BOOST_AUTO_TEST_CASE(stop_before_run_is_not_lost) {
  EventLoop loop;
  bool ran_on = false;
  loop.RunAfter(absl::Milliseconds(1), [&] {
    ran_on = true;
    loop.Stop();
  });
  loop.Stop();
  loop.Run();
  BOOST_TEST(!ran_on);
}

BOOST_AUTO_TEST_CASE(run_until_false_at_the_cap) {
  EventLoop loop;
  BOOST_TEST(!loop.RunUntil([] { return false; }, absl::Milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(free_port)

// Guards against a long soak that ends by itself once its block of ports has
// been given out.
BOOST_AUTO_TEST_CASE(block_given_out_once_is_given_out_again) {
  constexpr int kMoreThanABlock = 1000;
  for (int i = 0; i < kMoreThanABlock; ++i) {
    BOOST_REQUIRE(FreePort() != 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace egretswitch::internal
