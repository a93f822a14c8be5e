// review_scene_3 CASE DAEMON RECORD
//
// Plays a case with processes of DAEMON and writes the record. TROUBLE=0 leaves
// the disruption out.
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <string_view>

#include "cases.h"

namespace egretswitch::review {

bool Wanted(const char* variable) {
  const char* value = std::getenv(variable);
  return value == nullptr || std::string_view(value) != "0";
}

}  // namespace egretswitch::review

namespace {

using egretswitch::review::kNotRun;
using egretswitch::review::SceneOptions;
using egretswitch::review::Wanted;

int Play(std::string_view name, const SceneOptions& options, bool trouble) {
  if (name == "cancelled-job-after-restart") {
    return CancelledJobAfterRestart(options, trouble);
  }
  if (name == "cancel-on-dropped-route") {
    return CancelOnDroppedRoute(options, trouble);
  }
  if (name == "cancel-after-replacements") {
    return CancelAfterReplacements(options, trouble);
  }
  if (name == "caller-moves-after-replacements") {
    return CallerMovesAfterReplacements(options, trouble);
  }
  if (name == "caller-moves-beside-cut") {
    return CallerMovesBesideCut(options, trouble);
  }
  if (name == "agent-killed-after-suspension") {
    return AgentKilledAfterSuspension(options, trouble);
  }
  std::cerr << "no case " << name << "\n";
  return kNotRun;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: review_scene_3 CASE DAEMON RECORD\n";
    return kNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  std::string directory =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(directory.data()) == nullptr) {
    return kNotRun;
  }
  SceneOptions options;
  options.daemon = argv[2];
  options.record = argv[3];
  options.directory = directory;
  const int result = Play(argv[1], options, Wanted("TROUBLE"));
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory);
  } else {
    std::cerr << "logs: " << directory << "\n";
  }
  // Announcements may still be on their way in threads of their own.
  std::quick_exit(result);
}
