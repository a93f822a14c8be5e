// The store keeps each member's record with the address of its proxy in place
// of its own, so that every link between processes goes through a proxy.
#include "soak_deployment.h"

#include <signal.h>

#include <fstream>

#include "absl/strings/str_cat.h"
#include "free_port.h"
#include "member_record.h"

namespace egretswitch::soak {
namespace {

using internal::EventLoop;

constexpr absl::Duration kSupervisePeriod = absl::Milliseconds(20);
constexpr absl::Duration kAnnouncePeriod = absl::Milliseconds(500);
// The slowest clock of a worker that the deployment must bear.
constexpr double kSlowClock = 0.98;
constexpr int kDataCentres = 3;

std::string Local(uint16_t port) {
  return absl::StrCat("127.0.0.1:", port);
}

}  // namespace

SoakDeployment::SoakDeployment(EventLoop& loop,
                               const SoakDeploymentOptions& options)
    : m_loop(loop), m_options(options), m_store(loop), m_http(loop) {
  m_store_proxy = LoopbackProxy::Open(loop, m_store.address());
  m_store.RewriteAppends([this](const std::string& key, std::string value) {
    auto member = internal::DecodeMember(value);
    for (const SoakProcess& process : m_processes) {
      if (member.ok() && process.name == key) {
        member->address = process.links->address();
        return internal::EncodeMember(*member);
      }
    }
    return value;
  });
  for (int i = 0; i < options.entries; ++i) {
    AddEntry(i);
  }
  for (int i = 0; i < options.agents; ++i) {
    const double rate = i % 2 == 0 ? kSlowClock : 1.0;
    m_workers.push_back(std::make_unique<platform::WorkerStandIn>(
        loop, absl::StrCat("worker-", ++m_incarnations), rate));
    AddAgent(i, *m_workers.back());
  }
}

std::string SoakDeployment::DataCentreOf(int number) {
  return absl::StrCat("dc-", number % kDataCentres);
}

std::string SoakDeployment::CommonSettings(const std::string& role,
                                           const std::string& name,
                                           int number,
                                           uint16_t link_port) const {
  return absl::StrCat(
      "role: ", role, "\nname: ", name, "\ndata_centre: ", DataCentreOf(number),
      "\nlisten: \"", Local(link_port),
      "\"\nshared_key: key-of-the-soak-only\nmetrics:\n"
      "  listen: \"",
      Local(internal::FreePort()), "\"\nstore:\n  url: \"http://",
      m_store_proxy->address(), "\"\n");
}

SoakProcess& SoakDeployment::Add(const std::string& name,
                                 const std::string& settings,
                                 uint16_t link_port) {
  const std::string base = absl::StrCat(m_options.directory, "/", name);
  std::ofstream(absl::StrCat(base, ".yaml")) << settings;
  SoakProcess& process = m_processes.emplace_back();
  process.name = name;
  process.child = std::make_unique<ChildProcess>(
      std::vector<std::string>{m_options.daemon, absl::StrCat(base, ".yaml")},
      absl::StrCat(base, ".log"));
  process.links = LoopbackProxy::Open(m_loop, Local(link_port));
  return process;
}

void SoakDeployment::AddEntry(int number) {
  const std::string name = absl::StrCat("entry-", number);
  const uint16_t link_port = internal::FreePort();
  const std::string callers = Local(internal::FreePort());
  SoakProcess& process =
      Add(name,
          absl::StrCat(CommonSettings("step_entry", name, number, link_port),
                       "callers:\n  listen: \"", callers,
                       "\"\nready:\n  listen: \"", Local(internal::FreePort()),
                       "\"\n"),
          link_port);
  process.callers = LoopbackProxy::Open(m_loop, callers);
}

void SoakDeployment::AddAgent(int number,
                              const platform::WorkerStandIn& worker) {
  const std::string name = absl::StrCat("agent-", number);
  const uint16_t link_port = internal::FreePort();
  const std::string announcements = Local(internal::FreePort());
  SoakProcess& process = Add(
      name,
      absl::StrCat(CommonSettings("step_agent", name, number, link_port),
                   "announcements:\n  listen: \"", announcements,
                   "\"\nworker:\n  url: \"http://", worker.address(), "\"\n"),
      link_port);
  process.announcements = announcements;
}

std::vector<std::string> SoakDeployment::CallerAddresses() const {
  std::vector<std::string> addresses;
  for (const SoakProcess& process : m_processes) {
    if (process.callers != nullptr) {
      addresses.push_back(process.callers->address());
    }
  }
  return addresses;
}

void SoakDeployment::Start() {
  PublishConfig();
  for (SoakProcess& process : m_processes) {
    process.child->Start();
  }
  Supervise();
  AnnounceWorkers();
}

void SoakDeployment::PublishConfig() {
  ++m_config_version;
  m_store.PutConfig(absl::StrCat(
      R"({"version":)", m_config_version,
      R"(,"routes":[{"name":"checks","host":"127.0.0.1","path_prefix":)"
      R"("/checks/","service":"desk","timeout_ms":)",
      1500 + m_config_version % 3,
      R"(,"target_latency_ms":60,"priority":0,"max_attempts":3,)"
      R"("stretch":1.6},{"name":"newest","host":"127.0.0.1","path_prefix":")",
      NewestPath(), R"(","service":"desk","timeout_ms":1500}]})"));
}

