// What an agent spends: on entries linked, on starts remembered, on fences.
#include "capacity_agent_driver.h"
#include "capacity_series.h"

namespace egretswitch::internal {
namespace {

constexpr uint32_t kSlots = 8;

std::vector<double> MeasureEntries(uint32_t entries) {
  const double before = LiveHeapBytes();
  AgentDriver driver(entries, kSlots);
  const double memory = LiveHeapBytes() - before;
  driver.ResetMeters();
  driver.RunIdle(absl::Seconds(3));
  const double idle_ns = driver.cpu().ns() / 3;
  constexpr int kTasks = 500;
  driver.ResetMeters();
  for (int i = 0; i < kTasks; ++i) {
    driver.RunTask(100);
  }
  return {idle_ns, memory, driver.cpu().ns() / kTasks};
}

// Starts within the horizon, all remembered, with results of 16 bytes.
std::vector<double> MeasureLedger(uint32_t starts) {
  AgentDriver driver(3, kSlots);
  const double before = LiveHeapBytes();
  driver.ResetMeters();
  for (uint32_t i = 0; i < starts; ++i) {
    driver.RunTask(16);
  }
  const double task_ns = driver.cpu().ns();
  const double bytes_in = driver.received().bytes;
  const double bytes_out = driver.sent().bytes;
  const double memory = LiveHeapBytes() - before;
  driver.ResetMeters();
  driver.RunIdle(absl::Seconds(1));
  const double idle_ns = driver.cpu().ns();
  driver.ResetMeters();
  driver.Fence(64);
  return {task_ns,  memory,   idle_ns, driver.cpu().ns(), driver.sent().bytes,
          bytes_in, bytes_out};
}

std::vector<double> MeasureFences(uint32_t fences) {
  AgentDriver driver(3, kSlots);
  driver.ResetMeters();
  for (uint32_t i = 0; i < fences; ++i) {
    driver.Fence(64);
  }
  return {driver.cpu().ns(), driver.sent().bytes, driver.received().bytes};
}

std::vector<double> MeasureRelinks(uint32_t relinks) {
  AgentDriver driver(34, kSlots);
  driver.ResetMeters();
  for (uint32_t i = 0; i < relinks; ++i) {
    driver.RelinkEntry();
  }
  return {driver.cpu().ns(), driver.sent().bytes};
}

}  // namespace

std::vector<Family> AgentFamilies() {
  return {
      {"agent_entries",
       [](uint32_t repeats) {
         return RunFamily("entries",
                          {{"agent.idle_cpu.entries", "ns/s"},
                           {"agent.memory.entries", "bytes"},
                           {"agent.task_cpu.entries", "ns/task"}},
                          {2, 5, 9, 17, 34}, repeats, MeasureEntries);
       }},
      {"ledger",
       [](uint32_t repeats) {
         return RunFamily("starts remembered",
                          {{"agent.task_cpu.ledger", "ns"},
                           {"agent.memory.ledger", "bytes"},
                           {"agent.idle_cpu.ledger", "ns/s"},
                           {"agent.fence_cpu.ledger", "ns"},
                           {"agent.fence_sent.ledger", "bytes"},
                           {"agent.task_received.ledger", "bytes"},
                           {"agent.task_sent.ledger", "bytes"}},
                          {1000, 2000, 4000, 8000}, repeats, MeasureLedger);
       }},
      {"fences",
       [](uint32_t repeats) {
         return RunFamily("fences",
                          {{"agent.fence_cpu.fences", "ns"},
                           {"agent.fence_sent.fences", "bytes"},
                           {"agent.fence_received.fences", "bytes"}},
                          {34, 68, 136, 272}, repeats, MeasureFences);
       }},
      {"relinks",
       [](uint32_t repeats) {
         return RunFamily("relinks",
                          {{"agent.relink_cpu.relinks", "ns"},
                           {"agent.relink_sent.relinks", "bytes"}},
                          {34, 68, 136, 272}, repeats, MeasureRelinks);
       }},
  };
}

}  // namespace egretswitch::internal
