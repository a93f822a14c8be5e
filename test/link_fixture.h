// Hubs that share one loop and write down what happens to them.
//
//   TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
//   entry.Dial({agent.Address()});
//   DriveUntil([&] { return entry.IsUp(agent); });
#ifndef EGRETSWITCH_TEST_LINK_FIXTURE_H_
#define EGRETSWITCH_TEST_LINK_FIXTURE_H_

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/functional/function_ref.h"
#include "event_loop.h"
#include "link_hub.h"
#include "tcp_socket.h"

namespace egretswitch::internal {

struct TestHub {
  Hello hello;
  std::unique_ptr<LinkHub> hub;
  std::vector<std::string> lines;  // "up NAME", "down NAME", "refused NAME"
  std::vector<std::string> ended;  // "NAME: reason"
  std::vector<uint64_t> pings;     // sequence numbers, as received
  std::vector<size_t> payload_sizes;
  Hello last_hello;
  uint64_t last_down_incarnation = 0;
  MonoTime last_dialled_at = absl::ZeroDuration();
  uint64_t up_incarnation = 0;  // of the peer that came up last
  std::string last_refused;
  std::function<void()> on_event;

  PeerAddress Address() const {
    return PeerAddress{hello.name, hub->listen_address(), hello.role};
  }
  void Dial(const std::vector<PeerAddress>& targets) {
    hub->SetDialTargets(targets);
  }
  int64_t Count(std::string_view line) const {
    return std::count(lines.begin(), lines.end(), line);
  }
  bool IsUp(const TestHub& peer) const {
    return up_incarnation == peer.hello.incarnation;
  }

  LinkHubEvents Events() {
    LinkHubEvents events;
    events.link_up = [this](const Hello& peer) {
      last_hello = peer;
      up_incarnation = peer.incarnation;
      Add("up " + peer.name);
    };
    events.link_down = [this](const std::string& name, uint64_t incarnation) {
      last_down_incarnation = incarnation;
      up_incarnation = up_incarnation == incarnation ? 0 : up_incarnation;
      Add("down " + name);
    };
    events.refused = [this](const std::string& name, MonoTime dialled_at) {
      last_dialled_at = dialled_at;
      Add("refused " + name);
      last_refused = name;  // the name outlives what on_event did
    };
    events.message = [this](const std::string&, uint64_t, Message message) {
      Take(message);
    };
    events.link_ended = [this](const std::string& name,
                               const absl::Status& reason) {
      ended.push_back(name + ": " + std::string(reason.message()));
    };
    return events;
  }

 private:
  void Add(std::string line) {
    lines.push_back(std::move(line));
    if (on_event) {
      on_event();
    }
  }
  void Take(const Message& message) {
    if (const auto* ping = std::get_if<PeerPing>(&message)) {
      pings.push_back(ping->sequence);
    } else if (const auto* start = std::get_if<StartTasks>(&message)) {
      payload_sizes.push_back(start->tasks.at(0).spec.payload.size());
    }
    if (on_event) {
      on_event();
    }
  }
};

struct LinkFixture {
  static constexpr absl::Duration kCap = absl::Seconds(60);

  EventLoop loop;
  std::vector<std::unique_ptr<TestHub>> hubs;

  TestHub& AddHub(std::string name,
                  ProcessRole role,
                  LinkLimits limits = {},
                  std::string address = "127.0.0.1:0",
                  std::string key = "the key") {
    auto made = std::make_unique<TestHub>();
    made->hello = Hello{.name = std::move(name),
                        .incarnation = hubs.size() + 1,
                        .role = role,
                        .data_centre = "dc-1",
                        .region = "north",
                        .slots = 8,
                        .capacity = {},
                        .memory_since_ms = 0};
    made->hub = std::make_unique<LinkHub>(
        loop,
        LinkHubOptions{.self = made->hello,
                       .listen_address = std::move(address),
                       .shared_key = std::move(key),
                       .limits = limits},
        made->Events());
    const absl::Status status = made->hub->Listen();
    BOOST_TEST_REQUIRE(status.ok(), status.ToString());
    hubs.push_back(std::move(made));
    return *hubs.back();
  }

  // Fails the test when `done` does not come true.
  void DriveUntil(absl::FunctionRef<bool()> done) {
    BOOST_TEST_REQUIRE(loop.RunUntil(done, kCap),
                       "the condition did not come true");
  }

  // An address where nothing listens: bound to a free port, then closed.
  static std::string UnusedAddress() {
    const UniqueFd fd = *ListenTcp(*ParseSocketAddress("127.0.0.1:0"));
    return BoundAddress(fd.get());
  }
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_LINK_FIXTURE_H_
