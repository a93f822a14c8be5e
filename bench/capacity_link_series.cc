// What links cost on loopback: real hubs, sockets and HTTP/2 in one process.
// Figures are for both ends together; a link has two.
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "capacity_meter.h"
#include "capacity_series.h"
#include "event_loop.h"
#include "internal_assert.h"
#include "link_hub.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kCap = absl::Seconds(30);

// One hub that dials, and as many as there are links that listen.
class LinkScene {
 public:
  explicit LinkScene(uint32_t links) {
    m_dialling = MakeHub("entry-000", ProcessRole::kEntry);
    for (uint32_t i = 0; i < links; ++i) {
      const std::string name = absl::StrFormat("agent-%04d", i);
      m_listening.push_back(MakeHub(name, ProcessRole::kAgent));
      const bool listens = m_listening.back()->Listen().ok();
      InternalAssert(listens, "a hub cannot listen", name);
      m_targets.push_back(
          {name, m_listening.back()->listen_address(), ProcessRole::kAgent});
    }
  }

  // False when a link did not come up.
  bool Connect() {
    m_dialling->SetDialTargets(m_targets);
    return m_loop.RunUntil([this] { return m_ups == 2 * m_listening.size(); },
                           kCap);
  }

  // Sends `count` messages over every link, each in a turn of its own.
  bool SendToAll(uint32_t count, const Message& message) {
    for (uint32_t i = 0; i < count; ++i) {
      const uint64_t wanted = m_messages + m_targets.size();
      for (const PeerAddress& target : m_targets) {
        m_dialling->Send(target.name, message);
      }
      if (!m_loop.RunUntil([&] { return m_messages == wanted; }, kCap)) {
        return false;
      }
    }
    return true;
  }

  double DiallingBytes() const {
    const LinkCounters& counters = m_dialling->counters();
    return static_cast<double>(counters.bytes_in + counters.bytes_out);
  }

 private:
  std::unique_ptr<LinkHub> MakeHub(const std::string& name, ProcessRole role) {
    LinkHubOptions options;
    options.self.name = name;
    options.self.incarnation = 1;
    options.self.role = role;
    options.self.data_centre = "dc-01";
    options.self.region = "region-1";
    options.listen_address = "127.0.0.1:0";
    options.shared_key = "shared-key-of-the-benchmark-only";
    LinkHubEvents events;
    events.link_up = [this](const Hello&) { ++m_ups; };
    events.link_down = [](const std::string&, uint64_t) {};
    events.refused = [](const std::string&, MonoTime) {};
    events.message = [this](const std::string&, uint64_t, Message) {
      ++m_messages;
    };
    return std::make_unique<LinkHub>(m_loop, options, events);
  }

  EventLoop m_loop;
  std::unique_ptr<LinkHub> m_dialling;
  std::vector<std::unique_ptr<LinkHub>> m_listening;
  std::vector<PeerAddress> m_targets;
  uint64_t m_ups = 0;
  uint64_t m_messages = 0;
};

std::vector<double> MeasureLinks(uint32_t links) {
  LinkScene scene(links);
  const double before = LiveHeapBytes();
  CpuMeter connect;
  {
    const CpuMeter::Span span(connect);
    InternalAssert(scene.Connect(), "a link did not come up", "link bench");
  }
  return {connect.ns(), LiveHeapBytes() - before, scene.DiallingBytes()};
}

// Small messages that travel alone: the dearest way.
std::vector<double> MeasureMessages(uint32_t rounds) {
  constexpr uint32_t kLinks = 10;
  LinkScene scene(kLinks);
  InternalAssert(scene.Connect(), "a link did not come up", "link bench");
  const double bytes_before = scene.DiallingBytes();
  CpuMeter cpu;
  {
    const CpuMeter::Span span(cpu);
    InternalAssert(scene.SendToAll(rounds / kLinks, WantSlots{1, 2.0}),
                   "a message did not come", "link bench");
  }
  return {cpu.ns(), scene.DiallingBytes() - bytes_before};
}

}  // namespace

std::vector<Family> LinkFamilies() {
  return {
      {"links",
       [](uint32_t repeats) {
         return RunFamily("links",
                          {{"link.connect_cpu.links", "ns"},
                           {"link.memory.links", "bytes"},
                           {"link.handshake_bytes.links", "bytes"}},
                          {11, 22, 44, 88}, repeats, MeasureLinks);
       }},
      {"link_messages",
       [](uint32_t repeats) {
         return RunFamily("messages",
                          {{"link.message_cpu.messages", "ns"},
                           {"link.message_bytes.messages", "bytes"}},
                          {1000, 2000, 4000, 8000}, repeats, MeasureMessages);
       }},
  };
}

}  // namespace egretswitch::internal
