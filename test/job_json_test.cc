// The JSON of callers: what is read, what is turned away and in which words.
#include "job_json.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "json_document.h"

namespace egretswitch::internal {
namespace {

std::string JobText(std::string_view tasks,
                    std::string_view id = "a17",
                    std::string_view more = "") {
  return "{\"team\":\"desk\",\"id\":\"" + std::string(id) +
         "\",\"kind\":\"check\",\"submitted_ms\":1700000000000,"
         "\"deadline_ms\":1700000002000," +
         std::string(more) + "\"tasks\":" + std::string(tasks) + "}";
}

std::string TasksText(size_t count) {
  std::string text = "[";
  for (size_t i = 0; i < count; ++i) {
    text += i == 0 ? "" : ",";
    text += "{\"payload\":\"x\",\"declared_ms\":50}";
  }
  return text + "]";
}

// The error for `text`, which must be refused.
std::string ErrorFor(std::string_view text) {
  const absl::StatusOr<Submission> submission = ParseSubmission(text);
  BOOST_REQUIRE(!submission.ok());
  return std::string(submission.status().message());
}

void CheckErrorHas(std::string_view text, std::string_view part) {
  const std::string error = ErrorFor(text);
  BOOST_CHECK_MESSAGE(error.find(part) != std::string::npos,
                      "\"" << error << "\" lacks \"" << part << "\"");
}

BOOST_AUTO_TEST_SUITE(JobJson)

BOOST_AUTO_TEST_CASE(Submission_WithEveryField_IsRead) {
  const auto submission = ParseSubmission(JobText(
      "[{\"payload\":\"SKF 6204\",\"declared_ms\":50,\"needs\":{\"millicores\":"
      "500,\"memory_mb\":64,\"accelerators\":1}},"
      "{\"payload\":{\"part\": [1, 2.5, null]}}]",
      "a17", "\"repeatable\":true,"));
  BOOST_REQUIRE_MESSAGE(submission.ok(), submission.status().ToString());
  BOOST_CHECK_EQUAL(submission->key.team, "desk");
  BOOST_CHECK_EQUAL(submission->key.id, "a17");
  BOOST_CHECK_EQUAL(submission->kind, "check");
  BOOST_CHECK_EQUAL(submission->submitted_ms, 1700000000000);
  BOOST_CHECK_EQUAL(submission->deadline_ms, 1700000002000);
  BOOST_CHECK(submission->repeatable);
  BOOST_REQUIRE_EQUAL(submission->tasks.size(), 2);
  BOOST_CHECK(submission->tasks[0] ==
              (TaskSpec{"SKF 6204", 50, TaskNeeds{500, 64, 1}}));
  BOOST_CHECK(submission->tasks[1] ==
              (TaskSpec{"{\"part\":[1,2.5,null]}", 0, TaskNeeds{}}));
}

BOOST_AUTO_TEST_CASE(Submission_OfMostTasks_IsRead) {
  const auto submission = ParseSubmission(JobText(TasksText(790)));
  BOOST_REQUIRE(submission.ok());
  BOOST_CHECK_EQUAL(submission->tasks.size(), 790);
}

BOOST_AUTO_TEST_CASE(Submission_WrittenAndRead_IsTheSame) {
  const auto first = ParseSubmission(JobText(TasksText(3), "Zoë \\\"7\\\""));
  BOOST_REQUIRE(first.ok());
  const auto second = ParseSubmission(SubmissionToJson(*first));
  BOOST_REQUIRE(second.ok());
  BOOST_CHECK_EQUAL(DigestOf(*first), DigestOf(*second));
}

BOOST_AUTO_TEST_CASE(Submission_TruncatedAnywhere_IsRefused) {
  const std::string text = JobText(TasksText(2));
  for (size_t length = 0; length < text.size(); ++length) {
    BOOST_CHECK(!ParseSubmission(text.substr(0, length)).ok());
  }
  CheckErrorHas(text.substr(0, 40), "not valid JSON at byte");
}

BOOST_AUTO_TEST_CASE(Submission_WithTextAfterIt_IsRefused) {
  CheckErrorHas(JobText(TasksText(1)) + "{}", "not valid JSON at byte");
}

BOOST_AUTO_TEST_CASE(Submission_OfWrongTaskCount_NamesBothCounts) {
  CheckErrorHas(JobText(TasksText(791)),
                "tasks: found an array of 791, allowed: an array of 1 to 790");
  CheckErrorHas(JobText("[]"), "tasks: found an array of 0");
  CheckErrorHas(JobText("{}"), "tasks: found an object");
}

BOOST_AUTO_TEST_CASE(Submission_OfWrongTypes_NamesFieldFoundAndAllowed) {
  CheckErrorHas("[]", "document: found an array of 0, allowed: an object");
  CheckErrorHas(JobText("[7]"), "tasks[0]: found 7, allowed: an object");
  CheckErrorHas(JobText("[{\"payload\":\"x\",\"declared_ms\":\"50\"}]"),
                "tasks[0].declared_ms: found \"50\", allowed: an integer from "
                "0 to 600000");
  CheckErrorHas(JobText("[{\"payload\":\"x\",\"declared_ms\":1.5}]"),
                "tasks[0].declared_ms: found 1.5");
  CheckErrorHas(JobText(TasksText(1), "a", "\"repeatable\":1,"),
                "repeatable: found 1, allowed: true or false");
  CheckErrorHas("{\"team\":5}", "team: found 5, allowed: printable text");
}

BOOST_AUTO_TEST_CASE(Submission_WithoutField_NamesIt) {
  CheckErrorHas("{}", "team: found nothing");
  CheckErrorHas(JobText("[{\"declared_ms\":5}]"),
                "tasks[0].payload: found nothing");
}

BOOST_AUTO_TEST_CASE(Submission_OutOfRange_NamesValueAndRange) {
  CheckErrorHas(JobText("[{\"payload\":\"x\",\"declared_ms\":-1}]"),
                "tasks[0].declared_ms: found -1");
  CheckErrorHas(JobText("[{\"payload\":\"x\",\"declared_ms\":600001}]"),
                "found 600001");
  CheckErrorHas(
      JobText("[{\"payload\":\"x\",\"declared_ms\":18446744073709551615}]"),
      "found 18446744073709551615");
  CheckErrorHas(JobText("[{\"payload\":\"x\",\"needs\":{\"memory_mb\":-4}}]"),
                "tasks[0].needs.memory_mb: found -4");
}

BOOST_AUTO_TEST_CASE(Integer_BeyondSignedRange_DoesNotWrapIntoItsRange) {
  const auto document = ParseJson("{\"x\":18446744073709551615}", {});
  BOOST_REQUIRE(document.ok());
  JsonObjectReader reader(*document, "");
  reader.Integer("x", {-5, 5});
  BOOST_CHECK(!reader.Finish().ok());
}

BOOST_AUTO_TEST_CASE(Submission_OfLongPayload_NamesItsSize) {
  const std::string most(kMaxPayloadBytes, 'x');
  BOOST_CHECK(
      ParseSubmission(JobText("[{\"payload\":\"" + most + "\"}]")).ok());
  CheckErrorHas(JobText("[{\"payload\":\"" + most + "x\"}]"),
                "tasks[0].payload: found 65537 bytes, allowed: at most 65536");
}

BOOST_AUTO_TEST_CASE(Submission_OfBadId_IsRefusedWithoutRepeatingIt) {
  CheckErrorHas(JobText(TasksText(1), std::string(10'240, 'i')),
                "id: found text of 10240 bytes, allowed: printable text of 1 "
                "to 128 bytes");
  CheckErrorHas(JobText(TasksText(1), ""), "id: found \"\"");
  CheckErrorHas(JobText(TasksText(1), "a\\u0000b"), "id: found \"a\\u0000b\"");
  CheckErrorHas(JobText(TasksText(1), "\\u009b"), "id: found");
}

BOOST_AUTO_TEST_CASE(Submission_OfInvalidUtf8_IsRefused) {
  CheckErrorHas(JobText(TasksText(1), "a\xff"), "not valid JSON at byte");
  CheckErrorHas(JobText("[{\"payload\":\"\xc0\xaf\"}]"), "not valid JSON");
  CheckErrorHas(JobText("[{\"payload\":\"\\ud800\"}]"), "not valid JSON");
}

BOOST_AUTO_TEST_CASE(Submission_WithUnknownOrRepeatedField_NamesIt) {
  CheckErrorHas(JobText(TasksText(1), "a", "\"dead_line\":1,"),
                "dead_line: found an unknown field, allowed: team, id");
  CheckErrorHas(JobText("[{\"payload\":\"x\",\"size\":1}]"),
                "tasks[0].size: found an unknown field");
  CheckErrorHas(JobText(TasksText(1), "a", "\"id\":\"b\","), "id: found twice");
}

BOOST_AUTO_TEST_CASE(Submission_OfDeepOrManyValues_IsRefused) {
  const std::string deep = std::string(100'000, '[');
  CheckErrorHas(JobText("[{\"payload\":" + deep), "nested deeper than 16");
  std::string many = "[0";
  for (int i = 0; i < 200'000; ++i) {
    many += ",0";
  }
  CheckErrorHas(JobText("[{\"payload\":" + many + "]}]"),
                "more than 200000 JSON values");
}

BOOST_AUTO_TEST_CASE(Answer_WithAnyOutputs_IsReadBackTheSame) {
  JobAnswer answer;
  for (const char* output :
       {"in stock", "", "say \"7\"\\\n", "Zoë", "\xff\x01 bytes", "\xff\xfe"}) {
    answer.outputs.push_back({output});
  }
  const std::string text = OutcomeToJson({"desk", "a17"}, answer);
  BOOST_CHECK(
      text.starts_with("{\"status\":\"complete\",\"id\":\"a17\","
                       "\"team\":\"desk\",\"outputs\":[\"in stock\","));
  BOOST_CHECK(text.find("{\"base64\":") != std::string::npos);
  const auto outcome = ParseOutcome(text);
  BOOST_REQUIRE_MESSAGE(outcome.ok(), outcome.status().ToString());
  const auto& outputs = std::get<JobAnswer>(*outcome).outputs;
  BOOST_REQUIRE_EQUAL(outputs.size(), answer.outputs.size());
  for (size_t i = 0; i < outputs.size(); ++i) {
    BOOST_CHECK_EQUAL(outputs[i].payload, answer.outputs[i].payload);
  }
}

BOOST_AUTO_TEST_CASE(Refusal_OfEveryReasonAndVerdict_IsReadBackTheSame) {
  for (uint8_t i = 1; i < static_cast<uint8_t>(RefusalReason::kCount); ++i) {
    for (const RunVerdict verdict :
         {RunVerdict::kNotRun, RunVerdict::kMayHaveRun}) {
      const JobRefusal refusal = {static_cast<RefusalReason>(i), verdict, 120,
                                  "row \"check\""};
      const auto outcome =
          ParseOutcome(OutcomeToJson({"desk", "a17"}, refusal));
      BOOST_REQUIRE_MESSAGE(outcome.ok(), outcome.status().ToString());
      const auto& read = std::get<JobRefusal>(*outcome);
      BOOST_CHECK(read.reason == refusal.reason);
      BOOST_CHECK(read.verdict == refusal.verdict);
      BOOST_CHECK_EQUAL(read.retry_after_ms, 120);
      BOOST_CHECK_EQUAL(read.detail, refusal.detail);
    }
  }
}

BOOST_AUTO_TEST_CASE(Refusal_ThatMayHaveRun_IsCalledFailed) {
  const JobRefusal refused = {.reason = RefusalReason::kQueueFull,
                              .verdict = RunVerdict::kNotRun,
                              .detail = ""};
  BOOST_CHECK(RefusalToJson(refused).find("\"status\":\"refused\"") !=
              std::string::npos);
  const JobRefusal failed = {.reason = RefusalReason::kWorkerLost,
                             .verdict = RunVerdict::kMayHaveRun,
                             .detail = ""};
  BOOST_CHECK(RefusalToJson(failed).find("\"status\":\"failed\"") !=
              std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
