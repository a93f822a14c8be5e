#include "job_json.h"

#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "json_document.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

// Latest wall time that any field may hold: the end of the year 9999.
constexpr int64_t kLatestMs = 253'402'300'799'999;

// A submission of 790 tasks has some thousands of values; the rest is left to
// payloads that are JSON themselves.
constexpr JsonLimits kSubmissionLimits = {.depth = 16, .values = 200'000};
constexpr JsonLimits kOutcomeLimits = {.depth = 4, .values = 10'000};

SubmissionKey ReadKey(JsonObjectReader& reader) {
  SubmissionKey key;
  key.team = reader.PrintableText("team", 1, kMaxTeamBytes);
  key.id = reader.PrintableText("id", 1, kMaxIdBytes);
  return key;
}

uint32_t ReadNeed(JsonObjectReader& reader,
                  std::string_view name,
                  uint32_t most) {
  return static_cast<uint32_t>(reader.Integer(name, {0, most}, 0));
}

TaskNeeds ReadNeeds(const json& value, JsonObjectReader& task) {
  JsonObjectReader reader(value, task.PathOf("needs"));
  TaskNeeds needs;
  needs.millicores = ReadNeed(reader, "millicores", kMaxNeeds.millicores);
  needs.memory_mb = ReadNeed(reader, "memory_mb", kMaxNeeds.memory_mb);
  needs.accelerators = ReadNeed(reader, "accelerators", kMaxNeeds.accelerators);
  task.Merge(reader.Finish());
  return needs;
}

// A payload that is not a string travels as its compact JSON text.
std::string ReadPayload(JsonObjectReader& reader) {
  const json* value = reader.Find("payload", true);
  if (value == nullptr) {
    return {};
  }
  std::string payload =
      value->is_string() ? value->get<std::string>() : value->dump();
  if (payload.size() > kMaxPayloadBytes) {
    reader.Fail("payload", absl::StrCat(payload.size(), " bytes"),
                absl::StrCat("at most ", kMaxPayloadBytes, " bytes"));
  }
  return payload;
}

absl::StatusOr<TaskSpec> ReadTask(const json& value, size_t index) {
  JsonObjectReader reader(value, absl::StrCat("tasks[", index, "]"));
  TaskSpec task;
  task.payload = ReadPayload(reader);
  task.declared_ms = static_cast<uint32_t>(
      reader.Integer("declared_ms", {0, kMaxDeclaredMs}, 0));
  if (const json* needs = reader.Find("needs", false)) {
    task.needs = ReadNeeds(*needs, reader);
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return task;
}

std::vector<TaskSpec> ReadTasks(JsonObjectReader& reader) {
  std::vector<TaskSpec> tasks;
  const json* value = reader.Find("tasks", true);
  if (value == nullptr) {
    return tasks;
  }
  if (!value->is_array() || value->empty() || value->size() > kMaxTasksPerJob) {
    reader.Fail("tasks", DescribeJson(*value),
                absl::StrCat("an array of 1 to ", kMaxTasksPerJob));
    return tasks;
  }
  tasks.reserve(value->size());
  for (const json& element : *value) {
    absl::StatusOr<TaskSpec> task = ReadTask(element, tasks.size());
    if (!task.ok()) {
      reader.Merge(task.status());
      return tasks;
    }
    tasks.push_back(*std::move(task));
  }
  return tasks;
}

// Most outputs are plain ASCII, which goes out as it is. Anything else passes
// through the library's escaping, which throws on invalid UTF-8; such bytes are
// kept whole in base64, because replacing them would change an answer.
void AppendOutput(std::string_view output, std::string* out) {
  bool plain = true;
  for (const char c : output) {
    plain &= c >= 0x20 && c < 0x7F && c != '"' && c != '\\';
  }
  if (plain) {
    absl::StrAppend(out, "\"", absl::string_view(output.data(), output.size()),
                    "\"");
    return;
  }
  try {
    out->append(json(output).dump());
  } catch (const json::type_error&) {
    absl::StrAppend(
        out, "{\"base64\":\"",
        absl::Base64Escape(absl::string_view(output.data(), output.size())),
        "\"}");
  }
}

std::string Quoted(std::string_view text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string AnswerToJson(const SubmissionKey& key, const JobAnswer& answer) {
  size_t bytes = 64 + key.id.size() + key.team.size();
  for (const TaskOutput& output : answer.outputs) {
    bytes += output.payload.size() + 3;
  }
  std::string out;
  out.reserve(bytes);
  absl::StrAppend(&out, "{\"status\":\"complete\",\"id\":", Quoted(key.id),
                  ",\"team\":", Quoted(key.team), ",\"outputs\":[");
  bool first = true;
  for (const TaskOutput& output : answer.outputs) {
    if (!first) {
      out += ',';
    }
    first = false;
    AppendOutput(output.payload, &out);
  }
  out += "]}";
  return out;
}

json RefusalDocument(const JobRefusal& refusal) {
  const bool not_run = refusal.verdict == RunVerdict::kNotRun;
  return {{"status", not_run ? "refused" : "failed"},
          {"reason", RefusalReasonName(refusal.reason)},
          {"verdict", RunVerdictName(refusal.verdict)},
          {"retry_after_ms", refusal.retry_after_ms},
          {"detail", refusal.detail}};
}

std::string DumpLenient(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RefusalReason> ReasonFromName(std::string_view name) {
  const auto count = static_cast<uint8_t>(RefusalReason::kCount);
  for (uint8_t value = 0; value < count; ++value) {
    const auto reason = static_cast<RefusalReason>(value);
    if (RefusalReasonName(reason) == name) {
      return reason;
    }
  }
  return std::nullopt;
}

absl::StatusOr<TaskOutput> ReadOutput(const json& value, size_t index) {
  if (value.is_string()) {
    return TaskOutput{value.get<std::string>()};
  }
  std::string decoded;
  if (value.is_object() && value.size() == 1 && value.contains("base64") &&
      value["base64"].is_string() &&
      absl::Base64Unescape(value["base64"].get_ref<const std::string&>(),
                           &decoded)) {
    return TaskOutput{std::move(decoded)};
  }
  return absl::InvalidArgumentError(
      absl::StrCat("outputs[", index, "]: found ", DescribeJson(value),
                   ", allowed: text or {\"base64\": text}"));
}

absl::StatusOr<JobOutcome> ReadAnswer(JsonObjectReader& reader) {
  ReadKey(reader);
  JobAnswer answer;
  const json* outputs = reader.Find("outputs", true);
  if (outputs != nullptr && !outputs->is_array()) {
    reader.Fail("outputs", DescribeJson(*outputs), "an array");
  } else if (outputs != nullptr) {
    for (const json& element : *outputs) {
      absl::StatusOr<TaskOutput> output =
          ReadOutput(element, answer.outputs.size());
      if (!output.ok()) {
        return output.status();
      }
      answer.outputs.push_back(*std::move(output));
    }
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return answer;
}

absl::StatusOr<JobOutcome> ReadRefusal(JsonObjectReader& reader,
                                       std::string_view status_name) {
  reader.Find("team", false);
  reader.Find("id", false);
  JobRefusal refusal;
  refusal.verdict =
      status_name == "refused" ? RunVerdict::kNotRun : RunVerdict::kMayHaveRun;
  const std::string reason_name = reader.PrintableText("reason", 1, 64);
  const auto reason = ReasonFromName(reason_name);
  if (!reason.has_value()) {
    reader.Fail("reason", reason_name, "a known reason");
  }
  refusal.reason = reason.value_or(RefusalReason::kNone);
  const std::string verdict = reader.PrintableText("verdict", 1, 64);
  if (verdict != RunVerdictName(refusal.verdict)) {
    reader.Fail("verdict", verdict, RunVerdictName(refusal.verdict));
  }
  refusal.retry_after_ms = static_cast<uint32_t>(reader.Integer(
      "retry_after_ms", {0, std::numeric_limits<uint32_t>::max()}, 0));
  const json* detail = reader.Find("detail", false);
  if (detail != nullptr && detail->is_string()) {
    refusal.detail = detail->get<std::string>();
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return refusal;
}

}  // namespace

absl::StatusOr<Submission> ParseSubmission(std::string_view text) {
  absl::StatusOr<json> document = ParseJson(text, kSubmissionLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  Submission submission;
  submission.key = ReadKey(reader);
  submission.kind = reader.PrintableText("kind", 1, kMaxKindBytes);
  submission.submitted_ms = reader.Integer("submitted_ms", {0, kLatestMs});
  submission.deadline_ms = reader.Integer("deadline_ms", {0, kLatestMs});
  submission.repeatable = reader.Boolean("repeatable", false);
  submission.tasks = ReadTasks(reader);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return submission;
}

std::string SubmissionToJson(const Submission& submission) {
  json tasks = json::array();
  for (const TaskSpec& task : submission.tasks) {
    tasks.push_back({{"payload", task.payload},
                     {"declared_ms", task.declared_ms},
                     {"needs",
                      {{"millicores", task.needs.millicores},
                       {"memory_mb", task.needs.memory_mb},
                       {"accelerators", task.needs.accelerators}}}});
  }
  return DumpLenient({{"team", submission.key.team},
                      {"id", submission.key.id},
                      {"kind", submission.kind},
                      {"submitted_ms", submission.submitted_ms},
                      {"deadline_ms", submission.deadline_ms},
                      {"repeatable", submission.repeatable},
                      {"tasks", std::move(tasks)}});
}

absl::StatusOr<SubmissionKey> ParseSubmissionKey(std::string_view text) {
  absl::StatusOr<json> document = ParseJson(text, kSubmissionLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  SubmissionKey key = ReadKey(reader);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return key;
}

std::string OutcomeToJson(const SubmissionKey& key, const JobOutcome& outcome) {
  if (const auto* answer = std::get_if<JobAnswer>(&outcome)) {
    return AnswerToJson(key, *answer);
  }
  json document = RefusalDocument(std::get<JobRefusal>(outcome));
  document["id"] = key.id;
  document["team"] = key.team;
  return DumpLenient(document);
}

std::string RefusalToJson(const JobRefusal& refusal) {
  return DumpLenient(RefusalDocument(refusal));
}

absl::StatusOr<JobOutcome> ParseOutcome(std::string_view text) {
  absl::StatusOr<json> document = ParseJson(text, kOutcomeLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  const std::string status_name = reader.PrintableText("status", 1, 16);
  if (status_name == "complete") {
    return ReadAnswer(reader);
  }
  if (status_name != "refused" && status_name != "failed") {
    reader.Fail("status", status_name, "complete, refused or failed");
    return reader.Finish();
  }
  return ReadRefusal(reader, status_name);
}

}  // namespace egretswitch::internal
