#include "deployment.h"

#include <signal.h>

#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "caller.h"
#include "free_port.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;
using internal::FreePort;

constexpr absl::Duration kSupervisePeriod = absl::Milliseconds(5);
// The platform starts a process again this long after its end.
constexpr absl::Duration kRestartDelay = absl::Milliseconds(400);
constexpr absl::Duration kLongestStart = absl::Seconds(8);
// The processes find each other within this time once they are ready.
constexpr absl::Duration kSettle = absl::Milliseconds(1500);

std::string Local(uint16_t port) {
  return absl::StrCat("127.0.0.1:", port);
}

}  // namespace

Deployment::Deployment(Record& record, const DeploymentOptions& options)
    : m_record(record), m_options(options), m_store(m_loop) {
  m_store.PutConfig(
      R"({"version":7,"routes":[{"name":"checks","host":"127.0.0.1",)"
      R"("path_prefix":"/checks/","kind":"unsafe","timeout_ms":1500,)"
      R"("target_latency_ms":60,"priority":0,"service":"desk",)"
      R"("max_attempts":3,"stretch":1.6}],"services":[{"name":"desk",)"
      R"("enforces_capacity":true}]})");
  for (int i = 1; i <= options.entries; ++i) {
    AddEntry(i);
  }
  for (int i = 1; i <= options.agents; ++i) {
    AddAgent(i);
  }
}

Deployment::~Deployment() {
  m_processes.clear();
  if (m_thread.joinable()) {
    m_loop.Stop();
    m_thread.join();
  }
}

std::string Deployment::Common(const std::string& role,
                               const std::string& name) {
  return absl::StrCat(
      "role: ", role, "\nname: \"", name,
      "\"\ndata_centre: \"hall\"\nregion: \"north\"\nlisten: \"",
      Local(FreePort()),
      "\"\nshared_key: links-within-one-deployment\nmetrics:\n  listen: \"",
      Local(FreePort()), "\"\nstore:\n  url: \"http://", m_store.address(),
      "\"\ntables:\n  keep_at_agents: true\n");
}

Process& Deployment::Add(const std::string& name, const std::string& settings) {
  const std::string base = absl::StrCat(m_options.directory, "/", name);
  std::ofstream(base + ".yaml") << settings;
  Process& process = m_processes.emplace_back();
  process.name = name;
  process.child = std::make_unique<soak::ChildProcess>(
      std::vector<std::string>{m_options.daemon, base + ".yaml"},
      base + ".log");
  return process;
}

void Deployment::AddEntry(int number) {
  const std::string name = absl::StrCat("front-", number);
  const uint16_t callers = FreePort();
  const uint16_t ready = FreePort();
  Process& process =
      Add(name,
          absl::StrCat(Common("step_entry", name), "callers:\n  listen: \"",
                       Local(callers), "\"\nready:\n  listen: \"", Local(ready),
                       "\"\nconfiguration:\n  in_force_within_ms: 2000\n"));
  process.callers_port = callers;
  process.ready_port = ready;
  m_entries.push_back(&process);
}

void Deployment::AddAgent(int number) {
  const std::string name = absl::StrCat("side-", number);
  AddWorker(number);
  m_report_addresses.push_back(Local(FreePort()));
  m_agents.push_back(&Add(
      name,
      absl::StrCat(Common("step_agent", name), "announcements:\n  listen: \"",
                   m_report_addresses.back(), "\"\nworker:\n  url: \"http://",
                   m_workers.back()->address(), "\"\n  max_lease_ms: 1000\n")));
}

void Deployment::AddWorker(int number) {
  m_workers.push_back(std::make_unique<Worker>(
      m_loop, m_record, absl::StrCat("worker-", number)));
  Worker* worker = m_workers.back().get();
  worker->OnStart([this, worker](const internal::RunKey& key) {
    CheckAlone(*worker, key);
  });
  worker->OnLateOrder(
      [this](const std::string& job) { return LatenessOfOrder(job); });
}

