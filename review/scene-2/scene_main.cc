// Plays one case:
//
//   review_scene_2 late_copy target/egretswitchd DIRECTORY record.txt
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 in the environment it does without the disruption.
#include <signal.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <string_view>

#include "deployment.h"
#include "record.h"
#include "scenes.h"

namespace egretswitch::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

struct Scene {
  std::function<bool(Deployment&, Record&, bool)> play;
  int entries = 3;
  int agents = 3;
};

bool WithTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

int Main(int argc, char** argv) {
  const std::map<std::string, Scene> scenes = {
      {"late_copy", {PlayLateCopy, 3, 3}},
      {"lost_agent", {PlayLostAgent, 2, 3}},
      {"reborn", {PlayReborn, 3, 8}},
  };
  const auto scene = argc == 5 ? scenes.find(argv[1]) : scenes.end();
  if (scene == scenes.end()) {
    std::cerr << "usage: review_scene_2 SCENE DAEMON DIRECTORY RECORD\n";
    return kNotRun;
  }
  Record record(argv[4]);
  Deployment deployment(record, {.daemon = argv[2],
                                 .directory = argv[3],
                                 .entries = scene->second.entries,
                                 .agents = scene->second.agents});
  const bool played = deployment.Start() &&
                      scene->second.play(deployment, record, WithTrouble());
  if (!played) {
    record.Note("the case could not run");
    return kNotRun;
  }
  record.Note(record.broken() ? "the rule was broken" : "the rule held");
  return record.broken() ? kBroken : kHeld;
}

}  // namespace
}  // namespace egretswitch::review

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const int result = egretswitch::review::Main(argc, argv);
  std::cout.flush();
  std::quick_exit(result);
}
