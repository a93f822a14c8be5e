// Operators' calls: the token, the table and its edits, and the rest.
#include "operator_api.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "plain_http_client.h"

namespace egretswitch::internal {
namespace {

constexpr std::string_view kToken = "Authorization: Bearer s3cret\r\n";
constexpr std::string_view kEdit =
    R"({"row":{"kind":"check","weight":5},"expected_version":3,)"
    R"("editor":"rosa"})";

// Answers every call at once and keeps what it was asked.
class FakeOperatorGateway : public OperatorGateway {
 public:
  bool Serving() const override { return true; }
  void Status(std::function<void(std::string)> done) override {
    done("{\"jobs_open\":3}");
  }
  void Metrics(std::function<void(std::string)> done) override {
    done("egretswitch_jobs_open 3\n");
  }
  void Table(std::function<void(TableView)> done) override { done(table); }
  void EditRow(RowEdited edit, std::function<void(EditOutcome)> done) override {
    edits.push_back(std::move(edit));
    done(outcome);
  }
  void Drain(std::function<void()> done) override {
    ++drains;
    done();
  }
  void EntryEnded(std::string name,
                  std::function<void(absl::Status)> done) override {
    done(name == "entry-b" ? absl::OkStatus()
                           : absl::NotFoundError("no entry " + name));
  }

  TableView table;
  EditOutcome outcome;
  std::vector<RowEdited> edits;
  int drains = 0;
};

struct OperatorApiFixture {
  OperatorApiFixture() {
    auto created = HttpServer::Create(
        {.address = "127.0.0.1:0"},
        [this](HttpRequest request, Responder responder) {
          api.Handle(std::move(request), std::move(responder));
        },
        &OperatorApi::TurnAway);
    BOOST_REQUIRE(created.ok());
    server = *std::move(created);
  }

  RawResponse Call(std::string_view method,
                   std::string_view path,
                   std::string_view body = "",
                   std::string_view headers = kToken) {
    RawConnection connection(server->port());
    connection.SendRequest(method, path, body, headers);
    return connection.Receive();
  }

