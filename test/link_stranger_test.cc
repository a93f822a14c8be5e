// What a stranger on the internal port can do: be dropped, at bounded cost,
// while the links of others go on.
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http2_pipe.h"
#include "link_fixture.h"
#include "shared_key.h"

namespace egretswitch::internal {

namespace {

// A plain connection to a hub.
class Stranger {
 public:
  explicit Stranger(const TestHub& hub)
      : m_fd(*ConnectTcp(*ParseSocketAddress(hub.hub->listen_address()))) {}

  // Sends what the socket takes now.
  void Write(std::string_view bytes) {
    ::send(m_fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  bool IsClosed() {
    char buffer[4096];
    ssize_t size = 0;
    while ((size = ::recv(m_fd.get(), buffer, sizeof(buffer), 0)) > 0) {
      received.append(buffer, static_cast<size_t>(size));
    }
    return size == 0 || (errno != EAGAIN && errno != ENOTCONN);
  }

  std::string received;

 private:
  UniqueFd m_fd;
};

// A client that keeps to HTTP/2 and says what the test wants in it.
struct PipeStranger : Http2PipeDelegate {
  explicit PipeStranger(const TestHub& hub)
      : stranger(hub), pipe(PipeSide::kClient, "the key", *this) {}

  void OnPipeOpen() override {}
  void OnPipeData(std::string_view) override {}

  bool Exchange() {
    const bool closed = stranger.IsClosed();
    static_cast<void>(pipe.Receive(stranger.received));
    stranger.received.clear();
    std::string bytes;
    static_cast<void>(pipe.Produce(&bytes, 1u << 20));
    stranger.Write(bytes);
    return closed;
  }

  Stranger stranger;
  Http2Pipe pipe;
};

Hello HelloOf(std::string name) {
  Hello hello;
  hello.name = std::move(name);
  return hello;
}

LinkLimits ShortHandshake() {
  LinkLimits limits;
  limits.handshake_timeout = absl::Milliseconds(20);
  return limits;
}

BOOST_FIXTURE_TEST_SUITE(link_stranger, LinkFixture)

BOOST_AUTO_TEST_CASE(garbage_is_dropped_and_the_other_link_goes_on) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  TestHub& entry = AddHub("entry-a", ProcessRole::kEntry);
  entry.Dial({agent.Address()});
  DriveUntil([&] { return agent.IsUp(entry); });
  Stranger stranger(agent);
  stranger.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  DriveUntil([&] { return stranger.IsClosed(); });
  entry.hub->Send("agent-3", PeerPing{5, {}});
  DriveUntil([&] { return agent.pings.size() == 1; });
  BOOST_TEST((agent.lines == std::vector<std::string>{"up entry-a"}));
}

BOOST_AUTO_TEST_CASE(garbage_after_the_preface_is_dropped) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  Stranger stranger(agent);
  stranger.Write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(999, '\xee'));
  DriveUntil([&] { return stranger.IsClosed(); });
  BOOST_TEST(agent.lines.empty());
}

BOOST_AUTO_TEST_CASE(silence_is_dropped_after_the_handshake_timeout) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent, ShortHandshake());
  Stranger stranger(agent);
  DriveUntil([&] { return stranger.IsClosed(); });
  BOOST_TEST(agent.ended.at(0) == ": handshake timeout");
}

BOOST_AUTO_TEST_CASE(slow_sender_is_dropped_after_the_handshake_timeout) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent, ShortHandshake());
  Stranger stranger(agent);
  const std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  size_t sent = 0;
  DriveUntil([&] {
    stranger.Write(preface.substr(sent, 1));
    sent = std::min(sent + 1, preface.size());
    return stranger.IsClosed();
  });
  BOOST_TEST(agent.ended.at(0) == ": handshake timeout");
}

BOOST_AUTO_TEST_CASE(handshake_beyond_its_bound_is_dropped) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  Stranger stranger(agent);
  // Ignored frames of an unknown type, 16 KB each.
  std::string frame("\x00\x40\x00\x42\x00\x00\x00\x00\x00", 9);
  frame += std::string(0x4000, 'x');
  stranger.Write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                 std::string("\0\0\0\x04\0\0\0\0\0", 9));
  DriveUntil([&] {
    stranger.Write(frame);
    return stranger.IsClosed();
  });
  BOOST_TEST(agent.ended.at(0) == ": too many bytes for a handshake");
}

