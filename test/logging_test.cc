// Tests that an event becomes exactly one log line, that the line can be
// parsed, and that it is written to the configured file.
#include "logging.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace egretswitch::internal {
namespace {

const NoteStateChange kChange = {
    "shard taken over",
    {{"shard", "3"}, {"from", "entry-b"}, {"why", "said \"no\"\n\xff"}}};

// Replaces every digit by 0.
std::string ShapeOf(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; },
      '0');
  return text;
}

struct LogFileFixture {
  LogFileFixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "logging-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    directory = pattern;
    settings.file = directory / "log";
  }
  ~LogFileFixture() {
    StopLogging();
    std::filesystem::remove_all(directory);
  }
  std::string ReadBack() {
    StopLogging();
    std::ifstream in(settings.file);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::filesystem::path directory;
  LoggingSettings settings;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(logging)

BOOST_AUTO_TEST_CASE(key_value_fields_are_quoted_when_needed) {
  BOOST_TEST(FormatLogFields(LogFormat::kKeyValue, LogLevel::kInfo, "entry-a",
                             kChange) ==
             "level=info process=entry-a event=\"shard taken over\" shard=3 "
             "from=entry-b why=\"said \\\"no\\\"\\n\xef\xbf\xbd\"");
}

BOOST_AUTO_TEST_CASE(key_value_field_without_text_is_quoted) {
  BOOST_TEST(FormatLogFields(LogFormat::kKeyValue, LogLevel::kError, "a",
                             {"x", {{"k", ""}}}) ==
             "level=error process=a event=x k=\"\"");
}

BOOST_FIXTURE_TEST_CASE(json_line_reads_back_with_time_in_utc, LogFileFixture) {
  settings.format = LogFormat::kJson;
  BOOST_REQUIRE(StartLogging(settings, "entry-a").ok());
  LogStateChange(LogLevel::kWarning, kChange);
  const std::string text = ReadBack();
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
  const auto line = nlohmann::json::parse(text);
  BOOST_TEST(line["level"] == "warning");
  BOOST_TEST(line["process"] == "entry-a");
  BOOST_TEST(line["event"] == "shard taken over");
  BOOST_TEST(line["why"] == "said \"no\"\n\xef\xbf\xbd");
  BOOST_TEST(ShapeOf(line["time"].get<std::string>()) ==
             "0000-00-00T00:00:00.000Z");
}

BOOST_FIXTURE_TEST_CASE(line_below_the_level_is_not_written, LogFileFixture) {
  settings.level = LogLevel::kWarning;
  BOOST_REQUIRE(StartLogging(settings, "entry-a").ok());
  BOOST_TEST(!IsLogged(LogLevel::kInfo));
  LogStateChange(kChange);
  LogStateChange(LogLevel::kError, {"stopped", {}});
  const std::string text = ReadBack();
  BOOST_TEST(text.starts_with("time="));
  BOOST_TEST(text.ends_with(" level=error process=entry-a event=stopped\n"));
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
}

BOOST_FIXTURE_TEST_CASE(line_before_the_start_is_dropped, LogFileFixture) {
  LogStateChange(kChange);
  BOOST_TEST(!IsLogged(LogLevel::kError));
}

BOOST_FIXTURE_TEST_CASE(file_that_cannot_be_written_is_refused,
                        LogFileFixture) {
  settings.file = directory / "none" / "log";
  const absl::Status status = StartLogging(settings, "entry-a");
  BOOST_TEST(status.message() ==
             "logging.file: found \"" + settings.file +
                 "\", which can't be written, allowed a file in a directory "
                 "that exists");
}

BOOST_FIXTURE_TEST_CASE(routine_lines_beyond_the_limit_are_counted_in_the_log,
                        LogFileFixture) {
  constexpr int kRoutineLines = 500;
  BOOST_REQUIRE(StartLogging(settings, "entry-a").ok());
  for (int i = 0; i < kRoutineLines; ++i) {
    LogStateChange({"job completed", {}, true});
    LogStateChange({"job ended", {}});
  }
  const std::string text = ReadBack();
  int routine = 0;
  int others = 0;
  int omitted = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    routine += line.ends_with("event=\"job completed\"") ? 1 : 0;
    others += line.ends_with("event=\"job ended\"") ? 1 : 0;
    const size_t count = line.find("event=\"routine lines omitted\" lines=");
    if (count != std::string::npos) {
      omitted += std::stoi(line.substr(line.rfind('=') + 1));
    }
  }
  BOOST_TEST(others == kRoutineLines);
  BOOST_TEST(omitted > 0);
  BOOST_TEST(routine + omitted == kRoutineLines);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
