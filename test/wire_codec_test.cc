// Every message survives the wire; what is not a message gives a status.
#include "wire_codec.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

#include "message_samples.h"

namespace egretswitch::internal {

namespace {

std::string Encode(const Message& message) {
  std::string bytes;
  EncodeMessage(message, &bytes);
  return bytes;
}

// The bodies that `wire` gives when it arrives `step` bytes at a time.
std::vector<std::string> ReadInSteps(std::string_view wire, size_t step) {
  FrameReader reader;
  std::vector<std::string> bodies;
  for (size_t at = 0; at < wire.size(); at += step) {
    const absl::Status status =
        reader.Feed(wire.substr(at, step), [&](std::string_view body) {
          bodies.emplace_back(body);
          return true;
        });
    BOOST_TEST(status.ok());
  }
  return bodies;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wire_codec)

BOOST_AUTO_TEST_CASE(samples_all_cover_each_alternative) {
  const std::vector<Message> samples = SampleMessages();
  BOOST_TEST_REQUIRE(samples.size() == std::variant_size_v<Message>);
  for (size_t i = 0; i < samples.size(); ++i) {
    BOOST_TEST(samples[i].index() == i);
  }
}

BOOST_AUTO_TEST_CASE(decode_each_message_gives_the_same_bytes_again) {
  for (const Message& sample : SampleMessages()) {
    const std::string bytes = Encode(sample);
    const absl::StatusOr<Message> decoded = DecodeMessage(bytes);
    BOOST_TEST_REQUIRE(decoded.ok(), decoded.status().ToString());
    BOOST_TEST(decoded->index() == sample.index());
    BOOST_TEST(Encode(*decoded) == bytes);
  }
}

BOOST_AUTO_TEST_CASE(decode_start_tasks_keeps_every_field) {
  const StartTasks sent = SampleStartTasks();
  const StartTasks got = std::get<StartTasks>(*DecodeMessage(Encode(sent)));
  BOOST_TEST(got.permission == sent.permission);
  BOOST_TEST(got.agent_incarnation == sent.agent_incarnation);
  BOOST_TEST(got.shard == sent.shard);
  BOOST_TEST(got.epoch == sent.epoch);
  BOOST_TEST((got.key == sent.key));
  BOOST_TEST(got.digest == sent.digest);
  BOOST_TEST(got.task_count == sent.task_count);
  BOOST_TEST(got.submitted_ms == sent.submitted_ms);
  BOOST_TEST(got.deadline_ms == sent.deadline_ms);
  BOOST_TEST(got.attach_only == sent.attach_only);
  BOOST_TEST_REQUIRE(got.tasks.size() == sent.tasks.size());
  BOOST_TEST(got.tasks[0].index == sent.tasks[0].index);
  BOOST_TEST((got.tasks[0].spec == sent.tasks[0].spec));
}

BOOST_AUTO_TEST_CASE(decode_cancels_keeps_every_field) {
  const Message asked = *DecodeMessage(
      Encode(Message(RunMessage{CancelStepJobs{{{9, "5c0e", 2}}}})));
  const auto requests =
      std::get<CancelStepJobs>(std::get<RunMessage>(asked).body).requests;
  BOOST_TEST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].request == 9u);
  BOOST_TEST(requests[0].job == "5c0e");
  BOOST_TEST(requests[0].hops == 2u);
  const Message replied = *DecodeMessage(
      Encode(Message(RunMessage{StepJobsCancelled{{{9, true, true}}}})));
  const auto replies =
      std::get<StepJobsCancelled>(std::get<RunMessage>(replied).body).replies;
  BOOST_TEST_REQUIRE(replies.size() == 1u);
  BOOST_TEST(replies[0].request == 9u);
  BOOST_TEST(replies[0].cancelled);
  BOOST_TEST(replies[0].complete);
}

