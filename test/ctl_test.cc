// Proves what egretswitchctl sends, prints and returns, against a fake HTTP
// server, log and clock.
#include "ctl.h"

#include <filesystem>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "ctl_fixture.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

constexpr const char* kRefusedForNow =
    R"({"status":"refused","team":"desk","id":"a17","reason":"queue_full",)"
    R"("verdict":"not_run","retry_after_ms":300,"detail":"row check"})";
constexpr const char* kComplete =
    R"({"status":"complete","id":"a17","team":"desk","outputs":["x","y"]})";
const char* kJob =
    R"({"team":"desk","id":"a17","kind":"check","tasks":[{"payload":"p"}]})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ctl, CtlFixture)

// ---- Arguments
// ---------------------------------------------------------------

BOOST_AUTO_TEST_CASE(help_and_version_are_printed) {
  BOOST_TEST(Run({"--help"}) == kCtlOk);
  BOOST_TEST(out.str().find("Exit codes:") != std::string::npos);
  BOOST_TEST(Run({"table", "put", "-h"}) == kCtlOk);
  BOOST_TEST(Run({"--version"}) == kCtlOk);
  BOOST_TEST(out.str().starts_with("egretswitchctl 0."));
}

BOOST_AUTO_TEST_CASE(wrong_arguments_are_user_errors) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"tables"},
      {"table"},
      {"table", "put"},
      {"cancel", "desk"},
      {"status", "more"},
      {"status", "--colour"},
      {"status", "--entry"},
      {"status", "--entry", "localhost:80", "--token-file", token},
      {"status", "--entry", "127.0.0.1:7201"},
      {"status", "--entry", "127.0.0.1:7201", "--token-file", "/none"},
      {"status", "--token-file", token},
      {"status", "--timeout", "5", "--entry", "127.0.0.1:7201"},
      {"status", "--timeout", "-1s"},
      {"status", "--wait"},
      {"status", "-o", "x"},
      {"status", "--log", "127.0.0.1:9000"},
      {"table", "history"},
      {"table", "history", "--log", "127.0.0.1:9000", "--shards", "x"},
      {"submit", "/none.json", "--entry", "127.0.0.1:8001"},
  };
  for (const auto& args : wrong) {
    BOOST_TEST(Run(args) == kCtlUserError);
    BOOST_TEST(err.str().starts_with("user error: "), err.str());
  }
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(unknown_command_names_the_known_ones) {
  Run({"tabel", "get"});
  BOOST_TEST(err.str().starts_with(
      "user error: command: found \"tabel get\", allowed submit, cancel, "));
}

// ---- Settings
// ----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(settings_check_accepts_the_examples) {
  const std::string path = std::string(EGRETSWITCH_EXAMPLES) + "/entry.yaml";
  BOOST_TEST(Run({"settings", "check", path}) == kCtlOk);
  BOOST_TEST(out.str() == path + ": right, for entry entry-a\n");
}

BOOST_AUTO_TEST_CASE(settings_check_shows_faults) {
  const std::string path = Write("s.yaml", "role: entry\ncolour: red\n");
  BOOST_TEST(Run({"settings", "check", path}) == kCtlUserError);
  BOOST_TEST(err.str().find("user error: " + path + ":2: colour: found an ") !=
             std::string::npos);
}

// ---- Jobs
// --------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(submit_prints_each_output_in_order) {
  Respond(200, kComplete);
  BOOST_TEST(Run({"submit", Write("j", kJob), "--entry",
                  "http://127.0.0.1:8001/"}) == kCtlOk);
  BOOST_TEST(out.str() == "x\ny\n");
  BOOST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].url == "http://127.0.0.1:8001/v1/jobs");
  BOOST_TEST(requests[0].token == "");
  BOOST_TEST((requests[0].timeout == absl::Seconds(12)));
  const json body = json::parse(requests[0].body);
  BOOST_TEST(body["submitted_ms"] == kStartMs);
  BOOST_TEST(body["deadline_ms"] == kStartMs + 10'000);
}

