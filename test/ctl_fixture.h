// egretswitchctl with scripted responses of an entry and of the log service,
// and a clock that only its pauses move.
//
//   RespondTable({{kCheck, 3, false}});
//   BOOST_TEST(RunAtEntry({"table", "get"}) == 0);
#ifndef EGRETSWITCH_TEST_CTL_FIXTURE_H_
#define EGRETSWITCH_TEST_CTL_FIXTURE_H_

#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "ctl.h"
#include "table_json.h"

namespace egretswitch::internal {

inline constexpr int64_t kStartMs = 1'700'000'000'000;

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

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_CTL_FIXTURE_H_
