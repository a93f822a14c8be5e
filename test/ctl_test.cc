// Proves what egretswitchctl sends, prints and returns, against a fake HTTP
// server, log and clock.
#include "ctl.h"

#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "table_json.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

constexpr int64_t kStartMs = 1'700'000'000'000;
const std::string kHeader =
    "kind,version,weight,max_running,max_queued,team_rate,retry_percent,"
    "prefer_response\n";
const TableRow kCheck = {"check", 8, 0, 5000, 50, 20, 80};
constexpr const char* kRefusedForNow =
    R"({"status":"refused","team":"desk","id":"a17","reason":"queue_full",)"
    R"("verdict":"not_run","retry_after_ms":300,"detail":"row check"})";
constexpr const char* kComplete =
    R"({"status":"complete","id":"a17","team":"desk","outputs":["x","y"]})";

// Runs commands with scripted responses and a clock that only pauses move.
struct CtlFixture {
  CtlFixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "ctl-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    directory = pattern;
    token = Write("token", "0123456789abcdef\n");
  }
  ~CtlFixture() { std::filesystem::remove_all(directory); }

  std::string Write(const std::string& name, std::string_view text) {
    const std::string path = directory / name;
    std::ofstream(path) << text;
    return path;
  }

  int Run(std::vector<std::string> args) {
    out.str("");
    err.str("");
    const std::vector<std::string_view> views(args.begin(), args.end());
    CtlWorld world = {
        .send = [this](const CtlRequest& request) { return Send(request); },
        .read_log = [this](auto, auto, uint64_t from) { return ReadLog(from); },
        .now_ms = [this] { return now_ms; },
        .pause =
            [this](absl::Duration pause) {
              pauses.push_back(pause);
              now_ms += absl::ToInt64Milliseconds(pause);
            },
        .editor = "ana",
        .out = out,
        .err = err};
    return RunCtl(views, world);
  }

  // With an entry's address and the token.
  int RunAtEntry(std::vector<std::string> args) {
    for (const auto& option :
         {std::string("--entry"), std::string("127.0.0.1:7201"),
          std::string("--token-file"), token}) {
      args.push_back(option);
    }
    return Run(std::move(args));
  }

  absl::StatusOr<CtlResponse> Send(const CtlRequest& request) {
    requests.push_back(request);
    BOOST_REQUIRE_MESSAGE(!responses.empty(), "unexpected " + request.url);
    auto response = responses.front();
    responses.pop_front();
    return response;
  }

  absl::StatusOr<LogPage> ReadLog(uint64_t from) {
    LogPage page;
    page.first_kept = log.empty() ? 0 : log.front().offset;
    page.head = log.empty() ? 0 : log.back().offset + 1;
    for (const LogEntry& entry : log) {
      if (entry.offset >= from && page.entries.size() < log_page_size) {
        page.entries.push_back(entry);
      }
    }
    return page;
  }

  void Respond(int status, const std::string& body) {
    responses.push_back(CtlResponse{status, body});
  }
  void RespondTable(std::vector<RowState> rows) {
    Respond(200, TableToJson({7, std::move(rows)}));
  }
  void RespondEdit(EditVerdict verdict, const RowState& row) {
    Respond(200, EditOutcomeToJson({verdict, "why", row, 8}));
  }

  std::filesystem::path directory;
  std::string token;
  int64_t now_ms = kStartMs;
  std::vector<absl::Duration> pauses;
  std::deque<absl::StatusOr<CtlResponse>> responses;
  std::vector<CtlRequest> requests;
  std::vector<LogEntry> log;
  size_t log_page_size = 2;
  std::ostringstream out;
  std::ostringstream err;
};

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

// ---- Table
// -------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(table_get_writes_the_rows_in_force) {
  RespondTable({{kCheck, 3, false}, {{.kind = "old"}, 5, true}});
  const std::string path = directory / "t.csv";
  BOOST_TEST(RunAtEntry({"table", "get", "-o", path}) == kCtlOk);
  std::ifstream in(path);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  BOOST_TEST(text == kHeader + "check,3,8,0,5000,50,20,80\n");
  BOOST_TEST(requests[0].token == "0123456789abcdef");
}

BOOST_AUTO_TEST_CASE(table_get_to_an_impossible_file_is_a_user_error) {
  RespondTable({});
  BOOST_TEST(RunAtEntry({"table", "get", "-o", "/none/t.csv"}) ==
             kCtlUserError);
}

