// What an entry spends on being there: on workers, other entries, restarts,
// pings and takeovers.
#include <algorithm>
#include <map>
#include <string>

#include "absl/strings/str_format.h"
#include "capacity_entry_driver.h"
#include "capacity_series.h"
#include "shard_assignment.h"

namespace egretswitch::internal {
namespace {

constexpr double kIdleSeconds = 15;

struct Idle {
  double cpu_ns_a_second = 0;
  double bytes_a_second = 0;  // both directions
  double messages_a_second = 0;
};

Idle MeasureIdle(EntryDriver& driver) {
  driver.ResetMeters();
  driver.RunIdle(absl::Seconds(kIdleSeconds));
  return {driver.cpu().ns() / kIdleSeconds,
          (driver.sent().bytes + driver.received().bytes) / kIdleSeconds,
          (driver.sent().messages + driver.received().messages) / kIdleSeconds};
}

std::vector<double> MeasureWorkers(uint32_t agents) {
  EntryDriver driver({.agents = agents});
  const double with_log = LiveHeapBytes();
  driver.Start();
  const double memory = LiveHeapBytes() - with_log;
  const Idle idle = MeasureIdle(driver);
  constexpr int kJobs = 200;
  driver.ResetMeters();
  for (int i = 0; i < kJobs; ++i) {
    driver.SubmitJob("team-001", 1, "payload");
  }
  driver.Expect(driver.answers() == kJobs, "a job was not answered");
  return {idle.cpu_ns_a_second, memory, driver.cpu().ns() / kJobs};
}

std::vector<double> MeasureEntries(uint32_t entries) {
  EntryDriver driver({.entries = entries});
  const double before = LiveHeapBytes();
  driver.Start();
  const double memory = LiveHeapBytes() - before;
  const Idle idle = MeasureIdle(driver);
  return {idle.cpu_ns_a_second, memory, idle.messages_a_second,
          idle.bytes_a_second};
}

// The bytes of one status list grow with the entries too, so the sum over all
// peers does not grow along a line; one ping's bytes do.
std::vector<double> MeasurePing(uint32_t entries) {
  EntryDriver driver({.entries = entries});
  driver.Start();
  driver.ResetMeters();
  driver.RunIdle(absl::Seconds(3));
  return {driver.sent().bytes / driver.sent().messages};
}

std::vector<double> MeasureHeartbeats(uint32_t pings) {
  EntryDriver driver({.entries = 2});
  driver.Start();
  driver.ResetMeters();
  for (uint32_t i = 0; i < pings; ++i) {
    driver.Handle(MessageArrived{
        "entry-001", 2,
        PeerPing{1'000'000 + i, {driver.log_size(), false, false, {}}}});
  }
  return {driver.cpu().ns()};
}

std::vector<double> MeasureRestarts(uint32_t restarts) {
  EntryDriver driver({.agents = 400});
  driver.Start();
  driver.ResetMeters();
  for (uint32_t i = 0; i < restarts; ++i) {
    driver.RestartAgent(i);
  }
  driver.Expect(driver.status().workers_linked == 400, "a worker is missing");
  return {driver.cpu().ns(), driver.sent().bytes, driver.received().bytes};
}

// From the fold of the claim to serving: fences to all agents, answers of all.
std::vector<double> MeasureTakeoverAgents(uint32_t agents) {
  EntryDriver driver({.agents = agents, .former_owner = true});
  driver.Start();
  driver.Expect(driver.status().shards_serving == 0, "served too early");
  driver.ResetMeters();
  driver.EndFormerOwner();
  driver.Expect(driver.status().shards_serving == kDefaultShardCount,
                "the takeover is not complete");
  return {driver.cpu().ns(), driver.sent().bytes, driver.received().bytes};
}

// As many entries as the plan's size assumes, and more shards to share out.
std::vector<double> MeasureShards(uint32_t shards) {
  EntryDriver driver({.entries = 34, .shards = shards});
  const double before = LiveHeapBytes();
  driver.Start();
  const double memory = LiveHeapBytes() - before;
  return {MeasureIdle(driver).cpu_ns_a_second, memory};
}

// How evenly the preferred owners share the shards; the same in every run.
std::vector<double> MeasureShardSpread(uint32_t shards) {
  constexpr uint32_t kEntries = 34;
  std::map<uint32_t, double> owned;
  for (ShardId shard = 0; shard < shards; ++shard) {
    uint32_t best = 0;
    uint64_t best_weight = 0;
    for (uint32_t entry = 0; entry < kEntries; ++entry) {
      const uint64_t weight =
          PreferenceOf(shard, absl::StrFormat("entry-%03d", entry));
      if (weight > best_weight) {
        best = entry;
        best_weight = weight;
      }
    }
    ++owned[best];
  }
  double most = 0;
  for (const auto& [entry, count] : owned) {
    most = std::max(most, count);
  }
  return {most, kEntries - static_cast<double>(owned.size())};
}

// An owner that holds every shard takes them all over from a former one.
std::vector<double> MeasureTakeoverShards(uint32_t shards) {
  EntryDriver driver({.agents = 100, .shards = shards, .former_owner = true});
  driver.Start();
  driver.ResetMeters();
  driver.EndFormerOwner();
  driver.Expect(driver.status().shards_serving == shards,
                "the takeover is not complete");
  return {driver.cpu().ns(), driver.sent().bytes, driver.received().bytes};
}

std::vector<double> MeasureTakeoverHoldings(uint32_t holdings) {
  constexpr uint32_t kAgents = 16;
  EntryDriver driver({.agents = kAgents,
                      .former_owner = true,
                      .holdings_each = holdings / kAgents});
  driver.Start();
  const double before = LiveHeapBytes();
  driver.ResetMeters();
  driver.EndFormerOwner();
  driver.Expect(driver.status().shards_serving == kDefaultShardCount,
                "the takeover is not complete");
  return {driver.cpu().ns(), LiveHeapBytes() - before, driver.received().bytes};
}

}  // namespace

std::vector<Family> EntryFamilies() {
  return {
      {"workers",
       [](uint32_t repeats) {
         return RunFamily("workers",
                          {{"entry.idle_cpu.workers", "ns/s"},
                           {"entry.memory.workers", "bytes"},
                           {"entry.start_cpu.workers", "ns/start"}},
                          {100, 325, 650, 975, 1300}, repeats, MeasureWorkers);
       }},
      {"entries",
       [](uint32_t repeats) {
         return RunFamily("entries",
                          {{"entry.idle_cpu.entries", "ns/s"},
                           {"entry.memory.entries", "bytes"},
                           {"entry.idle_messages.entries", "messages/s"},
                           {"entry.idle_bytes.entries", "bytes/s"}},
                          {2, 5, 9, 17, 34}, repeats, MeasureEntries);
       }},
      {"ping_size",
       [](uint32_t repeats) {
         return RunFamily("entries", {{"entry.ping_bytes.entries", "bytes"}},
                          {2, 5, 9, 17, 34}, repeats, MeasurePing);
       }},
      {"shards",
       [](uint32_t repeats) {
         return RunFamily("shards",
                          {{"entry.idle_cpu.shards", "ns/s"},
                           {"entry.memory.shards", "bytes"}},
                          {64, 256, 512, 1024}, repeats, MeasureShards);
       }},
      {"shard_spread",
       [](uint32_t repeats) {
         return RunFamily("shards",
                          {{"entry.most_owned.shards", "shards"},
                           {"entry.without_any.shards", "entries"}},
                          {64, 256, 512, 1024}, repeats, MeasureShardSpread);
       }},
      {"takeover_shards",
       [](uint32_t repeats) {
         return RunFamily("shards",
                          {{"entry.takeover_cpu.shards", "ns"},
                           {"entry.takeover_sent.shards", "bytes"},
                           {"entry.takeover_received.shards", "bytes"}},
                          {64, 256, 512, 1024}, repeats, MeasureTakeoverShards);
       }},
      {"heartbeats",
       [](uint32_t repeats) {
         return RunFamily("pings", {{"entry.ping_cpu.pings", "ns"}},
                          {1000, 2000, 4000, 8000}, repeats, MeasureHeartbeats);
       }},
      {"restarts",
       [](uint32_t repeats) {
         return RunFamily("restarts",
                          {{"entry.restart_cpu.restarts", "ns"},
                           {"entry.restart_sent.restarts", "bytes"},
                           {"entry.restart_received.restarts", "bytes"}},
                          {95, 190, 285, 380}, repeats, MeasureRestarts);
       }},
      {"takeover_agents",
       [](uint32_t repeats) {
         return RunFamily("workers",
                          {{"entry.takeover_cpu.workers", "ns"},
                           {"entry.takeover_sent.workers", "bytes"},
                           {"entry.takeover_received.workers", "bytes"}},
                          {100, 325, 650, 1300}, repeats,
                          MeasureTakeoverAgents);
       }},
      {"takeover_holdings",
       [](uint32_t repeats) {
         return RunFamily("holdings",
                          {{"entry.takeover_cpu.holdings", "ns"},
                           {"entry.takeover_memory.holdings", "bytes"},
                           {"entry.takeover_received.holdings", "bytes"}},
                          {1600, 8000, 16000, 32000}, repeats,
                          MeasureTakeoverHoldings);
       }},
  };
}

}  // namespace egretswitch::internal
