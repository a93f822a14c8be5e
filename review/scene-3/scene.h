// A small deployment of real processes on loopback: entries, and agents with a
// worker each. Writes what happens to a record.
//
//   Scene scene(options);
//   scene.Start();
//   scene.Sleep(absl::Seconds(1));
//   HttpReply reply = scene.Call("entry-0", {.method = "GET", ...});
//
// The caller's thread tells the story; the stand-ins run on a thread of their
// own.
#ifndef EGRETSWITCH_REVIEW_SCENE_3_SCENE_H_
#define EGRETSWITCH_REVIEW_SCENE_3_SCENE_H_

#include <condition_variable>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "child_process.h"
#include "event_loop.h"
#include "http_call.h"
#include "loopback_proxy.h"
#include "platform/test/store_stand_in.h"
#include "scene_worker.h"

namespace egretswitch::review {

struct SceneOptions {
  std::string daemon;     // the program of the deploy file
  std::string directory;  // of the settings and logs of the processes
  std::string record;     // file
  std::vector<std::string> entries = {"entry-0", "entry-1"};
  int agents = 3;
  int64_t max_lease_ms = 1000;
  // Whether CutEntry() is wanted.
  bool may_cut_entries = false;
};

// One run of a task, as its worker saw it.
struct SceneRun {
  std::string job;
  internal::RunKey key;
  std::string worker;
  MonoTime began = absl::ZeroDuration();
  MonoTime ended = absl::InfiniteDuration();
};

// The longest time for which two runs of one task have gone on together.
absl::Duration LongestOverlap(const std::vector<SceneRun>& runs);

class Scene {
 public:
  explicit Scene(SceneOptions options);
  ~Scene();
  Scene(const Scene&) = delete;
  Scene& operator=(const Scene&) = delete;

  // Publishes the manifest, starts all processes and waits until every entry is
  // ready. Returns false if one isn't after 20 s.
  bool Start();
  bool AwaitReady();
  // A further entry. Returns false if it isn't ready in time.
  bool StartEntry(const std::string& name);
  // The entry's machine is removed for good.
  void RemoveEntry(const std::string& name);
  // Replaces the entry PREFIX1 by PREFIX2, that one by PREFIX3 and so on: one
  // is removed for good, the next one comes a second later at another address.
  // Returns the name of the last one, or nothing if one isn't ready in time.
  std::optional<std::string> ReplaceEntry(const std::string& prefix, int times);

  // Publishes the next version, with a route for each of these prefixes.
  void PublishRoutes(const std::vector<std::string>& prefixes);

  HttpReply Call(const std::string& entry, const HttpRequest& request);
  // The same without waiting.
  std::future<HttpReply> CallLater(const std::string& entry,
                                   const HttpRequest& request);
  // The same for a caller that moves to another zone after `until`: its
  // connection falls silent, so that the entry does not see it leave.
  std::future<HttpReply> CallUntilMoved(const std::string& entry,
                                        HttpRequest request,
                                        absl::Duration until);
  // Hands in a best-effort job whose tasks take `work`.
  HttpRequest JobRequest(const std::string& path,
                         int tasks,
                         absl::Duration work,
                         absl::Duration deadline) const;

  std::vector<std::string> ProcessNames() const;
  void Signal(const std::string& process, int signal);
  void Launch(const std::string& process);
  // Kills these processes at once and starts them again after `down`.
  void KillFor(const std::vector<std::string>& processes, absl::Duration down);

  // Partitions an entry from those that dial it, which are all other entries if
  // its name is the last. It reaches the agents, the store and its callers.
  void CutEntry(const std::string& name, absl::Duration duration);

  void SuspendWorker(size_t worker);
  void ResumeWorker(size_t worker);

  std::vector<SceneRun> RunsOf(const std::string& job);
  size_t RunningOf(const std::string& job);
  bool AwaitRunning(const std::string& job, size_t runs, absl::Duration limit);

  static MonoTime Now() { return internal::EventLoop::MonoNow(); }
  void Sleep(absl::Duration duration);
  void Note(const std::string& what);

 private:
  struct Process {
    std::string name;
    std::unique_ptr<soak::ChildProcess> child;
    std::string callers;        // of an entry
    std::string ready;          // of an entry
    std::string announcements;  // of an agent
  };

  Process& Find(const std::string& name);
  bool AwaitReady(const Process& entry);
  std::string CommonSettings(const std::string& role,
                             const std::string& name,
                             const std::string& links);
  void AddEntry(const std::string& name);
  void AddAgent(int number);
  void Add(Process process, const std::string& settings);
  void OnLoop(const std::function<void()>& action);
  void Watch(SceneWorker& worker);

  const SceneOptions m_options;
  const MonoTime m_began = Now();
  std::mutex m_record_mutex;
  std::ofstream m_record;
  internal::EventLoop m_loop;
  std::unique_ptr<platform::StoreStandIn> m_store;
  std::vector<std::unique_ptr<SceneWorker>> m_workers;
  std::vector<std::unique_ptr<soak::LoopbackProxy>> m_proxies;  // of callers
  // Of the links to entries, by the entry's name.
  std::map<std::string, std::unique_ptr<soak::LoopbackProxy>> m_links;
  std::deque<Process> m_processes;
  uint64_t m_config_version = 0;
  std::mutex m_runs_mutex;
  std::vector<SceneRun> m_runs;
  std::thread m_thread;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_3_SCENE_H_