// The fields of Hello in the version that does not know cancels.
struct FormerHello {
  std::string name = {};
  uint64_t incarnation = 0;
  ProcessRole role = ProcessRole::kEntry;
  std::string data_centre = {};
  std::string region = {};
  uint32_t slots = 0;
  TaskNeeds capacity = {};
  int64_t memory_since_ms = 0;
  MSGPACK_DEFINE(name,
                 incarnation,
                 role,
                 data_centre,
                 region,
                 slots,
                 capacity,
                 memory_since_ms)
};

template <typename To, typename From>
To ThroughTheWire(const From& sent) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, sent);
  return msgpack::unpack(buffer.data(), buffer.size()).get().template as<To>();
}

BOOST_AUTO_TEST_CASE(hello_of_a_former_version_does_not_understand_cancels) {
  const auto former =
      ThroughTheWire<Hello>(FormerHello{.name = "entry-1", .incarnation = 7});
  BOOST_TEST(former.name == "entry-1");
  BOOST_TEST(!UnderstandsCancels(former.run_message_kinds));
  Hello present;
  present.run_message_kinds = kRunMessageKinds;
  BOOST_TEST(
      UnderstandsCancels(ThroughTheWire<Hello>(present).run_message_kinds));
}

// The number of alternatives of the version that has no memory of cancels.
BOOST_AUTO_TEST_CASE(former_version_does_not_understand_cancelled_jobs) {
  constexpr uint32_t kFormerRunMessageKinds = 9;
  BOOST_TEST(UnderstandsCancels(kFormerRunMessageKinds));
  BOOST_TEST(!UnderstandsCancelledJobs(kFormerRunMessageKinds));
  BOOST_TEST(UnderstandsCancelledJobs(kRunMessageKinds));
}