BOOST_AUTO_TEST_CASE(table_put_edits_changed_rows_only) {
  RespondTable({{kCheck, 3, false},
                {{.kind = "gone"}, 4, true},
                {{.kind = "other"}, 1, false},
                {{.kind = "same"}, 9, false}});
  RespondEdit(EditVerdict::kAccepted, {kCheck, 4, false});
  RespondEdit(EditVerdict::kAccepted, {{.kind = "gone"}, 5, false});
  RespondEdit(EditVerdict::kAccepted, {{.kind = "new"}, 1, false});
  const std::string path = Write("t.csv", kHeader +
                                              "check,3,9,0,5000,50,20,80\n"
                                              "gone,0,1,0,0,0,20,50\n"
                                              "new,0,1,0,0,0,20,50\n"
                                              "same,8,1,0,0,0,20,50\n");
  BOOST_TEST(RunAtEntry({"table", "put", path}) == kCtlOk);
  BOOST_TEST(out.str() ==
             "check: accepted, version 4\n"
             "gone: accepted, version 5\n"
             "new: accepted, version 1\n"
             "same: unchanged, version 9\n"
             "other: not in file, version 1: left as it is\n");
  BOOST_REQUIRE(requests.size() == 4u);
  const auto edit = ParseRowEdit(requests[1].body);
  BOOST_REQUIRE(edit.ok());
  BOOST_TEST(edit->expected_version == 3u);
  BOOST_TEST(edit->row.weight == 9u);
  BOOST_TEST(edit->editor == "ana");
  BOOST_TEST(ParseRowEdit(requests[2].body)->expected_version == 4u);
  BOOST_TEST(ParseRowEdit(requests[3].body)->expected_version == 0u);
}

BOOST_AUTO_TEST_CASE(table_put_of_a_row_changed_underneath_is_refused) {
  RespondTable({{kCheck, 4, false}});
  const std::string path =
      Write("t.csv", kHeader + "check,3,9,0,5000,50,20,80\n");
  BOOST_TEST(RunAtEntry({"table", "put", path}) == kCtlRefused);
  BOOST_TEST(requests.size() == 1u);
  BOOST_TEST(out.str() ==
             "check: outdated: the row changed underneath: the file has "
             "version 3, but version 4 is in force; of two edits the first in "
             "log order wins (see table diff, or get the table again)\n");
}

BOOST_AUTO_TEST_CASE(table_put_that_loses_the_race_in_the_log_is_refused) {
  RespondTable({{kCheck, 3, false}});
  RespondEdit(EditVerdict::kSuperseded, {kCheck, 4, false});
  const std::string path =
      Write("t.csv", kHeader + "check,3,9,0,5000,50,20,80\n");
  BOOST_TEST(RunAtEntry({"table", "put", path}) == kCtlRefused);
  BOOST_TEST(out.str().starts_with(
      "check: superseded: the row changed underneath: the file has version 3, "
      "but version 4 is in force"));
}

BOOST_AUTO_TEST_CASE(table_put_that_the_log_did_not_take_says_so) {
  RespondTable({});
  RespondEdit(EditVerdict::kNotAppended, {});
  const std::string path = Write("t.csv", kHeader + "a,0,1,0,0,0,20,50\n");
  BOOST_TEST(RunAtEntry({"table", "put", path}) == kCtlRefused);
  BOOST_TEST(out.str() == "a: not_appended: why\n");
}

BOOST_AUTO_TEST_CASE(table_put_goes_on_behind_a_row_that_fails) {
  RespondTable({});
  RespondEdit(EditVerdict::kUnknown, {});
  responses.push_back(absl::AbortedError("lost"));
  responses.push_back(absl::UnavailableError("down"));
  RespondEdit(EditVerdict::kAccepted, {{.kind = "d"}, 1, false});
  std::string text = kHeader;
  for (const char* kind : {"a", "b", "c", "d"}) {
    text += std::string(kind) + ",0,1,0,0,0,20,50\n";
  }
  BOOST_TEST(RunAtEntry({"table", "put", Write("t.csv", text)}) ==
             kCtlUnreachable);
  BOOST_TEST(out.str() ==
             "a: unknown: the log did not tell whether the edit took effect; "
             "see table diff later: why\n"
             "b: unknown: lost\n"
             "c: not sent: down\n"
             "d: accepted, version 1\n");
}

