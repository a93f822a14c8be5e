// Tests what run_faults answers to arguments, as a process.
#include <stdio.h>
#include <sys/wait.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

namespace {

struct RunFaultsFixture {
  // Runs it with these arguments, which are words of a shell.
  void Run(const std::string& arguments) {
    const std::string command =
        std::string(EGRETSWITCH_RUN_FAULTS) + " " + arguments + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");
    BOOST_REQUIRE(pipe != nullptr);
    output.clear();
    std::array<char, 4096> bytes{};
    while (const size_t size = fread(bytes.data(), 1, bytes.size(), pipe)) {
      output.append(bytes.data(), size);
    }
    const int result = pclose(pipe);
    status = WIFEXITED(result) ? WEXITSTATUS(result) : -1;
  }

  int status = -1;
  std::string output;
};

BOOST_FIXTURE_TEST_SUITE(run_faults_arguments, RunFaultsFixture)

// Guards against an end by an uncaught exception.
BOOST_AUTO_TEST_CASE(help_prints_the_options) {
  Run("--help");
  BOOST_TEST(status == 0);
  BOOST_TEST(output.find("--max-lease-ms") != std::string::npos, output);
}

// Guards against the same for arguments that can't be used.
BOOST_AUTO_TEST_CASE(arguments_that_cannot_be_used_are_a_user_error) {
  for (const char* arguments : {"--no-such-option", "1 1 --faults many",
                                "one 1", "99999999999999999999 1", "1"}) {
    Run(arguments);
    BOOST_TEST(status == 2, arguments);
    BOOST_TEST(output.starts_with("user error: "), output);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
