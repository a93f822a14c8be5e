#include "scene.h"

#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "free_port.h"
#include "member_record.h"
#include "platform/job_codec.h"

namespace egretswitch::review {
namespace {

constexpr absl::Duration kStartLimit = absl::Seconds(20);
constexpr absl::Duration kReplacementGap = absl::Seconds(1);
// Between the silence of a moved caller's connection and its own end.
constexpr absl::Duration kSilence = absl::Milliseconds(50);

std::string Local() {
  return absl::StrCat("127.0.0.1:", internal::FreePort());
}

std::string RunText(const SceneRun& run) {
  return absl::StrCat("task ", platform::EncodeTaskName(run.key.task), " run ",
                      run.key.run, " on ", run.worker);
}

}  // namespace

absl::Duration LongestOverlap(const std::vector<SceneRun>& runs) {
  absl::Duration longest = absl::ZeroDuration();
  for (const SceneRun& left : runs) {
    for (const SceneRun& right : runs) {
      if (&left != &right && left.key.task == right.key.task) {
        const MonoTime end = std::min({left.ended, right.ended, Scene::Now()});
        longest = std::max(longest, end - std::max(left.began, right.began));
      }
    }
  }
  return longest;
}

Scene::Scene(SceneOptions options)
    : m_options(std::move(options)), m_record(m_options.record) {
  m_store = std::make_unique<platform::StoreStandIn>(m_loop);
  // Every link between two entries goes through the proxy of one of them.
  m_store->RewriteAppends([this](const std::string& key, std::string value) {
    auto member = internal::DecodeMember(value);
    const auto link = m_links.find(key);
    if (!member.ok() || link == m_links.end()) {
      return value;
    }
    member->address = link->second->address();
    return internal::EncodeMember(*member);
  });
  for (const std::string& name : m_options.entries) {
    AddEntry(name);
  }
  for (int i = 0; i < m_options.agents; ++i) {
    AddAgent(i);
  }
}

Scene::~Scene() {
  m_processes.clear();
  if (m_thread.joinable()) {
    m_loop.Stop();
    m_thread.join();
  }
}

// ---- Set-up

// As platform/entry.yaml and platform/agent.yaml have it.
std::string Scene::CommonSettings(const std::string& role,
                                  const std::string& name,
                                  const std::string& links) {
  return absl::StrCat(
      "role: ", role, "\nname: ", name, "\ndata_centre: dc-0\nregion: r-0\n",
      "listen: \"", links, "\"\nshared_key: links-within-one-deployment\n",
      "metrics:\n  listen: \"", Local(), "\"\nstore:\n  url: \"http://",
      m_store->address(), "\"\ntables:\n  keep_at_agents: true\n");
}

void Scene::AddEntry(const std::string& name) {
  Process process;
  process.name = name;
  process.callers = Local();
  process.ready = Local();
  const std::string links = Local();
  if (m_options.may_cut_entries) {
    m_links[name] = soak::LoopbackProxy::Open(m_loop, links);
  }
  const std::string settings = absl::StrCat(
      CommonSettings("step_entry", process.name, links),
      "callers:\n  listen: \"", process.callers, "\"\nready:\n  listen: \"",
      process.ready, "\"\nconfiguration:\n  in_force_within_ms: 2000\n");
  Add(std::move(process), settings);
}

void Scene::AddAgent(int number) {
  Process process;
  process.name = absl::StrCat("agent-", number);
  process.announcements = Local();
  m_workers.push_back(std::make_unique<SceneWorker>(
      m_loop, absl::StrCat("worker-", number),
      SceneWorkerOptions{.max_lease_ms = m_options.max_lease_ms}));
  Watch(*m_workers.back());
  const std::string settings =
      absl::StrCat(CommonSettings("step_agent", process.name, Local()),
                   "announcements:\n  listen: \"", process.announcements,
                   "\"\nworker:\n  url: \"http://", m_workers.back()->address(),
                   "\"\n  max_lease_ms: ", m_options.max_lease_ms, "\n");
  Add(std::move(process), settings);
}

void Scene::Add(Process process, const std::string& settings) {
  const std::string base = absl::StrCat(m_options.directory, "/", process.name);
  std::ofstream(absl::StrCat(base, ".yaml")) << settings;
  process.child = std::make_unique<soak::ChildProcess>(
      std::vector<std::string>{m_options.daemon, absl::StrCat(base, ".yaml")},
      absl::StrCat(base, ".log"));
  m_processes.push_back(std::move(process));
}

void Scene::Watch(SceneWorker& worker) {
  worker.OnStart([this, &worker](const internal::RunKey& key) {
    const SceneRun run{
        .job = key.task.job, .key = key, .worker = worker.id(), .began = Now()};
    Note(RunText(run) + " begins");
    const std::lock_guard lock(m_runs_mutex);
    m_runs.push_back(run);
  });
  worker.OnEnd([this, &worker](const internal::RunKey& key) {
    const std::lock_guard lock(m_runs_mutex);
    for (SceneRun& run : m_runs) {
      if (run.key == key && run.worker == worker.id() &&
          run.ended == absl::InfiniteDuration()) {
        run.ended = Now();
        Note(RunText(run) + " ends");
      }
    }
  });
}

bool Scene::Start() {
  PublishRoutes({"/checks/", "/others/"});
  for (Process& process : m_processes) {
    process.child->Start();
  }
  for (size_t i = 0; i < m_workers.size(); ++i) {
    m_workers[i]->AnnounceTo(Find(absl::StrCat("agent-", i)).announcements);
  }
  m_thread = std::thread([this] { m_loop.Run(); });
  return AwaitReady();
}

bool Scene::AwaitReady() {
  return std::all_of(m_processes.begin(), m_processes.end(),
                     [this](const Process& process) {
                       return process.ready.empty() || AwaitReady(process);
                     });
}

bool Scene::AwaitReady(const Process& entry) {
  const MonoTime until = Now() + kStartLimit;
  const HttpRequest request = {.method = "GET", .path = "/api/ready"};
  while (CallHttp(entry.ready, request).status != 200) {
    if (Now() > until) {
      Note(entry.name + " is not ready");
      return false;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  Note(entry.name + " is ready");
  return true;
}

bool Scene::StartEntry(const std::string& name) {
  AddEntry(name);
  Launch(name);
  return AwaitReady(Find(name));
}

void Scene::RemoveEntry(const std::string& name) {
  Signal(name, SIGKILL);
  std::erase_if(m_processes,
                [&](const Process& process) { return process.name == name; });
}

std::optional<std::string> Scene::ReplaceEntry(const std::string& prefix,
                                               int times) {
  for (int number = 1; number <= times; ++number) {
    RemoveEntry(absl::StrCat(prefix, number));
    Sleep(kReplacementGap);
    if (!StartEntry(absl::StrCat(prefix, number + 1))) {
      return std::nullopt;
    }
  }
  return absl::StrCat(prefix, times + 1);
}

void Scene::PublishRoutes(const std::vector<std::string>& prefixes) {
  nlohmann::json routes = nlohmann::json::array();
  std::string names;
  for (const std::string& prefix : prefixes) {
    routes.push_back({{"name", "route" + prefix},
                      {"host", "127.0.0.1"},
                      {"path_prefix", prefix},
                      {"service", "desk"},
                      {"timeout_ms", 60'000},
                      {"target_latency_ms", 60},
                      {"priority", 0},
                      {"max_attempts", 3},
                      {"stretch", 1.6}});
    absl::StrAppend(&names, " ", prefix);
  }
  m_config_version += 3;
  const std::string text =
      nlohmann::json{{"version", m_config_version}, {"routes", routes}}.dump();
  OnLoop([&] { m_store->PutConfig(text); });
  Note(absl::StrCat("manifest ", m_config_version,
                    " acknowledged, routes:", names));
}

void Scene::OnLoop(const std::function<void()>& action) {
  if (!m_thread.joinable()) {
    action();
    return;
  }
  std::promise<void> done;
  m_loop.Post([&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

// ---- Callers

HttpRequest Scene::JobRequest(const std::string& path,
                              int tasks,
                              absl::Duration work,
                              absl::Duration deadline) const {
  const int64_t work_ms = absl::ToInt64Milliseconds(work);
  const nlohmann::json job = {{"spec", absl::StrCat(work_ms)},
                              {"best_effort", true},
                              {"steps",
                               {{{"count", tasks},
                                 {"cpu", 6000},
                                 {"mem_mb", 64},
                                 {"estimate_ms", work_ms}}}}};
  return {.method = "POST",
          .path = path,
          .body = job.dump(),
          .timeout = deadline,
          .deadline = deadline};
}

HttpReply Scene::Call(const std::string& entry, const HttpRequest& request) {
  const std::string what =
      absl::StrCat(request.method, " ", request.path, " at ", entry);
  Note(what);
  const HttpReply reply = CallHttp(Find(entry).callers, request);
  Note(absl::StrCat(what, ": ",
                    reply.status == 0
                        ? "no answer"
                        : absl::StrCat(reply.status, " ", reply.body)));
  return reply;
}

std::future<HttpReply> Scene::CallLater(const std::string& entry,
                                        const HttpRequest& request) {
  return std::async(std::launch::async,
                    [this, entry, request] { return Call(entry, request); });
}

std::future<HttpReply> Scene::CallUntilMoved(const std::string& entry,
                                             HttpRequest request,
                                             absl::Duration until) {
  std::string address;
  OnLoop([&] {
    m_proxies.push_back(soak::LoopbackProxy::Open(m_loop, Find(entry).callers));
    address = m_proxies.back()->address();
  });
  soak::LoopbackProxy* const proxy = m_proxies.back().get();
  m_loop.Post([this, proxy, until, entry] {
    m_loop.RunAfter(until - kSilence, [this, proxy, entry] {
      proxy->SetHarm({.hold_to_server = true, .hold_to_client = true});
      Note("a caller of " + entry + " moves, its connection falls silent");
    });
  });
  request.timeout = until;
  Note(absl::StrCat(request.method, " ", request.path, " at ", entry));
  return std::async(std::launch::async,
                    [address, request] { return CallHttp(address, request); });
}

// ---- Processes

Scene::Process& Scene::Find(const std::string& name) {
  const auto found =
      std::find_if(m_processes.begin(), m_processes.end(),
                   [&](const Process& other) { return other.name == name; });
  if (found == m_processes.end()) {
    std::cerr << "no process " << name << "\n";
    std::abort();
  }
  return *found;
}

std::vector<std::string> Scene::ProcessNames() const {
  std::vector<std::string> names;
  for (const Process& process : m_processes) {
    names.push_back(process.name);
  }
  return names;
}

void Scene::Signal(const std::string& process, int signal) {
  Find(process).child->Signal(signal);
  Note(absl::StrCat("signal ", signal, " to ", process));
}

void Scene::Launch(const std::string& process) {
  soak::ChildProcess& child = *Find(process).child;
  while (!child.Reap()) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  child.Start();
  Note(process + " started");
}

void Scene::KillFor(const std::vector<std::string>& processes,
                    absl::Duration down) {
  for (const std::string& name : processes) {
    Signal(name, SIGKILL);
  }
  Sleep(down);
  for (const std::string& name : processes) {
    Launch(name);
  }
}

void Scene::CutEntry(const std::string& name, absl::Duration duration) {
  OnLoop([&] {
    soak::LoopbackProxy* const link = m_links.at(name).get();
    link->SetHarm({.hold_to_server = true, .hold_to_client = true});
    m_loop.RunAfter(duration, [this, link, name] {
      link->SetHarm({});
      Note("the cut of " + name + " ends");
    });
  });
  Note(name + " is cut off from the other entries");
}

void Scene::SuspendWorker(size_t worker) {
  OnLoop([&] { m_workers[worker]->Suspend(); });
  Note(absl::StrCat("worker-", worker, " suspended"));
}

void Scene::ResumeWorker(size_t worker) {
  OnLoop([&] { m_workers[worker]->Resume(); });
  Note(absl::StrCat("worker-", worker, " resumed"));
}

// ---- Runs

std::vector<SceneRun> Scene::RunsOf(const std::string& job) {
  const std::lock_guard lock(m_runs_mutex);
  std::vector<SceneRun> runs;
  std::copy_if(m_runs.begin(), m_runs.end(), std::back_inserter(runs),
               [&](const SceneRun& run) { return run.job == job; });
  return runs;
}

size_t Scene::RunningOf(const std::string& job) {
  const std::vector<SceneRun> runs = RunsOf(job);
  return static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [](const SceneRun& run) {
        return run.ended == absl::InfiniteDuration();
      }));
}

bool Scene::AwaitRunning(const std::string& job,
                         size_t runs,
                         absl::Duration limit) {
  const MonoTime until = Now() + limit;
  while (RunningOf(job) != runs && Now() < until) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  return RunningOf(job) == runs;
}

// ---- Record

void Scene::Sleep(absl::Duration duration) {
  absl::SleepFor(duration);
}

void Scene::Note(const std::string& what) {
  const std::lock_guard lock(m_record_mutex);
  m_record << absl::StrFormat("%8.3f s  ",
                              absl::ToDoubleSeconds(Now() - m_began))
           << what << std::endl;
}

}  // namespace egretswitch::review
