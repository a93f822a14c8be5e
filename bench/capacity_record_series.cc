// What the records of the control stream cost: as text, decoded and folded.
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_format.h"
#include "capacity_entry_driver.h"
#include "capacity_series.h"
#include "control_state.h"
#include "record_codec.h"

namespace egretswitch::internal {
namespace {

Snapshot SnapshotOf(uint32_t slots, uint32_t rows) {
  EntryDriver driver({.agents = slots, .entries = 1, .rows = rows});
  driver.ReadLogToHead();
  return driver.control().MakeSnapshot();
}

// Bytes of the text, then time to write and to read it.
std::vector<double> MeasureSnapshot(const Snapshot& snapshot) {
  const LogRecord record{"entry-000#1#17", snapshot};
  CpuMeter encode;
  std::string text;
  {
    const CpuMeter::Span span(encode);
    text = EncodeRecord(record);
  }
  CpuMeter decode;
  {
    const CpuMeter::Span span(decode);
    const auto decoded = DecodeRecord(text);
    if (!decoded.ok()) {
      return {};
    }
  }
  return {static_cast<double>(text.size()), encode.ns(), decode.ns()};
}

std::vector<double> MeasureSlots(uint32_t slots) {
  return MeasureSnapshot(SnapshotOf(slots, 1));
}

std::vector<double> MeasureRows(uint32_t rows) {
  std::vector<double> values = MeasureSnapshot(SnapshotOf(1, rows));
  const double before = LiveHeapBytes();
  EntryDriver driver({.agents = 1, .rows = rows});
  driver.Start();
  values.push_back(LiveHeapBytes() - before);
  driver.ResetMeters();
  driver.RunIdle(absl::Seconds(1));
  values.push_back(driver.cpu().ns());
  return values;
}

std::string EditText(uint32_t edit) {
  TableRow row;
  row.kind = "kind-000";
  row.weight = 1 + edit % 1000;
  return EncodeRecord({absl::StrFormat("entry-000#1#%d", edit),
                       RowEdited{absl::StrFormat("entry-000/1/%d", edit),
                                 "operator", edit, false, row}});
}

std::string AliveText(uint32_t number) {
  return EncodeRecord({absl::StrFormat("entry-000#1#%d", number),
                       EntryAlive{{"entry-000", 0x123456789abcdef0}}});
}

// Decoded and folded as by a process that starts.
std::vector<double> MeasureTexts(const std::vector<std::string>& texts) {
  double bytes = 0;
  for (const std::string& text : texts) {
    bytes += static_cast<double>(text.size());
  }
  ControlState state(kDefaultShardCount);
  std::vector<LogEntry> entries;
  CpuMeter decode;
  {
    const CpuMeter::Span span(decode);
    for (const std::string& text : texts) {
      auto record = DecodeRecord(text);
      if (record.ok()) {
        entries.push_back({entries.size(), *std::move(record)});
      }
    }
  }
  CpuMeter fold;
  {
    const CpuMeter::Span span(fold);
    for (const LogEntry& entry : entries) {
      state.Apply(entry);
    }
  }
  return {decode.ns(), fold.ns(), bytes};
}

std::vector<double> MeasureRecords(uint32_t records) {
  std::vector<std::string> texts;
  for (uint32_t i = 0; i < records; ++i) {
    texts.push_back(EditText(i));
  }
  return MeasureTexts(texts);
}

std::vector<double> MeasureAlive(uint32_t records) {
  std::vector<std::string> texts;
  for (uint32_t i = 0; i < records; ++i) {
    texts.push_back(AliveText(i));
  }
  return MeasureTexts(texts);
}

// The whole entry reads a log of this many records when it starts.
std::vector<double> MeasureStartRead(uint32_t records) {
  EntryDriver driver({.agents = 11, .edits = records});
  driver.ResetMeters();
  driver.ReadLogToHead();
  return {driver.cpu().ns()};
}

// An edit through the whole entry, with 1,300 workers linked.
std::vector<double> MeasureEdits(uint32_t edits) {
  EntryDriver driver({.agents = 1300, .rows = 40});
  driver.Start();
  driver.ResetMeters();
  for (uint32_t i = 0; i < edits; ++i) {
    driver.EditRow();
  }
  return {driver.cpu().ns(), static_cast<double>(driver.log_appends())};
}

}  // namespace

std::vector<Family> RecordFamilies() {
  return {
      {"snapshot_slots",
       [](uint32_t repeats) {
         return RunFamily("slots",
                          {{"record.snapshot_bytes.slots", "bytes"},
                           {"record.snapshot_encode.slots", "ns"},
                           {"record.snapshot_decode.slots", "ns"}},
                          {100, 325, 650, 1300}, repeats, MeasureSlots);
       }},
      {"rows",
       [](uint32_t repeats) {
         return RunFamily("rows",
                          {{"record.snapshot_bytes.rows", "bytes"},
                           {"record.snapshot_encode.rows", "ns"},
                           {"record.snapshot_decode.rows", "ns"},
                           {"entry.memory.rows", "bytes"},
                           {"entry.idle_cpu.rows", "ns/s"}},
                          {10, 40, 160, 640}, repeats, MeasureRows);
       }},
      {"records",
       [](uint32_t repeats) {
         return RunFamily("records",
                          {{"record.decode_cpu.records", "ns"},
                           {"record.fold_cpu.records", "ns"},
                           {"record.bytes.records", "bytes"}},
                          {500, 1000, 2000, 3800}, repeats, MeasureRecords);
       }},
      {"alive",
       [](uint32_t repeats) {
         return RunFamily("records",
                          {{"record.alive_decode.records", "ns"},
                           {"record.alive_fold.records", "ns"},
                           {"record.alive_bytes.records", "bytes"}},
                          {500, 1000, 2000, 3800}, repeats, MeasureAlive);
       }},
      {"start_read",
       [](uint32_t repeats) {
         return RunFamily("records", {{"entry.start_read_cpu.records", "ns"}},
                          {500, 1000, 2000, 3800}, repeats, MeasureStartRead);
       }},
      {"edits",
       [](uint32_t repeats) {
         return RunFamily("edits",
                          {{"entry.edit_cpu.edits", "ns"},
                           {"entry.edit_appends.edits", "appends"}},
                          {20, 40, 80, 160}, repeats, MeasureEdits);
       }},
  };
}

}  // namespace egretswitch::internal
