#include "node_shell.h"

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

}  // namespace

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