  FakeOperatorGateway gateway;
  OperatorApi api{&gateway, "s3cret"};
  std::unique_ptr<HttpServer> server;
};

BOOST_FIXTURE_TEST_SUITE(OperatorApiTest, OperatorApiFixture)

BOOST_AUTO_TEST_CASE(Call_WithoutValidToken_IsRefusedAndHasNoEffect) {
  for (const char* headers :
       {"", "Authorization: Bearer \r\n", "Authorization: Bearer s3cre\r\n",
        "Authorization: Bearer s3creT\r\n",
        "Authorization: Bearer s3crets3cret\r\n",
        "Authorization: Basic s3cret\r\n"}) {
    for (const char* path : {"/status", "/table"}) {
      BOOST_CHECK_EQUAL(Call("GET", path, "", headers).status, 401);
    }
    for (const char* path : {"/table", "/drain", "/entries/ended"}) {
      BOOST_CHECK_EQUAL(Call("POST", path, kEdit, headers).status, 401);
    }
  }
  BOOST_CHECK(gateway.edits.empty());
  BOOST_CHECK_EQUAL(gateway.drains, 0);
}

BOOST_AUTO_TEST_CASE(Token_Empty_AdmitsNobody) {
  BOOST_CHECK(!EqualInConstantTime("", ""));
  BOOST_CHECK(!EqualInConstantTime("x", ""));
  BOOST_CHECK(!EqualInConstantTime("", "x"));
  BOOST_CHECK(EqualInConstantTime("x", "x"));
}

BOOST_AUTO_TEST_CASE(OpenCalls_WithoutToken_AreAnswered) {
  BOOST_CHECK_EQUAL(Call("GET", "/healthz", "", "").status, 200);
  const RawResponse metrics = Call("GET", "/metrics", "", "");
  BOOST_CHECK_EQUAL(metrics.body, "egretswitch_jobs_open 3\n");
  BOOST_CHECK(metrics.Has("Content-Type: text/plain; version=0.0.4"));
}

BOOST_AUTO_TEST_CASE(Table_Read_IsReadBackTheSame) {
  gateway.table = {.table_version = 9,
                   .rows = {{{.kind = "check", .weight = 5}, 3, false},
                            {{.kind = "old"}, 2, true}}};
  const auto table = ParseTable(Call("GET", "/table").body);
  BOOST_REQUIRE_MESSAGE(table.ok(), table.status().ToString());
  BOOST_CHECK_EQUAL(table->table_version, 9);
  BOOST_REQUIRE_EQUAL(table->rows.size(), 2);
  BOOST_CHECK(table->rows[0].row == gateway.table.rows[0].row);
  BOOST_CHECK_EQUAL(table->rows[0].version, 3);
  BOOST_CHECK(table->rows[1].deleted);
}

BOOST_AUTO_TEST_CASE(Edit_OfEachVerdict_HasItsCode) {
  struct Row {
    EditVerdict verdict;
    int status;
  };
  for (const Row& row :
       {Row{EditVerdict::kAccepted, 200}, Row{EditVerdict::kSuperseded, 409},
        Row{EditVerdict::kInvalid, 400}, Row{EditVerdict::kNotAppended, 503},
        Row{EditVerdict::kUnknown, 503}}) {
    gateway.outcome = {.verdict = row.verdict,
                       .detail = "by ana",
                       .row = {{.kind = "check", .weight = 7}, 4, false},
                       .table_version = 12};
    const RawResponse response = Call("POST", "/table", kEdit);
    BOOST_CHECK_EQUAL(response.status, row.status);
    const auto outcome = ParseEditOutcome(response.body);
    BOOST_REQUIRE_MESSAGE(outcome.ok(), outcome.status().ToString());
    BOOST_CHECK(outcome->verdict == row.verdict);
    BOOST_CHECK_EQUAL(outcome->detail, "by ana");
    BOOST_CHECK_EQUAL(outcome->row.row.weight, 7);
    BOOST_CHECK_EQUAL(outcome->table_version, 12);
  }
  BOOST_CHECK_EQUAL(gateway.edits[0].row.weight, 5);
  BOOST_CHECK_EQUAL(gateway.edits[0].expected_version, 3);
  BOOST_CHECK_EQUAL(gateway.edits[0].editor, "rosa");
}

BOOST_AUTO_TEST_CASE(Edit_OfBadRow_NamesColumnAndReachesNobody) {
  struct Row {
    std::string_view body;
    std::string_view part;
  };
  for (const Row& row :
       {Row{R"({"row":{"kind":"check","weight":0},"expected_version":1})",
            "weight"},
        Row{R"({"row":{"kind":"check","wait":1},"expected_version":1})",
            "row.wait"},
        Row{R"({"row":{"kind":"check"}})", "expected_version"},
        Row{R"({"row":{"kind":"Check!"},"expected_version":0})", "kind"},
        Row{R"({"row":{"kind":"check","max_queued":-1},"expected_version":0})",
            "row.max_queued: found -1"}}) {
    const RawResponse response = Call("POST", "/table", row.body);
    BOOST_CHECK_EQUAL(response.status, 400);
    const auto outcome = ParseEditOutcome(response.body);
    BOOST_REQUIRE_MESSAGE(outcome.ok(), response.body);
    BOOST_CHECK(outcome->verdict == EditVerdict::kInvalid);
    BOOST_CHECK_MESSAGE(outcome->detail.find(row.part) != std::string::npos,
                        outcome->detail);
  }
  BOOST_CHECK(gateway.edits.empty());
}

BOOST_AUTO_TEST_CASE(Edit_WrittenAndRead_IsTheSame) {
  const RowEdited edit = {"e1", "rosa", 7, true, {.kind = "check"}};
  const auto read = ParseRowEdit(RowEditToJson(edit));
  BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
  BOOST_CHECK_EQUAL(read->edit_id, "e1");
  BOOST_CHECK_EQUAL(read->expected_version, 7);
  BOOST_CHECK(read->deleted);
  BOOST_CHECK(read->row == edit.row);
}

BOOST_AUTO_TEST_CASE(Drain_WithToken_Begins) {
  BOOST_CHECK_EQUAL(Call("GET", "/drain").status, 405);
  BOOST_CHECK_EQUAL(gateway.drains, 0);
  BOOST_CHECK_EQUAL(Call("POST", "/drain").status, 202);
  BOOST_CHECK_EQUAL(gateway.drains, 1);
}

BOOST_AUTO_TEST_CASE(Ended_OfEntry_IsToldByName) {
  const char* path = "/entries/ended";
  BOOST_CHECK_EQUAL(Call("POST", path, R"({"name":"entry-b"})").status, 200);
  BOOST_CHECK_EQUAL(Call("POST", path, R"({"name":"entry-x"})").status, 404);
  BOOST_CHECK_EQUAL(Call("POST", path, R"({"name":""})").status, 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
