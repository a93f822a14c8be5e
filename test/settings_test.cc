// Tests that settings are read as written, and that every kind of error is
// reported with its file, line and key in one pass.
#include "settings.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

constexpr std::string_view kEntry = R"(role: entry
name: entry-a
data_centre: dc-1
region: region-1
listen: 127.0.0.1:7001
shared_key: 0123456789abcdef
operator:
  listen: 127.0.0.1:7201
  token: 0123456789abcdef
log_service:
  url: http://127.0.0.1:9000
callers:
  listen: "[::1]:8001"
)";

constexpr std::string_view kAgent = R"(role: agent
name: agent-1
data_centre: dc-1
region: region-1
listen: 127.0.0.1:7101
shared_key: 0123456789abcdef
operator: {listen: "127.0.0.1:7301", token: 0123456789abcdef}
log_service: {url: "http://127.0.0.1:9000", stream: trial}
logging: {level: error, format: json, file: agent.log}
worker: {url: "http://127.0.0.1:9101", slots: 8, millicores: 64000,
         memory_mb: 131072, accelerators: 2}
)";

std::string Replaced(std::string_view text,
                     std::string_view from,
                     std::string_view to) {
  std::string result(text);
  const size_t at = result.find(from);
  BOOST_REQUIRE_NE(at, std::string::npos);
  return result.replace(at, from.size(), to);
}

std::string ErrorsOf(std::string_view text) {
  const auto settings = ParseSettings(text, "s.yaml");
  return settings.ok() ? "" : std::string(settings.status().message());
}

// Returns the errors of kEntry with one change.
std::string ErrorsWith(std::string_view from, std::string_view to) {
  return ErrorsOf(Replaced(kEntry, from, to));
}

constexpr std::string_view kAddressAllowed =
    ", allowed an IP number and a port, such as 127.0.0.1:8080";

// Creates a temporary directory for each test.
struct DirectoryFixture {
  DirectoryFixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    directory = pattern;
  }
  ~DirectoryFixture() { std::filesystem::remove_all(directory); }
  std::string Write(const std::string& name, std::string_view text) {
    const std::string path = directory / name;
    std::ofstream(path) << text;
    return path;
  }
  std::filesystem::path directory;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(entry_without_optional_keys_gets_defaults) {
  const auto settings = ParseSettings(kEntry, "s.yaml");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  const CommonSettings& common = settings->common();
  BOOST_TEST(common.name == "entry-a");
  BOOST_TEST(common.listen.Text() == "127.0.0.1:7001");
  BOOST_TEST(common.operator_api.token == "0123456789abcdef");
  BOOST_TEST(common.log_service.stream == "control");
  BOOST_TEST((common.logging.level == LogLevel::kInfo));
  BOOST_TEST(common.logging.file == "");
  const auto& entry = std::get<EntrySettings>(settings->role());
  BOOST_TEST(entry.callers.listen.Text() == "[::1]:8001");
  BOOST_TEST(entry.callers.max_connections == 4096u);
  BOOST_TEST(entry.shards == kDefaultShardCount);
}

BOOST_AUTO_TEST_CASE(agent_with_every_key_is_read_as_written) {
  const auto settings = ParseSettings(kAgent, "s.yaml");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_TEST(settings->common().log_service.stream == "trial");
  BOOST_TEST((settings->common().logging.level == LogLevel::kError));
  BOOST_TEST((settings->common().logging.format == LogFormat::kJson));
  const auto& worker = std::get<AgentSettings>(settings->role()).worker;
  BOOST_TEST(worker.url == "http://127.0.0.1:9101");
  BOOST_TEST(worker.slots == 8u);
  BOOST_TEST((worker.capacity == TaskNeeds{64000, 131072, 2}));
}

BOOST_AUTO_TEST_CASE(address_with_host_name_is_refused_with_line_and_key) {
  BOOST_TEST(ErrorsWith("\"[::1]:8001\"", "localhost:80") ==
             "user error: s.yaml:13: callers.listen: found \"localhost:80\"" +
                 std::string(kAddressAllowed));
}

BOOST_AUTO_TEST_CASE(malformed_address_is_refused) {
  for (const char* bad :
       {"127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:080",
        "1.2.3:80", "[127.0.0.1]:80", "::1:80", "127.0.0.1:80x", ":80"}) {
    const std::string found = "found \"" + std::string(bad) + "\"";
    const std::string errors =
        ErrorsWith("127.0.0.1:7001", "\"" + std::string(bad) + "\"");
    BOOST_TEST(errors == "user error: s.yaml:5: listen: " + found +
                             std::string(kAddressAllowed));
  }
}

BOOST_AUTO_TEST_CASE(listen_on_every_address_is_refused_between_processes) {
  BOOST_TEST(ErrorsWith("127.0.0.1:7001", "0.0.0.0:7001") ==
             "user error: s.yaml:5: listen: found \"0.0.0.0:7001\", allowed an "
             "address that other processes can connect to");
}