BOOST_AUTO_TEST_CASE(submit_of_the_example_is_well_formed) {
  Respond(200, kComplete);
  const std::string path = std::string(EGRETSWITCH_EXAMPLES) + "/job.json";
  BOOST_TEST(Run({"submit", path, "--json", "--entry", "127.0.0.1:8001"}) ==
             kCtlOk);
  BOOST_TEST(out.str() == std::string(kComplete) + "\n");
}

BOOST_AUTO_TEST_CASE(submit_of_a_wrong_file_sends_nothing) {
  const std::string path = Write("j", R"({"team":"desk","tasks":[]})");
  BOOST_TEST(Run({"submit", path, "--entry", "127.0.0.1:8001"}) ==
             kCtlUserError);
  BOOST_TEST(err.str().find("user error: " + path + ": id") !=
             std::string::npos);
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(submit_refused_shows_reason_and_verdict) {
  Respond(429, kRefusedForNow);
  BOOST_TEST(Run({"submit", Write("j", kJob), "--entry", "127.0.0.1:8001"}) ==
             kCtlRefused);
  BOOST_TEST(err.str().ends_with(
      "refused: queue_full (not_run), come back in 300 ms: row check\n"));
  BOOST_TEST(pauses.empty());
}

BOOST_AUTO_TEST_CASE(submit_with_wait_sends_the_same_job_until_it_is_answered) {
  Respond(429, kRefusedForNow);
  responses.push_back(absl::AbortedError("lost"));
  responses.push_back(absl::UnavailableError("down"));
  Respond(200, kComplete);
  BOOST_TEST(Run({"submit", Write("j", kJob), "--wait", "--entry",
                  "127.0.0.1:8001"}) == kCtlOk);
  BOOST_REQUIRE(requests.size() == 4u);
  BOOST_TEST(requests[3].body == requests[0].body);
  BOOST_TEST((pauses.front() == absl::Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(submit_with_wait_ends_with_the_deadline) {
  for (int i = 0; i < 100; ++i) {
    Respond(429, kRefusedForNow);
  }
  BOOST_TEST(Run({"submit", Write("j", kJob), "--wait", "--entry",
                  "127.0.0.1:8001"}) == kCtlRefused);
  BOOST_TEST(now_ms < kStartMs + 10'000);
  BOOST_TEST(now_ms >= kStartMs + 10'000 - 300);
}

BOOST_AUTO_TEST_CASE(submit_goes_to_the_next_entry_only_when_nothing_was_sent) {
  const std::string job = Write("j", kJob);
  const std::vector<std::string> args = {
      "submit", job, "--entry", "127.0.0.1:8001", "--entry", "127.0.0.1:8002"};
  responses.push_back(absl::UnavailableError("down"));
  Respond(200, kComplete);
  BOOST_TEST(Run(args) == kCtlOk);
  responses.push_back(absl::AbortedError("lost"));
  BOOST_TEST(Run(args) == kCtlUnreachable);
  BOOST_TEST(err.str().find("the job may have run") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(submit_answered_by_no_outcome_is_refused) {
  Respond(200, "<html>");
  BOOST_TEST(Run({"submit", Write("j", kJob), "--entry", "127.0.0.1:8001"}) ==
             kCtlRefused);
}

BOOST_AUTO_TEST_CASE(cancel_tells_cancelled_from_already_answered) {
  const std::vector<std::string> args = {"cancel", "desk", "a17", "--entry",
                                         "127.0.0.1:8001"};
  Respond(200,
          R"({"status":"failed","team":"desk","id":"a17","reason":"cancelled",)"
          R"("verdict":"may_have_run","retry_after_ms":0,"detail":""})");
  BOOST_TEST(Run(args) == kCtlOk);
  BOOST_TEST(out.str() == "cancelled (may_have_run)\n");
  BOOST_TEST(requests[0].body == R"({"id":"a17","team":"desk"})");
  Respond(200, kComplete);
  BOOST_TEST(Run(args) == kCtlRefused);
}

// ---- Operation
// ---------------------------------------------------------------

BOOST_AUTO_TEST_CASE(status_shows_every_entry_and_those_out_of_reach) {
  Respond(200,
          R"({"name":"entry-a","shards":[0,1],"peers":[{"n":1},{"n":2}]})");
  responses.push_back(absl::UnavailableError("127.0.0.1:7202: refused"));
  BOOST_TEST(RunAtEntry({"status", "--entry", "127.0.0.1:7202"}) ==
             kCtlUnreachable);
  BOOST_TEST(out.str() ==
             "http://127.0.0.1:7202\n"
             "  name    entry-a\n"
             "  peers\n"
             "    {\"n\":1}\n"
             "    {\"n\":2}\n"
             "  shards  [0,1]\n");
  BOOST_TEST(err.str() == "cannot reach: 127.0.0.1:7202: refused\n");
}

BOOST_AUTO_TEST_CASE(status_as_json_has_a_member_for_each_entry) {
  Respond(200, R"({"name":"entry-a"})");
  BOOST_TEST(RunAtEntry({"status", "--json"}) == kCtlOk);
  BOOST_TEST(out.str() ==
             "{\"http://127.0.0.1:7201\":{\"name\":\"entry-a\"}}\n");
}

BOOST_AUTO_TEST_CASE(counters_are_read_from_the_text_format) {
  Respond(
      200,
      "# HELP a b\n# TYPE a counter\njobs_total{reason=\"a b\"} 3\nx 1.5\n");
  BOOST_TEST(RunAtEntry({"counters", "--json"}) == kCtlOk);
  BOOST_TEST(out.str() ==
             "{\"http://127.0.0.1:7201\":"
             "{\"jobs_total{reason=\\\"a b\\\"}\":3,\"x\":1.5}}\n");
}

BOOST_AUTO_TEST_CASE(evacuations_are_picked_from_the_metrics) {
  Respond(200,
          "# TYPE egretswitch_evacuated_seconds gauge\n"
          "egretswitch_evacuated_seconds{data_centre=\"south\",from=\"store\"} "
          "3.5\negretswitch_jobs_open 2\n");
  BOOST_TEST(Run({"evacuations", "--entry", "127.0.0.1:7735"}) == kCtlOk);
  BOOST_TEST(out.str().find("{data_centre=\"south\",from=\"store\"}  3.5") !=
             std::string::npos);
  BOOST_TEST(out.str().find("jobs_open") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(call_with_a_wrong_token_is_refused) {
  Respond(401, R"({"error":"a valid Bearer token is needed"})");
  BOOST_TEST(RunAtEntry({"status"}) == kCtlRefused);
  BOOST_TEST(err.str().starts_with("refused: http://127.0.0.1:7201/status: "));
}

BOOST_AUTO_TEST_CASE(token_file_with_crlf_is_read_without_it) {
  token = Write("crlf", "0123456789abcdef\r\n");
  Respond(200, "{}");
  BOOST_TEST(RunAtEntry({"status"}) == kCtlOk);
  BOOST_TEST(requests[0].token == "0123456789abcdef");
}

BOOST_AUTO_TEST_CASE(token_that_no_header_can_carry_is_a_user_error) {
  token = Write("bad", "0123 456\n");
  BOOST_TEST(RunAtEntry({"status"}) == kCtlUserError);
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(drain_takes_exactly_one_entry) {
  BOOST_TEST(RunAtEntry({"drain", "--entry", "127.0.0.1:7202"}) ==
             kCtlUserError);
  BOOST_TEST(requests.empty());
  Respond(202, R"({"draining":true})");
  BOOST_TEST(RunAtEntry({"drain"}) == kCtlOk);
  BOOST_TEST(requests[0].method == "POST");
}

BOOST_AUTO_TEST_CASE(entry_ended_reports_an_unknown_name) {
  Respond(404, R"({"error":"no such entry"})");
  BOOST_TEST(RunAtEntry({"entry", "ended", "entry-x"}) == kCtlRefused);
  BOOST_TEST(err.str() == "refused: no such entry\n");
  Respond(200, R"({"ended":true})");
  BOOST_TEST(RunAtEntry({"entry", "ended", "entry-b"}) == kCtlOk);
  BOOST_TEST(requests[1].body == R"({"name":"entry-b"})");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