std::string SoakDeployment::NewestPath() const {
  return absl::StrCat("/newest-", m_config_version, "/");
}

void SoakDeployment::Supervise() {
  const MonoTime now = EventLoop::MonoNow();
  for (SoakProcess& process : m_processes) {
    if (process.frozen_until > absl::ZeroDuration() &&
        now >= process.frozen_until) {
      process.frozen_until = absl::ZeroDuration();
      process.child->Signal(SIGCONT);
    }
    if (!process.child->Reap()) {
      continue;
    }
    if (process.start_at == absl::InfiniteDuration()) {
      m_faults.push_back(absl::StrCat(
          process.name, " ended by itself: ", process.child->fault()));
      process.start_at = now;
    }
    if (!process.child->fault().empty()) {
      m_faults.push_back(
          absl::StrCat(process.name, ": ", process.child->fault()));
    }
    if (now >= process.start_at) {
      process.start_at = absl::InfiniteDuration();
      process.child->Start();
    }
  }
  m_loop.RunAfter(kSupervisePeriod, [this] { Supervise(); });
}

void SoakDeployment::AnnounceWorkers() {
  for (size_t i = 0; i < m_workers.size(); ++i) {
    const SoakProcess& agent =
        m_processes[static_cast<size_t>(m_options.entries) + i];
    m_workers[i]->Announce(m_http, agent.announcements);
  }
  m_loop.RunAfter(kAnnouncePeriod, [this] { AnnounceWorkers(); });
}

void SoakDeployment::Kill(SoakProcess& process, absl::Duration away) {
  process.start_at = EventLoop::MonoNow() + away;
  process.child->Signal(SIGKILL);
}

void SoakDeployment::Stop(SoakProcess& process, absl::Duration away) {
  process.start_at = EventLoop::MonoNow() + away;
  process.child->Signal(SIGTERM);
}

void SoakDeployment::Freeze(SoakProcess& process, absl::Duration duration) {
  process.frozen_until = EventLoop::MonoNow() + duration;
  process.child->Signal(SIGSTOP);
}

void SoakDeployment::ReplaceWorker(size_t worker) {
  m_workers[worker]->Replace(absl::StrCat("worker-", ++m_incarnations));
}

void SoakDeployment::CrashWorker(size_t worker) {
  if (!m_workers[worker]->crashed()) {
    ReplaceWorker(worker);
  }
}

void SoakDeployment::CrashWorker(size_t worker,
                                 platform::WorkerStandIn::CrashMode away,
                                 absl::Duration duration) {
  if (!m_workers[worker]->crashed()) {
    m_workers[worker]->Crash(away);
    m_loop.RunAfter(duration, [this, worker] { ReplaceWorker(worker); });
  }
}

void SoakDeployment::Heal() {
  m_store.FailWith(0);
  m_store.LoseAnswers(false);
  m_store_proxy->SetHarm({});
  for (const auto& worker : m_workers) {
    worker->LoseCalls(0);
  }
  for (SoakProcess& process : m_processes) {
    process.links->SetHarm({});
    if (process.callers != nullptr) {
      process.callers->SetHarm({});
    }
    if (process.frozen_until > absl::ZeroDuration()) {
      process.frozen_until = EventLoop::MonoNow();
    }
  }
}

std::vector<std::string> SoakDeployment::Faults() const {
  return m_faults;
}

}  // namespace egretswitch::soak
