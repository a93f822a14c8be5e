// Two or more hubs of one loop talk over loopback: links come up, carry
// messages in order, are replaced, refused and lost as link_hub.h says.
#include "link_hub.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "link_fixture.h"

namespace egretswitch::internal {

namespace {

using Lines = std::vector<std::string>;

// A message with a payload of `size` bytes.
StartTasks StartOf(size_t size) {
  StartTasks start;
  start.tasks.emplace_back().spec.payload.assign(size, 'x');
  return start;
}

// TCP_KEEPIDLE of every connected TCP socket of this process.
std::vector<int> KeepaliveIdleSeconds() {
  constexpr int kLargestFd = 1024;
  std::vector<int> found;
  for (int fd = 0; fd < kLargestFd; ++fd) {
    sockaddr_storage peer = {};
    socklen_t length = sizeof(peer);
    int seconds = 0;
    socklen_t size = sizeof(seconds);
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) == 0 &&
        ::getsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, &size) == 0) {
      found.push_back(seconds);
    }
  }
  return found;
}

BOOST_FIXTURE_TEST_SUITE(link_hub, LinkFixture)

BOOST_AUTO_TEST_CASE(link_to_agent_is_probed_after_thirty_idle_seconds) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  BOOST_TEST((KeepaliveIdleSeconds() == std::vector<int>{30, 30}));
}

BOOST_AUTO_TEST_CASE(link_between_entries_is_probed_after_two_idle_seconds) {
  TestHub& first = AddHub("entry-a", ProcessRole::kEntry);
  TestHub& second = AddHub("entry-b", ProcessRole::kEntry);
  first.Dial({second.Address()});
  DriveUntil([&] { return first.IsUp(second) && second.IsUp(first); });
  BOOST_TEST((KeepaliveIdleSeconds() == std::vector<int>{2, 2}));
}

BOOST_AUTO_TEST_CASE(link_both_sides_up_after_hello) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  BOOST_TEST((entry.lines == Lines{"up agent-3"}));
  BOOST_TEST((agent.lines == Lines{"up entry-a"}));
}

BOOST_AUTO_TEST_CASE(hello_all_fields_reach_the_peer) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  BOOST_TEST(entry.last_hello.incarnation == agent.hello.incarnation);
  BOOST_TEST((entry.last_hello.role == ProcessRole::kAgent));
  BOOST_TEST(entry.last_hello.slots == agent.hello.slots);
}

BOOST_AUTO_TEST_CASE(messages_ten_thousand_each_way_stay_in_order) {
  constexpr uint64_t kCount = 10'000;
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  for (uint64_t i = 0; i < kCount; ++i) {
    entry.hub->Send("agent-3", PeerPing{i, {}});
    agent.hub->Send("entry-a", PeerPing{i, {}});
  }
  DriveUntil([&] {
    return entry.pings.size() == kCount && agent.pings.size() == kCount;
  });
  for (uint64_t i = 0; i < kCount; ++i) {
    BOOST_TEST_REQUIRE(entry.pings[i] == i);
    BOOST_TEST_REQUIRE(agent.pings[i] == i);
  }
}

BOOST_AUTO_TEST_CASE(messages_large_and_small_mixed_arrive_whole) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  const std::vector<size_t> sizes = {1, 3u << 20, 0, 15u << 20, 70'000, 2};
  for (const size_t size : sizes) {
    entry.hub->Send("agent-3", StartOf(size));
  }
  DriveUntil([&] { return agent.payload_sizes.size() == sizes.size(); });
  BOOST_TEST((agent.payload_sizes == sizes));
}

BOOST_AUTO_TEST_CASE(send_too_large_message_closes_the_link) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  entry.hub->Send("agent-3", StartOf(kMaxMessageBytes));
  BOOST_TEST(entry.IsUp(agent));  // no event within Send()
  DriveUntil([&] { return entry.Count("down agent-3") == 1; });
}

BOOST_AUTO_TEST_CASE(send_beyond_the_queue_bound_closes_the_link) {
  LinkLimits limits;
  limits.max_queued_bytes = 1'000;
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry, limits);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  for (int i = 0; i < 1'000; ++i) {
    entry.hub->Send("agent-3", PeerPing{});
  }
  DriveUntil([&] { return entry.Count("down agent-3") == 1; });
  BOOST_TEST(agent.pings.empty());
}

BOOST_AUTO_TEST_CASE(send_without_link_is_dropped) {
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.hub->Send("agent-3", PeerPing{});
  BOOST_TEST(entry.hub->counters().messages_out == 0);
}

BOOST_AUTO_TEST_CASE(close_all_at_one_side_is_link_down_at_the_other) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  entry.hub->Send("agent-3", PeerPing{1, {}});
  entry.hub->CloseAll();
  DriveUntil([&] { return agent.Count("down entry-a") == 1; });
  BOOST_TEST((agent.lines == Lines{"up entry-a", "down entry-a"}));
  BOOST_TEST(agent.pings.size() == 1);  // what was queued still came
  BOOST_TEST((entry.lines == Lines{"up agent-3"}));
}

