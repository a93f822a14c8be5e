// egretswitchd: runs one process of the system, an entry or an agent as its
// settings say.
//
//   egretswitchd /etc/egretswitch/entry.yaml
//   egretswitchd entry.yaml --check
//
// SIGTERM and SIGINT start a graceful shutdown, which cuts off no work in
// progress. SIGHUP is ignored: changed settings need a restart, which loses no
// request.
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <csignal>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <variant>

#include "agent_daemon.h"
#include "entry_daemon.h"
#include "event_loop.h"
#include "logging.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"
#include "platform/worker_http_calls.h"
#include "platform/worker_updates.h"
#include "settings.h"
#include "step_agent_daemon.h"
#include "step_entry_daemon.h"
#include "step_settings.h"
#include "unique_fd.h"

namespace egretswitch::internal {
namespace {

constexpr int kExitUserError = 2;
constexpr char kVersion[] = EGRETSWITCH_VERSION;

// Blocks the stop signals in every thread and returns a descriptor that becomes
// readable when one arrives.
UniqueFd OpenStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  return UniqueFd(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

void DrainSignals(int fd) {
  signalfd_siginfo info;
  while (read(fd, &info, sizeof info) > 0) {
  }
}

NoteStateChange MakeStartedEvent(const CommonSettings& settings) {
  NoteStateChange event;
  event.what = "process started";
  event.fields.push_back({"listen", settings.listen.Text()});
  event.fields.push_back({"data_centre", settings.data_centre});
  return event;
}

// Runs the daemon until its graceful shutdown is complete.
template <typename Daemon>
int RunUntilDrained(EventLoop& loop,
                    Daemon& daemon,
                    const NoteStateChange& started,
                    int signal_fd) {
  const absl::Status status = daemon.Start();
  if (!status.ok()) {
    std::cerr << "user error: " << status.message() << "\n";
    return kExitUserError;
  }
  LogStateChange(started);
  loop.Watch(signal_fd, EPOLLIN, [&daemon, signal_fd](uint32_t) {
    DrainSignals(signal_fd);
    LogStateChange({"graceful shutdown began", {}});
    daemon.BeginDrain();
  });
  loop.Run();
  loop.Unwatch(signal_fd);
  LogStateChange({"process stopped", {}});
  return EXIT_SUCCESS;
}

template <typename Daemon, typename RoleSettingsType>
int RunDaemon(const CommonSettings& common,
              const RoleSettingsType& role,
              int signal_fd) {
  EventLoop loop;
  Daemon daemon(loop, common, role);
  return RunUntilDrained(loop, daemon, MakeStartedEvent(common), signal_fd);
}

// Runs an entry or agent that serves jobs made of steps on the platform.
int RunSteps(const StepSettings& settings, int signal_fd) {
  const StepCommonSettings& common = settings.common;
  const absl::Status status = StartLogging(common.logging, common.name);
  if (!status.ok()) {
    std::cerr << "user error: " << status.message() << "\n";
    return kExitUserError;
  }
  const NoteStateChange started{"process started",
                                {{"version", kVersion},
                                 {"listen", common.listen.Text()},
                                 {"data_centre", common.data_centre},
                                 {"store", common.store_address}}};
  EventLoop loop;
  platform::StoreClient store(loop, common.store_address);
  int exit_code = 0;
  if (const auto* entry = std::get_if<StepEntrySettings>(&settings.role)) {
    const platform::JobCodec codec;
    StepEntryDaemon daemon(
        loop, common, *entry,
        {codec,
         {store, platform::kConfigKey, platform::DecodeConfig,
          platform::kEvacuationKeyPrefix, entry->config_apply_limit}});
    exit_code = RunUntilDrained(loop, daemon, started, signal_fd);
  } else {
    const auto& agent = std::get<StepAgentSettings>(settings.role);
    platform::WorkerHttpCalls worker(loop, agent.worker_address);
    StepAgentDaemon daemon(loop, common, agent,
                           {worker, store, platform::DecodeWorkerUpdates});
    exit_code = RunUntilDrained(loop, daemon, started, signal_fd);
  }
  StopLogging();
  return exit_code;
}

int Run(const Settings& settings, int signal_fd) {
  const CommonSettings& common = settings.common();
  const absl::Status status = StartLogging(common.logging, common.name);
  if (!status.ok()) {
    std::cerr << "user error: " << status.message() << "\n";
    return kExitUserError;
  }
  int exit_code = 0;
  if (const auto* entry = std::get_if<EntrySettings>(&settings.role())) {
    exit_code = RunDaemon<EntryDaemon>(common, *entry, signal_fd);
  } else {
    const auto& agent = std::get<AgentSettings>(settings.role());
    exit_code = RunDaemon<AgentDaemon>(common, agent, signal_fd);
  }
  StopLogging();
  return exit_code;
}

int ReportUserError(const absl::Status& status) {
  std::cerr << status.message() << "\n";
  return kExitUserError;
}

int ReportValid() {
  std::cout << "settings are valid\n";
  return EXIT_SUCCESS;
}

int Main(int argc, char** argv) {
  // Must be first, so that a signal that arrives while the settings are read
  // doesn't kill the process.
  const UniqueFd signals = OpenStopSignals();
  cxxopts::Options options("egretswitchd",
                           "Dispatcher for sub-second tasks: one process, an "
                           "entry or an agent by its settings.");
  options.add_options()("settings", "YAML file with the settings",
                        cxxopts::value<std::string>())(
      "check", "only check the settings")("version", "print the version")(
      "help", "print this text");
  options.parse_positional({"settings"});
  options.positional_help("FILE");
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return kExitUserError;
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  if (arguments.count("version") > 0) {
    std::cout << "egretswitchd " << kVersion << "\n";
    return EXIT_SUCCESS;
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "user error: the settings FILE is missing\n";
    return kExitUserError;
  }
  const bool only_check = arguments.count("check") > 0;
  const std::string path = arguments["settings"].as<std::string>();
  const auto text = ReadSettingsFile(path);
  if (!text.ok()) {
    return ReportUserError(text.status());
  }
  if (IsStepSettings(*text)) {
    const auto settings = ParseStepSettings(*text, path);
    if (!settings.ok()) {
      return ReportUserError(settings.status());
    }
    return only_check ? ReportValid() : RunSteps(*settings, signals.get());
  }
  const auto settings = ParseSettings(*text, path);
  if (!settings.ok()) {
    return ReportUserError(settings.status());
  }
  return only_check ? ReportValid() : Run(*settings, signals.get());
}

}  // namespace
}  // namespace egretswitch::internal

int main(int argc, char** argv) {
  const int exit_code = egretswitch::internal::Main(argc, argv);
  std::cout.flush();
  // Skips the destructors of static objects: one of a library may wait for a
  // thread of its own, and a process that has answered everything must exit.
  std::quick_exit(exit_code);
}
