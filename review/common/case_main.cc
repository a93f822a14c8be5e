// Runs one case of the review; started by its run.sh.
//
//   review_case 1 target/egretswitchd RECORD DIRECTORY
//
// The environment variable TROUBLE=0 leaves out the disruption.
#include <csignal>

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "case.h"

namespace egretswitch::review {
namespace {

std::string_view NameOf(CaseVerdict verdict) {
  switch (verdict) {
    case CaseVerdict::kHeld:
      return "the rule held";
    case CaseVerdict::kBroken:
      return "the rule was broken";
    case CaseVerdict::kCouldNotRun:
      break;
  }
  return "the case could not run";
}

int Main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "user error: review_case N EGRETSWITCHD RECORD DIRECTORY\n";
    return static_cast<int>(CaseVerdict::kCouldNotRun);
  }
  const std::string number = argv[1];
  const char* trouble = std::getenv("TROUBLE");
  const CaseOptions options{
      .daemon = argv[2],
      .directory = argv[4],
      .trouble = trouble == nullptr || std::string_view(trouble) != "0"};
  CaseRecord record(argv[3]);
  record.Add(absl::StrCat("case ", number,
                          options.trouble ? "" : " without the disruption"));
  CaseVerdict verdict = CaseVerdict::kCouldNotRun;
  if (number == "1") {
    verdict = RunLostStop(options, record);
  } else if (number == "2") {
    verdict = RunLeaseOfFormerBoot(options, record);
  } else if (number == "3") {
    verdict = RunCancelledJob(options, record);
  }
  record.Add(NameOf(verdict));
  std::cout << "case " << number << ": " << NameOf(verdict) << "\n";
  return static_cast<int>(verdict);
}

}  // namespace
}  // namespace egretswitch::review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return egretswitch::review::Main(argc, argv);
}