BOOST_AUTO_TEST_CASE(dial_closed_port_is_refused_again_and_again) {
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  const MonoTime before = EventLoop::MonoNow();
  entry.Dial({{"agent-3", UnusedAddress(), ProcessRole::kAgent}});
  BOOST_TEST(entry.lines.empty());  // no event within SetDialTargets()
  DriveUntil([&] { return entry.Count("refused agent-3") >= 3; });
  BOOST_TEST((entry.last_dialled_at >= before));
  BOOST_TEST((entry.last_dialled_at <= EventLoop::MonoNow()));
}

BOOST_AUTO_TEST_CASE(dial_target_that_starts_later_comes_up) {
  const std::string address = UnusedAddress();
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({{"agent-3", address, ProcessRole::kAgent}});
  DriveUntil([&] { return entry.Count("refused agent-3") >= 1; });
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent, {}, address);
  DriveUntil([&] { return entry.IsUp(agent); });
}

BOOST_AUTO_TEST_CASE(link_lost_is_dialled_again) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  const std::string address = agent.hub->listen_address();
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  agent.hub->CloseAll();
  DriveUntil([&] { return entry.Count("refused agent-3") >= 1; });
  AddHub("agent-3", ProcessRole::kAgent, {}, address);
  DriveUntil([&] { return entry.Count("up agent-3") == 2; });
}

BOOST_AUTO_TEST_CASE(link_newer_of_same_name_replaces_the_older) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& first = AddHub("entry-a", ProcessRole::kEntry);
  first.Dial({agent.Address()});
  DriveUntil([&] { return agent.IsUp(first); });
  TestHub& second = AddHub("entry-a", ProcessRole::kEntry);
  second.Dial({agent.Address()});
  DriveUntil([&] { return agent.IsUp(second); });
  BOOST_TEST(
      (agent.lines == Lines{"up entry-a", "down entry-a", "up entry-a"}));
  BOOST_TEST(agent.last_down_incarnation == first.hello.incarnation);
  BOOST_TEST(agent.hub->links_up() == 1);
}

BOOST_AUTO_TEST_CASE(dial_address_of_another_name_never_comes_up) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  PeerAddress wrong = agent.Address();
  wrong.name = "agent-4";
  entry.Dial({wrong});
  DriveUntil([&] { return entry.ended.size() >= 2; });
  BOOST_TEST(entry.lines.empty());
  BOOST_TEST(entry.ended[0] == "agent-4: dialled agent-4, found agent-3");
}

BOOST_AUTO_TEST_CASE(dial_own_name_in_the_list_is_left_out) {
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  entry.Dial({entry.Address(), agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  BOOST_TEST(entry.hub->links_up() == 1);
  BOOST_TEST(entry.ended.empty());
}

BOOST_AUTO_TEST_CASE(dial_unparsable_address_is_reported_with_its_name) {
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({{"agent-3", "localhost:1", ProcessRole::kAgent}});
  DriveUntil([&] { return !entry.ended.empty(); });
  BOOST_TEST(entry.ended[0].find("agent-3: address \"localhost:1\"") == 0);
}

BOOST_AUTO_TEST_CASE(targets_left_out_lose_their_link) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  entry.Dial({agent.Address()});  // the same list again changes nothing
  entry.Dial({});
  BOOST_TEST(entry.IsUp(agent));  // no event within SetDialTargets()
  DriveUntil([&] {
    return entry.Count("down agent-3") == 1 && agent.Count("down entry-a") == 1;
  });
  BOOST_TEST(entry.Count("up agent-3") == 1);
}

BOOST_AUTO_TEST_CASE(entries_smaller_name_dials_and_both_have_one_link) {
  TestHub& a = AddHub("entry-a", ProcessRole::kEntry);
  TestHub& b = AddHub("entry-b", ProcessRole::kEntry);
  b.Dial({a.Address()});
  DriveUntil([&] { return a.hub->counters().connections_accepted >= 2; });
  BOOST_TEST(b.lines.empty());  // it only probes
  a.Dial({b.Address()});
  DriveUntil([&] { return a.IsUp(b) && b.IsUp(a); });
  BOOST_TEST(a.Count("up entry-b") == 1);
  BOOST_TEST(b.Count("up entry-a") == 1);
}

BOOST_AUTO_TEST_CASE(entries_larger_name_learns_of_refusals) {
  TestHub& a = AddHub("entry-a", ProcessRole::kEntry);
  TestHub& b = AddHub("entry-b", ProcessRole::kEntry);
  a.Dial({b.Address()});
  b.Dial({a.Address()});
  DriveUntil([&] { return a.IsUp(b) && b.IsUp(a); });
  a.hub->CloseAll();
  DriveUntil([&] { return b.Count("refused entry-a") >= 2; });
  BOOST_TEST(b.lines[1] == "down entry-a");
}

BOOST_AUTO_TEST_CASE(key_wrong_is_refused_and_never_up) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry =
      AddHub("entry-a", ProcessRole::kEntry, {}, "127.0.0.1:0", "another key");
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.ended.size() >= 2; });
  BOOST_TEST(entry.ended[0] == "agent-3: the peer refuses our shared key");
  BOOST_TEST(agent.ended[0] == ": the peer presents another shared key");
  BOOST_TEST(agent.lines.empty());
  BOOST_TEST(entry.lines.empty());
}