BOOST_AUTO_TEST_CASE(address_used_twice_is_refused) {
  BOOST_TEST(ErrorsWith("127.0.0.1:7201", "127.0.0.1:7001") ==
             "user error: s.yaml:8: operator.listen: found \"127.0.0.1:7001\", "
             "the address of listen, allowed an address of its own");
}

BOOST_AUTO_TEST_CASE(unknown_key_is_refused_with_the_known_ones) {
  BOOST_TEST(
      ErrorsWith("  listen: \"[::1]:8001\"",
                 "  listen: \"[::1]:8001\"\n  x: 1") ==
      "user error: s.yaml:14: callers.x: found an unknown key, allowed listen, "
      "max_connections");
}

BOOST_AUTO_TEST_CASE(key_of_the_other_role_is_refused) {
  const std::string errors = ErrorsOf(std::string(kEntry) + "worker: {}\n");
  BOOST_TEST(
      errors.starts_with("user error: s.yaml:14: worker: found an unknown key, "
                         "allowed callers, "));
}

BOOST_AUTO_TEST_CASE(duplicate_key_is_refused_at_its_second_place) {
  BOOST_TEST(ErrorsWith("region: region-1", "region: r\nregion: r") ==
             "user error: s.yaml:5: region: found the key a second time, "
             "allowed each key once");
}

BOOST_AUTO_TEST_CASE(missing_key_is_named) {
  BOOST_TEST(ErrorsWith("region: region-1\n", "") ==
             "user error: s.yaml:1: region: found nothing, allowed 1 to 64 "
             "characters of a-z 0-9 _ -");
}

BOOST_AUTO_TEST_CASE(missing_section_is_named_once) {
  BOOST_TEST(ErrorsWith("callers:\n  listen: \"[::1]:8001\"\n", "") ==
             "user error: s.yaml:1: callers: found nothing, allowed a mapping "
             "of keys");
}

BOOST_AUTO_TEST_CASE(wrong_types_are_refused) {
  BOOST_TEST(ErrorsWith("name: entry-a", "name: [a]") ==
             "user error: s.yaml:2: name: found a list, allowed 1 to 64 "
             "characters of a-z 0-9 _ -");
  BOOST_TEST(ErrorsWith("name: entry-a", "name:") ==
             "user error: s.yaml:2: name: found nothing, allowed 1 to 64 "
             "characters of a-z 0-9 _ -");
  BOOST_TEST(ErrorsWith("  listen: \"[::1]:8001\"", "  - 1") ==
             "user error: s.yaml:12: callers: found a list, allowed a mapping "
             "of keys");
  BOOST_TEST(
      ErrorsWith("callers:", "logging: info\ncallers:") ==
      "user error: s.yaml:12: logging: found \"info\", allowed a mapping of "
      "keys");
}

BOOST_AUTO_TEST_CASE(malformed_or_out_of_range_number_is_refused) {
  const std::string allowed = ", allowed a whole number from 1 to 4096";
  const std::string place = "user error: s.yaml:14: shards: found ";
  for (const char* bad :
       {"0", "4097", "-1", "6.5", "0x40", "99999999999", "a"}) {
    BOOST_TEST(ErrorsOf(std::string(kEntry) + "shards: " + bad + "\n") ==
               place + "\"" + bad + "\"" + allowed);
  }
  BOOST_TEST(ErrorsOf(std::string(kEntry) + "shards: \"64\"\n") ==
             place + "the text \"64\"" + allowed);
}

BOOST_AUTO_TEST_CASE(url_with_anything_but_an_address_is_refused) {
  for (const char* bad : {"https://127.0.0.1:9000", "http://127.0.0.1:9000/",
                          "http://log:9000", "127.0.0.1:9000"}) {
    const std::string errors = ErrorsWith("http://127.0.0.1:9000", bad);
    BOOST_TEST(errors == "user error: s.yaml:11: log_service.url: found \"" +
                             std::string(bad) +
                             "\", allowed http:// with an IP number and a "
                             "port, such as http://127.0.0.1:9000");
  }
}

BOOST_AUTO_TEST_CASE(choice_outside_the_list_is_refused) {
  BOOST_TEST(ErrorsOf(std::string(kEntry) + "logging: {format: xml}\n") ==
             "user error: s.yaml:14: logging.format: found \"xml\", allowed "
             "key_value or json");
}

BOOST_AUTO_TEST_CASE(unknown_role_hides_faults_of_role_specific_keys) {
  BOOST_TEST(ErrorsWith("role: entry", "role: worker") ==
             "user error: s.yaml:1: role: found \"worker\", allowed entry or "
             "agent");
}

BOOST_AUTO_TEST_CASE(secret_too_short_is_refused_without_showing_it) {
  const std::string errors =
      ErrorsWith("shared_key: 0123456789abcdef", "shared_key: hunter2");
  BOOST_TEST(errors ==
             "user error: s.yaml:6: shared_key: found a secret of 7 bytes, "
             "allowed 16 to 1024 bytes");
}