BOOST_AUTO_TEST_CASE(table_put_of_a_wrong_file_sends_nothing) {
  BOOST_TEST(RunAtEntry({"table", "put", Write("t.csv", kHeader + "x\n")}) ==
             kCtlUserError);
  BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(table_diff_shows_what_differs) {
  RespondTable({{kCheck, 3, false},
                {{.kind = "late"}, 2, false},
                {{.kind = "left"}, 1, false}});
  const std::string path = Write("t.csv", kHeader +
                                              "check,3,9,0,5000,0,20,80\n"
                                              "late,1,2,0,0,0,20,50\n"
                                              "new,0,1,0,0,0,20,50\n");
  BOOST_TEST(RunAtEntry({"table", "diff", path}) == kCtlRefused);
  BOOST_TEST(out.str().starts_with(
      "~ check: weight 8 -> 9, team_rate 50 -> 0\n"
      "! late: weight 1 -> 2: the row changed underneath: "));
  BOOST_TEST(out.str().ends_with("+ new\n- left: not in the file\n"));
}

BOOST_AUTO_TEST_CASE(table_diff_of_the_same_table_is_empty) {
  RespondTable({{kCheck, 3, false}});
  const std::string path =
      Write("t.csv", kHeader + "check,2,8,0,5000,50,20,80\n");
  BOOST_TEST(RunAtEntry({"table", "diff", path}) == kCtlOk);
  BOOST_TEST(out.str() == "");
}

BOOST_AUTO_TEST_CASE(table_delete_names_the_version) {
  RespondEdit(EditVerdict::kAccepted, {kCheck, 4, true});
  BOOST_TEST(RunAtEntry({"table", "delete", "check", "3"}) == kCtlOk);
  const auto edit = ParseRowEdit(requests[0].body);
  BOOST_REQUIRE(edit.ok());
  BOOST_TEST(edit->deleted);
  BOOST_TEST(edit->expected_version == 3u);
  BOOST_TEST(RunAtEntry({"table", "delete", "check", "x"}) == kCtlUserError);
}

// ---- History
// -----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(table_history_shows_each_edit_with_its_verdict) {
  TableRow heavier = kCheck;
  heavier.weight = 9;
  log = {{0, {"e0", RowEdited{"e0", "ana", 0, false, kCheck}}},
         {1, {"e1", RowEdited{"e1", "ben", 1, false, heavier}}},
         {2, {"e2", RowEdited{"e2", "ana", 1, true, kCheck}}},
         {3, {"e3", RowEdited{"e3", "", 2, true, kCheck}}}};
  BOOST_TEST(Run({"table", "history", "--log", "127.0.0.1:9000"}) == kCtlOk);
  BOOST_TEST(out.str() ==
             "offset 0  check against version 0  accepted  by ana: added, "
             "weight 1 -> 8, max_queued 0 -> 5000, team_rate 0 -> 50, "
             "prefer_response 50 -> 80\n"
             "offset 1  check against version 1  accepted  by ben: weight 8 -> "
             "9\n"
             "offset 2  check against version 1  superseded  by ana\n"
             "offset 3  check against version 2  accepted  by unknown: "
             "deleted\n");
}

BOOST_AUTO_TEST_CASE(table_history_behind_retention_begins_at_the_snapshot) {
  Snapshot snapshot;
  snapshot.next_offset = 11;
  snapshot.shards.resize(4);
  snapshot.rows = {{kCheck, 5, false}};
  log = {{10, {"e0", RowEdited{"e0", "ana", 4, false, kCheck}}},
         {11, {"e1", RowEdited{"e1", "ana", 4, false, kCheck}}},
         {12, {"s", snapshot}},
         {13, {"e3", RowEdited{"e3", "ben", 5, true, kCheck}}}};
  BOOST_TEST(Run({"table", "history", "--log", "127.0.0.1:9000", "--shards",
                  "4", "--json"}) == kCtlOk);
  const json lines = json::parse(out.str());
  BOOST_REQUIRE(lines.size() == 3u);
  BOOST_TEST(lines[0]["verdict"] == "unknown");
  BOOST_TEST(lines[1]["verdict"] == "superseded");
  BOOST_TEST(lines[2]["verdict"] == "accepted");
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