BOOST_AUTO_TEST_CASE(events_may_call_the_hub_from_within) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.on_event = [&] {
    entry.hub->Send("agent-3", PeerPing{1, {}});
    entry.Dial({});
  };
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.Count("down agent-3") == 1; });
  BOOST_TEST(entry.hub->links_up() == 0);
}

BOOST_AUTO_TEST_CASE(close_all_within_a_message_is_safe) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  agent.on_event = [&] { agent.hub->CloseAll(); };
  entry.hub->Send("agent-3", PeerPing{1, {}});
  entry.hub->Send("agent-3", PeerPing{2, {}});
  DriveUntil([&] { return entry.Count("down agent-3") == 1; });
  BOOST_TEST(agent.pings.size() == 1);
}

BOOST_AUTO_TEST_CASE(refused_event_may_drop_its_target) {
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.on_event = [&] { entry.Dial({}); };
  entry.Dial({{"agent-3", UnusedAddress(), ProcessRole::kAgent}});
  DriveUntil([&] { return !entry.lines.empty(); });
  entry.Dial({{"agent-4", UnusedAddress(), ProcessRole::kAgent}});
  DriveUntil([&] { return entry.lines.size() == 2; });
  BOOST_TEST((entry.lines == Lines{"refused agent-3", "refused agent-4"}));
}

BOOST_AUTO_TEST_CASE(refused_event_may_close_all) {
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.on_event = [&] { entry.hub->CloseAll(); };
  entry.Dial({{"agent-3", UnusedAddress(), ProcessRole::kAgent},
              {"agent-4", UnusedAddress(), ProcessRole::kAgent}});
  DriveUntil([&] { return entry.hub->listen_address().empty(); });
  BOOST_TEST(entry.lines.size() == 1);
}

// A link that TCP takes for sound may be dead all the same.
BOOST_AUTO_TEST_CASE(target_dialled_again_gets_a_new_link_in_place_of_the_old) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return entry.IsUp(agent) && agent.IsUp(entry); });
  entry.hub->RedialPeer("agent-3", agent.hello.incarnation + 1);
  entry.hub->RedialPeer("agent-3", agent.hello.incarnation);
  entry.hub->RedialPeer("agent-3", agent.hello.incarnation);
  DriveUntil([&] {
    return entry.Count("up agent-3") == 2 && agent.Count("up entry-a") == 2;
  });
  BOOST_TEST(entry.Count("down agent-3") == 1);
  BOOST_TEST(entry.hub->links_up() == 1u);
  BOOST_TEST(agent.hub->counters().connections_accepted == 2u);
}

// A frozen process accepts a connection and answers nothing on it.
BOOST_AUTO_TEST_CASE(target_that_does_not_answer_a_second_dial_keeps_its_link) {
  LinkLimits limits;
  limits.handshake_timeout = absl::Milliseconds(50);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry, limits);
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  agent.Dial({entry.Address()});
  DriveUntil([&] { return entry.IsUp(agent); });
  const UniqueFd mute = *ListenTcp(*ParseSocketAddress("127.0.0.1:0"));
  PeerAddress target = agent.Address();
  target.address = BoundAddress(mute.get());
  entry.Dial({target});
  entry.hub->RedialPeer("agent-3", agent.hello.incarnation);
  DriveUntil([&] { return !entry.ended.empty(); });
  BOOST_TEST(entry.ended[0] == "agent-3: handshake timeout");
  BOOST_TEST(entry.Count("down agent-3") == 0);
  BOOST_TEST(entry.hub->links_up() == 1u);
}

BOOST_AUTO_TEST_CASE(close_all_while_a_link_is_replaced_is_safe) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& first = AddHub("entry-a", ProcessRole::kEntry);
  first.Dial({agent.Address()});
  DriveUntil([&] { return agent.IsUp(first); });
  agent.on_event = [&] { agent.hub->CloseAll(); };
  TestHub& second = AddHub("entry-a", ProcessRole::kEntry);
  second.Dial({agent.Address()});
  DriveUntil([&] { return agent.hub->listen_address().empty(); });
  BOOST_TEST((agent.lines == Lines{"up entry-a", "down entry-a"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace egretswitch::internal