BOOST_AUTO_TEST_CASE(secret_that_no_header_can_carry_is_refused) {
  for (const char* bad : {"\"0123456789abcdef \"", "\"0123456789\\tabcdef\"",
                          "\"0123456789\\nabcdef\"", "0123456789abcd\u00e9"}) {
    const std::string errors = ErrorsWith("shared_key: 0123456789abcdef",
                                          "shared_key: " + std::string(bad));
    BOOST_TEST(errors ==
               "user error: s.yaml:6: shared_key: found a secret with other "
               "characters, allowed printable ASCII characters without spaces");
  }
}

BOOST_AUTO_TEST_CASE(secret_given_twice_is_refused) {
  BOOST_TEST(
      ErrorsWith("shared_key:", "shared_key_file: k\nshared_key:") ==
      "user error: s.yaml:7: shared_key: found both shared_key and "
      "shared_key_file, allowed 16 to 1024 bytes here, or in the file that "
      "shared_key_file names, but not both");
}

BOOST_AUTO_TEST_CASE(several_faults_are_all_reported_in_order_of_lines) {
  std::string text = Replaced(kEntry, "name: entry-a", "name: A");
  text = Replaced(text, "\"[::1]:8001\"", "x");
  text = Replaced(text, "role: entry", "role: entry\ncolour: red");
  const std::string errors = ErrorsOf(text);
  std::vector<std::string> lines;
  std::istringstream in(errors);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line.substr(0, line.find(": found")));
  }
  const std::vector<std::string> expected = {"user error: s.yaml:2: colour",
                                             "user error: s.yaml:3: name",
                                             "user error: s.yaml:14: callers"
                                             ".listen"};
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(text_that_is_not_a_yaml_mapping_is_refused) {
  BOOST_TEST(
      ErrorsOf("a: [1,\n")
          .starts_with("user error: s.yaml:2: found text that is not YAML: "));
  for (const char* bad : {"", "- a\n", "text", "{a: 1}\n---\n{a: 1}\n"}) {
    BOOST_TEST(ErrorsOf(bad) ==
               "user error: s.yaml:1: found something else, allowed one YAML "
               "mapping of keys");
  }
}

BOOST_AUTO_TEST_CASE(text_of_deep_nesting_is_refused) {
  BOOST_TEST(!ErrorsOf(std::string(100'000, '[')).empty());
}

BOOST_AUTO_TEST_CASE(text_beyond_a_megabyte_is_refused) {
  BOOST_TEST(ErrorsOf(std::string((1u << 20) + 1, ' ')) ==
             "user error: s.yaml: found 1048577 bytes, allowed up to 1048576 "
             "bytes");
}

BOOST_FIXTURE_TEST_CASE(secret_file_is_relative_to_the_settings_file,
                        DirectoryFixture) {
  Write("key", "fedcba9876543210\nsecond line\n");
  const std::string path = Write(
      "s.yaml",
      Replaced(kEntry, "shared_key: 0123456789abcdef", "shared_key_file: key"));
  const auto settings = LoadSettings(path);
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_TEST(settings->common().shared_key == "fedcba9876543210");
}

BOOST_FIXTURE_TEST_CASE(secret_in_a_file_with_crlf_is_read_without_it,
                        DirectoryFixture) {
  Write("key", "fedcba9876543210\r\n");
  const std::string path = Write(
      "s.yaml",
      Replaced(kEntry, "shared_key: 0123456789abcdef", "shared_key_file: key"));
  const auto settings = LoadSettings(path);
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_TEST(settings->common().shared_key == "fedcba9876543210");
}

BOOST_FIXTURE_TEST_CASE(secret_in_a_missing_file_is_refused, DirectoryFixture) {
  const std::string path =
      Write("s.yaml",
            Replaced(kEntry, "  token: 0123456789abcdef", "  token_file: t"));
  BOOST_TEST(LoadSettings(path).status().message() ==
             "user error: " + path +
                 ":9: operator.token_file: found \"t\", which can't be read or "
                 "is empty, allowed a readable file with the secret in its "
                 "first line");
}

BOOST_FIXTURE_TEST_CASE(file_that_is_missing_is_refused, DirectoryFixture) {
  const std::string path = directory / "none.yaml";
  BOOST_TEST(LoadSettings(path).status().message() ==
             "user error: " + path +
                 ": found no file that can be read, allowed a YAML file");
  BOOST_TEST(!LoadSettings(directory.string()).ok());
}

BOOST_AUTO_TEST_CASE(example_files_load) {
  for (const char* name : {"/entry.yaml", "/agent.yaml"}) {
    const auto settings =
        LoadSettings(std::string(EGRETSWITCH_EXAMPLES) + name);
    BOOST_TEST(settings.ok(), settings.status().message());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
