// Proves what the commands of egretswitchctl on the operator table send and
// print, and what they take from the log.
#include "ctl.h"

#include <fstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "ctl_fixture.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

const std::string kHeader =
    "kind,version,weight,max_running,max_queued,team_rate,retry_percent,"
    "prefer_response\n";
const TableRow kCheck = {"check", 8, 0, 5000, 50, 20, 80};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ctl, CtlFixture)

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
