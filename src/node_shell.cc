#include "node_shell.h"

#include <random>
#include <string_view>
#include <utility>

#include "logging.h"
#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// "http://127.0.0.1:7900" -> "127.0.0.1:7900"; the settings have checked it.
std::string AddressOfUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  return std::string(url.substr(kScheme.size()));
}

LogClientOptions MakeLogOptions(const LogServiceSettings& settings) {
  LogClientOptions options;
  options.address = AddressOfUrl(settings.url);
  options.stream = settings.stream;
  return options;
}

LinkHubOptions MakeHubOptions(const CommonSettings& settings,
                              const Hello& self) {
  LinkHubOptions options;
  options.self = self;
  options.listen_address = settings.listen.Text();
  options.shared_key = settings.shared_key;
  return options;
}

uint64_t RandomIncarnation() {
  std::random_device device;
  const uint64_t high = device();
  // 0 is kept for "no incarnation".
  return ((high << 32) | device()) | 1;
}

}  // namespace

Hello MakeHello(const CommonSettings& settings, ProcessRole role) {
  Hello hello;
  hello.name = settings.name;
  hello.incarnation = RandomIncarnation();
  hello.role = role;
  hello.data_centre = settings.data_centre;
  hello.region = settings.region;
  return hello;
}

NodeShell::NodeShell(EventLoop& loop,
                     const CommonSettings& settings,
                     const Hello& self,
                     LinkHubEvents events)
    : m_loop(loop),
      m_hub(loop, MakeHubOptions(settings, self), std::move(events)),
      m_log(loop, MakeLogOptions(settings.log_service)) {}

absl::Status NodeShell::Start(std::function<void()> on_tick) {
  const absl::Status status = m_hub.Listen();
  if (!status.ok()) {
    return status;
  }
  m_on_tick = std::move(on_tick);
  m_on_tick();
  ScheduleTick();
  return absl::OkStatus();
}

void NodeShell::ScheduleTick() {
  m_loop.RunAfter(kTickPeriod, [this] {
    if (m_closed) {
      return;
    }
    m_on_tick();
    ScheduleTick();
  });
}

void NodeShell::Perform(const Send& send) {
  m_hub.Send(send.peer, send.message);
}

void NodeShell::Perform(const SetDialTargets& targets) {
  m_hub.SetDialTargets(targets.peers);
}

void NodeShell::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

void NodeShell::Append(const AppendLog& append,
                       std::function<void(const AppendEvent&)> deliver) {
  const std::string id = append.record.append_id;
  m_log.Append(append.record, [id, deliver = std::move(deliver)](
                                  const AppendOutcome& outcome) {
    if (const auto* done = std::get_if<RecordAppended>(&outcome)) {
      deliver(LogAppendDone{id, done->offset});
      return;
    }
    const auto& failed = std::get<AppendFailed>(outcome);
    deliver(LogAppendFailed{id, failed.may_have_taken_effect});
  });
}

void NodeShell::Close() {
  m_closed = true;
  m_hub.CloseAll();
}

}  // namespace egretswitch::internal
