// The command-line tool egretswitchctl; see its --help.
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <vector>

#include "absl/time/clock.h"
#include "ctl.h"
#include "ctl_http.h"
#include "ctl_log.h"

using namespace egretswitch::internal;

int main(int argc, char** argv) {
  const std::vector<std::string_view> args(argv + 1, argv + argc);
  CurlSender sender;
  const char* user = std::getenv("USER");
  CtlWorld world = {
      .send = [&](const CtlRequest& request) { return sender.Send(request); },
      .read_log = &ReadLogOnce,
      .now_ms = [] { return absl::ToUnixMillis(absl::Now()); },
      .pause = [](absl::Duration pause) { absl::SleepFor(pause); },
      .editor = user == nullptr ? "" : user,
      .out = std::cout,
      .err = std::cerr};
  const int exit_code = RunCtl(args, world);
  std::cout.flush();
  // Output that was cut short must not pass for a whole one.
  return exit_code == kCtlOk && !std::cout ? kCtlUserError : exit_code;
}
