// A worker of the platform on loopback. Its machine can be suspended: then it
// neither works nor answers, and its steady clock stands still.
//
//   SceneWorker worker(loop, "worker-0", {.max_lease_ms = 1000});
//   worker.OnStart([](const internal::RunKey& run) { ... });
#ifndef EGRETSWITCH_REVIEW_SCENE_3_SCENE_WORKER_H_
#define EGRETSWITCH_REVIEW_SCENE_3_SCENE_WORKER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop.h"
#include "fake_run_worker.h"
#include "stand_ins/stand_in_server.h"

namespace egretswitch::review {

struct SceneWorkerOptions {
  int64_t max_lease_ms = 1000;
  TaskNeeds capacity = {24'000, 4096, 0};
};

class SceneWorker {
 public:
  using RunCallback = std::function<void(const internal::RunKey&)>;

  SceneWorker(internal::EventLoop& loop,
              std::string id,
              const SceneWorkerOptions& options);

  const std::string& id() const { return m_id; }
  std::string address() const;

  // Reports itself to `agent` every 500 ms from now on.
  void AnnounceTo(const std::string& agent);
  // Invoked when a run begins, and when it ends in whatever way.
  void OnStart(RunCallback on_start) { m_on_start = std::move(on_start); }
  void OnEnd(RunCallback on_end) { m_on_end = std::move(on_end); }

  void Suspend();
  void Resume();

  std::set<internal::RunKey> Running();

 private:
  using Request = stand_ins::HttpRequest;
  using Reply = std::shared_ptr<stand_ins::HttpReply>;

  internal::VirtualUs Now() const;
  void Serve(const Request& request, const Reply& reply);
  void Start(const Request& request, const Reply& reply);
  void Stop(const Request& request, const Reply& reply);
  void Hold(const Request& request, const Reply& reply, int waits_left);
  void Announce();
  void WatchRuns();

  internal::EventLoop& m_loop;
  const std::string m_id;
  const TaskNeeds m_capacity;
  internal::FakeRunWorker m_worker;
  std::set<internal::RunKey> m_seen;
  RunCallback m_on_start;
  RunCallback m_on_end;
  std::string m_agent;
  uint64_t m_announcements = 0;
  bool m_suspended = false;
  internal::VirtualUs m_suspended_at = 0;
  internal::VirtualUs m_suspended_for = 0;           // in all
  std::vector<std::pair<Request, Reply>> m_waiting;  // while it is suspended
  stand_ins::HttpServer m_server;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_3_SCENE_WORKER_H_