BOOST_AUTO_TEST_CASE(handshakes_beyond_their_number_drop_the_oldest) {
  LinkLimits limits;
  limits.max_handshakes = 2;
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent, limits);
  Stranger first(agent);
  DriveUntil([&] { return agent.hub->counters().connections_accepted == 1; });
  Stranger second(agent);
  Stranger third(agent);
  DriveUntil([&] { return first.IsClosed(); });
  BOOST_TEST(!second.IsClosed());
  BOOST_TEST(!third.IsClosed());
}

BOOST_AUTO_TEST_CASE(first_message_other_than_hello_is_dropped) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  PipeStranger stranger(agent);
  BOOST_TEST(AppendFrame(PeerPing{}, &stranger.pipe.outgoing()).ok());
  DriveUntil([&] { return stranger.Exchange(); });
  BOOST_TEST(agent.ended.at(0) == ": the first message is not Hello");
}

BOOST_AUTO_TEST_CASE(hello_of_the_hub_s_own_name_is_dropped) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  PipeStranger stranger(agent);
  BOOST_TEST(AppendFrame(HelloOf("agent-3"), &stranger.pipe.outgoing()).ok());
  DriveUntil([&] { return stranger.Exchange(); });
  BOOST_TEST(agent.lines.empty());
}

BOOST_AUTO_TEST_CASE(garbage_message_of_a_linked_peer_drops_its_link) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  PipeStranger stranger(agent);
  std::string& wire = stranger.pipe.outgoing();
  BOOST_TEST(AppendFrame(HelloOf("entry-z"), &wire).ok());
  wire += std::string("\0\0\0\x03\x92\xff\xff", 7);
  DriveUntil([&] { return stranger.Exchange(); });
  BOOST_TEST(
      (agent.lines == std::vector<std::string>{"up entry-z", "down entry-z"}));
}

BOOST_AUTO_TEST_CASE(length_beyond_the_bound_drops_the_link) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  PipeStranger stranger(agent);
  stranger.pipe.outgoing() += "\xff\xff\xff\xff";
  DriveUntil([&] { return stranger.Exchange(); });
  BOOST_TEST(agent.ended.at(0).find(": message of 4294967295 bytes") == 0);
}

BOOST_AUTO_TEST_CASE(shared_keys_equal_only_when_the_same) {
  BOOST_TEST(SharedKeysEqual("abc", "abc"));
  BOOST_TEST(SharedKeysEqual("", ""));
  for (const char* other : {"", "a", "ab", "abd", "bbc", "abcabc", "abcd"}) {
    BOOST_TEST(!SharedKeysEqual("abc", other));
  }
  BOOST_TEST(!SharedKeysEqual("", "abc"));
}

BOOST_AUTO_TEST_CASE(socket_addresses_only_numeric_ones_are_taken) {
  for (const char* good : {"127.0.0.1:7001", "[::1]:7001", "0.0.0.0:0"}) {
    BOOST_TEST(ParseSocketAddress(good).ok());
  }
  for (const char* bad :
       {"", ":", "127.0.0.1", "127.0.0.1:", ":7001", "localhost:7001",
        "127.0.0.1:http", "1.2.3.4.5:6", "127.0.0.1:70000"}) {
    BOOST_TEST(!ParseSocketAddress(bad).ok(), bad);
  }
}

BOOST_AUTO_TEST_CASE(listen_at_a_taken_address_names_it) {
  TestHub& agent = AddHub("agent-3", ProcessRole::kAgent);
  const std::string taken = agent.hub->listen_address();
  LinkHub second(loop,
                 LinkHubOptions{.self = agent.hello,
                                .listen_address = taken,
                                .shared_key = "the key",
                                .limits = {}},
                 LinkHubEvents());
  const absl::Status status = second.Listen();
  BOOST_TEST(!status.ok());
  BOOST_TEST(status.message().find(taken) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace

}  // namespace egretswitch::internal