void Deployment::CheckAlone(const Worker& worker, const internal::RunKey& key) {
  for (const auto& other : m_workers) {
    if (other.get() != &worker && other->Runs(key.task)) {
      m_record.Break(absl::StrCat("TWICE: ", internal::TaskText(key.task),
                                  " runs at ", worker.id(), " beside a run at ",
                                  other->id()));
    }
  }
}

absl::Duration Deployment::LatenessOfOrder(const std::string& job) {
  const auto late = m_late_orders.extract(job);
  return late.empty() ? absl::ZeroDuration() : late.mapped();
}

void Deployment::DelayFirstOrder(const std::string& job, absl::Duration late) {
  m_loop.Post([this, job, late] { m_late_orders[job] = late; });
}

void Deployment::CrashWorker(size_t number) {
  m_loop.Post([worker = m_workers[number].get()] { worker->Crash(); });
}

void Deployment::RestartWorker(size_t number) {
  m_loop.Post([worker = m_workers[number].get()] { worker->Restart(); });
}

bool Deployment::Start() {
  for (size_t i = 0; i < m_workers.size(); ++i) {
    BeginReports(i);
  }
  m_thread = std::thread([this] { m_loop.Run(); });
  for (Process& process : m_processes) {
    process.started_at = EventLoop::MonoNow();
    process.child->Start();
  }
  for (const Process* entry : m_entries) {
    if (!AwaitReady(*entry, kLongestStart)) {
      return false;
    }
  }
  RunFor(kSettle);
  m_record.Note("all entries are ready");
  return true;
}

void Deployment::Supervise() {
  const MonoTime now = EventLoop::MonoNow();
  for (Process& process : m_processes) {
    const bool was_running = process.child->running();
    if (!process.child->Reap()) {
      continue;
    }
    if (was_running) {
      const bool by_itself = !process.child->fault().empty();
      process.own_ends += by_itself ? 1 : 0;
      m_record.Note(absl::StrCat(
          process.name, by_itself
                            ? " ended by itself: " + process.child->fault()
                            : " has ended"));
      process.start_at =
          process.removed ? absl::InfiniteDuration() : now + kRestartDelay;
    }
    if (now >= process.start_at) {
      process.start_at = absl::InfiniteDuration();
      process.started_at = now;
      process.child->Start();
      m_record.Note(absl::StrCat(process.name, " is started again"));
    }
  }
}

void Deployment::RunFor(absl::Duration duration) {
  const MonoTime end = EventLoop::MonoNow() + duration;
  do {
    Supervise();
    absl::SleepFor(kSupervisePeriod);
  } while (EventLoop::MonoNow() < end);
}

bool Deployment::AwaitReady(const Process& entry, absl::Duration longest) {
  constexpr int kOk = 200;
  const MonoTime end = EventLoop::MonoNow() + longest;
  while (EventLoop::MonoNow() < end) {
    const CallResult result =
        Call(entry.ready_port, {.method = "GET", .path = "/api/ready"});
    if (entry.child->running() && result.status == kOk) {
      return true;
    }
    RunFor(absl::Milliseconds(20));
  }
  return false;
}

void Deployment::BeginReports(size_t number) {
  m_loop.Post(
      [worker = m_workers[number].get(), agent = m_report_addresses[number]] {
        worker->ReportTo(agent);
      });
}

void Deployment::RemoveForGood(Process& process) {
  process.removed = true;
  Signal(process, SIGKILL);
}

void Deployment::AddMachine() {
  AddAgent(static_cast<int>(m_agents.size()) + 1);
  BeginReports(m_agents.size() - 1);
  m_agents.back()->started_at = EventLoop::MonoNow();
  m_agents.back()->child->Start();
  m_record.Note(m_agents.back()->name + " is added");
}

void Deployment::Signal(Process& process, int signal) {
  m_record.Note(absl::StrCat("signal ", signal, " to ", process.name));
  process.child->Signal(signal);
}

}  // namespace egretswitch::review
