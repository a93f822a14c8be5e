// What the msgpack codec costs for the two messages that carry tasks.
#include <string>

#include "absl/strings/str_format.h"
#include "capacity_meter.h"
#include "capacity_series.h"

namespace egretswitch::internal {
namespace {

constexpr int kTimes = 50;

struct CodecCost {
  double encode_ns = 0;
  double decode_ns = 0;
  double bytes = 0;
};

CodecCost MeasureCodec(const Message& message) {
  CodecCost cost;
  CpuMeter encode;
  CpuMeter decode;
  for (int i = 0; i < kTimes; ++i) {
    std::string bytes;
    {
      const CpuMeter::Span span(encode);
      EncodeMessage(message, &bytes);
    }
    const CpuMeter::Span span(decode);
    const auto decoded = DecodeMessage(bytes);
    cost.bytes = decoded.ok() ? static_cast<double>(bytes.size()) : 0;
  }
  cost.encode_ns = encode.ns() / kTimes;
  cost.decode_ns = decode.ns() / kTimes;
  return cost;
}

std::vector<double> MeasureTasks(uint32_t tasks) {
  StartTasks start;
  start.key = {"team-001", "job-000000001"};
  TaskReports reports;
  for (uint32_t i = 0; i < tasks; ++i) {
    start.tasks.push_back({i, {std::string(100, 'p'), 200, {1000, 512, 0}}});
    reports.reports.push_back(
        {start.key, i, TaskStatus::kFinished, std::string(100, 'r'), 200});
  }
  const CodecCost sent = MeasureCodec(start);
  const CodecCost received = MeasureCodec(reports);
  return {sent.encode_ns,     sent.decode_ns,     sent.bytes,
          received.encode_ns, received.decode_ns, received.bytes};
}

}  // namespace

std::vector<Family> CodecFamilies() {
  return {{"codec", [](uint32_t repeats) {
             return RunFamily("tasks",
                              {{"codec.start_encode.tasks", "ns"},
                               {"codec.start_decode.tasks", "ns"},
                               {"codec.start_bytes.tasks", "bytes"},
                               {"codec.report_encode.tasks", "ns"},
                               {"codec.report_decode.tasks", "ns"},
                               {"codec.report_bytes.tasks", "bytes"}},
                              {1, 8, 64, 256, 790}, repeats, MeasureTasks);
           }}};
}

}  // namespace egretswitch::internal