BOOST_AUTO_TEST_CASE(decode_cancelled_jobs_keeps_every_field) {
  const CancelledJobsPart sent{.jobs = {{"5c0e", 41'000, true}},
                               .requested = true,
                               .last = true,
                               .complete = true};
  const Message read = *DecodeMessage(Encode(Message(RunMessage{sent})));
  const auto& part =
      std::get<CancelledJobsPart>(std::get<RunMessage>(read).body);
  BOOST_REQUIRE(part.jobs.size() == 1u);
  BOOST_TEST(part.jobs[0].job == "5c0e");
  BOOST_TEST(part.jobs[0].age_ms == 41'000u);
  BOOST_TEST(part.jobs[0].held);
  BOOST_TEST((part.requested && part.last && part.complete));
  const Message request = *DecodeMessage(
      Encode(Message(RunMessage{CancelledJobsRequest{60'000, "5c0e"}})));
  const auto& asked =
      std::get<CancelledJobsRequest>(std::get<RunMessage>(request).body);
  BOOST_TEST(asked.learnt_within_ms == 60'000u);
  BOOST_TEST(asked.after == "5c0e");
}

BOOST_AUTO_TEST_CASE(hello_is_read_by_a_process_of_a_former_version) {
  Hello present;
  present.name = "entry-2";
  present.incarnation = 7;
  present.run_message_kinds = kRunMessageKinds;
  const auto read = ThroughTheWire<FormerHello>(present);
  BOOST_TEST(read.name == "entry-2");
  BOOST_TEST(read.incarnation == 7u);
}

BOOST_AUTO_TEST_CASE(decode_evacuations_keeps_every_field) {
  const Evacuations sent = {.through = 12, .data_centres = {"north", "south"}};
  const Message to_agent =
      *DecodeMessage(Encode(Message(RunMessage{.body = sent})));
  const RunMessageBody& body = std::get<RunMessage>(to_agent).body;
  BOOST_TEST((std::get<Evacuations>(body) == sent));
  const Message to_entry =
      *DecodeMessage(Encode(Message(RunMessage{TableMessage(sent)})));
  const auto& table =
      std::get<TableMessage>(std::get<RunMessage>(to_entry).body);
  BOOST_TEST((std::get<Evacuations>(table) == sent));
}

BOOST_AUTO_TEST_CASE(decode_truncated_anywhere_gives_a_status) {
  for (const Message& sample : SampleMessages()) {
    const std::string bytes = Encode(sample);
    for (size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(!DecodeMessage(std::string_view(bytes).substr(0, size)).ok());
    }
  }
}

BOOST_AUTO_TEST_CASE(decode_trailing_bytes_gives_a_status) {
  BOOST_TEST(!DecodeMessage(Encode(WantSlots{}) + "x").ok());
}

BOOST_AUTO_TEST_CASE(decode_any_changed_byte_does_no_harm) {
  for (const Message& sample : SampleMessages()) {
    const std::string bytes = Encode(sample);
    for (size_t at = 0; at < bytes.size(); ++at) {
      for (int value = 0; value < 256; ++value) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(value);
        const absl::StatusOr<Message> decoded = DecodeMessage(changed);
        BOOST_TEST((decoded.ok() || !decoded.status().message().empty()));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(decode_claimed_sizes_beyond_the_frame_gives_a_status) {
  const std::vector<std::string> claims = {
      std::string("\xdd\xff\xff\xff\xff", 5),         // 4 G elements
      std::string("\x92\x03\x91\xdd\x00\x03\xff\xff"  // 256 K log entries
                  ,
                  8),
      std::string("\xdb\xff\xff\xff\xff", 5),       // 4 GB string
      std::string("\xdf\xff\xff\xff\xff", 5),       // 4 G pairs
      std::string("\xc9\xff\xff\xff\xff\x01", 6)};  // 4 GB extension
  for (const std::string& claim : claims) {
    BOOST_TEST(!DecodeMessage(claim).ok());
  }
}

BOOST_AUTO_TEST_CASE(decode_deep_nesting_gives_a_status) {
  BOOST_TEST(!DecodeMessage(std::string(1u << 20, '\x91')).ok());
}

BOOST_AUTO_TEST_CASE(decode_too_many_objects_gives_a_status) {
  std::string bytes = "\x92\x03\x91\x9f";
  for (int i = 0; i < 15; ++i) {
    bytes +=
        std::string("\xdd\x00\x03\xff\xff", 5) + std::string(0x3ffff, '\xc0');
  }
  BOOST_TEST(!DecodeMessage(bytes).ok());
}

BOOST_AUTO_TEST_CASE(decode_unknown_alternative_gives_a_status) {
  std::string bytes = Encode(CancelJob{});
  bytes[1] = static_cast<char>(std::variant_size_v<Message>);
  BOOST_TEST(!DecodeMessage(bytes).ok());
}

BOOST_AUTO_TEST_CASE(frames_cut_at_any_step_come_out_whole_and_in_order) {
  std::string wire;
  std::vector<std::string> expected;
  for (const Message& sample : SampleMessages()) {
    BOOST_TEST(AppendFrame(sample, &wire).ok());
    expected.push_back(Encode(sample));
  }
  for (size_t step = 1; step <= wire.size(); ++step) {
    BOOST_TEST((ReadInSteps(wire, step) == expected));
  }
}

BOOST_AUTO_TEST_CASE(frame_too_long_is_refused_before_its_body) {
  FrameReader reader;
  const std::string_view head("\x01\x00\x00\x01", 4);
  const auto ignore = [](std::string_view) { return true; };
  BOOST_TEST(!reader.Feed(head, ignore).ok());
  FrameReader by_bytes;
  BOOST_TEST(by_bytes.Feed(head.substr(0, 3), ignore).ok());
  BOOST_TEST(!by_bytes.Feed(head.substr(3), ignore).ok());
}

BOOST_AUTO_TEST_CASE(append_frame_of_too_large_message_leaves_no_trace) {
  StartTasks large = SampleStartTasks();
  large.tasks[0].spec.payload.assign(kMaxMessageBytes, 'x');
  std::string wire = "before";
  BOOST_TEST(!AppendFrame(large, &wire).ok());
  BOOST_TEST(wire == "before");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
