// One message of every type, with no field at its default.
//
//   for (const Message& sample : SampleMessages()) { ... }
#ifndef EGRETSWITCH_TEST_MESSAGE_SAMPLES_H_
#define EGRETSWITCH_TEST_MESSAGE_SAMPLES_H_

#include <vector>

#include "messages.h"

namespace egretswitch::internal {

inline StartTasks SampleStartTasks() {
  const TaskSpec spec{
      .payload = std::string("a\0b", 3),
      .declared_ms = 70,
      .needs = {.millicores = 500, .memory_mb = 64, .accelerators = 1}};
  return StartTasks{.permission = 9,
                    .agent_incarnation = ~uint64_t{0},
                    .shard = 3,
                    .epoch = 5,
                    .key = {"desk", "a17"},
                    .digest = 0x123456789abcdef0,
                    .task_count = 2,
                    .submitted_ms = 1'700'000'000'000,
                    .deadline_ms = -1,
                    .attach_only = true,
                    .want = {.count = 3, .urgency = 0.5},
                    .tasks = {{.index = 1, .spec = spec}}};
}

inline PeerStatus SamplePeerStatus() {
  return PeerStatus{.fold_offset = 70'000,
                    .lacks_log = true,
                    .draining = true,
                    .heard = {{"entry-b", 7, 12}}};
}

inline Snapshot SampleSnapshot() {
  const EntryJoined joined{"entry-b", 7, "127.0.0.1:7001", "dc-1", "north"};
  return Snapshot{
      .next_offset = 4,
      .shards = {{.epoch = 2,
                  .owner = {"entry-b", 7},
                  .former_owners = {{"entry-a", 6}}}},
      .entries = {{.joined = joined, .joined_offset = 3}},
      .slots = {{"agent-3", "127.0.0.1:7103", "dc-1", "north"}},
      .rows = {{.row = {.kind = "pricing"}, .version = 2, .deleted = true}},
      .table_version = 2,
      .former_entries = {{"entry-c", 5}}};
}

// In the order of the alternatives of Message.
inline WorkerStatus SampleWorkerStatus() {
  return WorkerStatus{.worker = "i-7",
                      .service = "desk",
                      .kind = "a",
                      .capacity = {64000, 1024, 1},
                      .free = {6000, 512, 1},
                      .started_through = 9,
                      .accepting = true};
}

inline std::vector<Message> SampleMessages() {
  const SubmissionKey key{"desk", "a17"};
  const StartTasks start = SampleStartTasks();
  const AgentStatus agent{9, 2, 1, true};
  const Submission submission{.key = key,
                              .kind = "pricing",
                              .submitted_ms = 1'700'000'000'000,
                              .deadline_ms = 1'700'000'009'000,
                              .repeatable = true,
                              .tasks = {start.tasks[0].spec}};
  const JobRefusal refusal{RefusalReason::kTooOld, RunVerdict::kMayHaveRun, 90,
                           "too old"};
  const Hello hello{"agent-3",       7, ProcessRole::kAgent, "dc-1",
                    "north",         8, {8000, 1024, 2},     1'700'000'000'000,
                    kRunMessageKinds};
  return {hello,
          PeerPing{1, SamplePeerStatus()},
          PeerPong{1, SamplePeerStatus()},
          LogRelay{{{4, {"id-1", SampleSnapshot()}}}},
          Forward{submission},
          ForwardAnswer{key, 5, refusal},
          ForwardMoved{key, 5},
          CancelJob{key},
          ShardsReleased{{{3, 5}}},
          start,
          CancelTasks{3, 5, key},
          FenceShards{{{3, 5}, {4, 1}}},
          FenceReply{{{3, 5}}, 1'700'000'000'000, {{3, key, 5, 2, 9, {0, 1}}}},
          WantSlots{3, 0.25},
          agent,
          TaskReports{agent, {{key, 1, TaskStatus::kLost, "gone", 40}}},
          RunMessage{RunReports{12,
                                SampleWorkerStatus(),
                                {{{"5c0e", 1, 2}, 3, RunEnd::kStopped, 40}}}}};
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_MESSAGE_SAMPLES_H_
