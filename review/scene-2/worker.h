// A sound worker of the platform beside one agent. Its tasks run as long as
// their spec says, and some fail by their own fault:
//
//   "work 900"   done after 900 ms
//   "fail 20"    failed after 20 ms
//
// All calls are made on the thread of the loop.
#ifndef EGRETSWITCH_REVIEW_SCENE_2_WORKER_H_
#define EGRETSWITCH_REVIEW_SCENE_2_WORKER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "event_loop.h"
#include "fake_run_worker.h"
#include "http_client.h"
#include "record.h"
#include "stand_ins/stand_in_server.h"

namespace egretswitch::review {

class Worker {
 public:
  // Invoked for each run that begins.
  using StartCallback = std::function<void(const internal::RunKey&)>;
  // Returns how late a start call of the job is carried out, without an answer;
  // zero if it is carried out at once.
  using LateOrder = std::function<absl::Duration(const std::string& job)>;

  Worker(internal::EventLoop& loop, Record& record, std::string id);

  std::string address() const;
  // Reports to the agent there from now on, once in a heartbeat, and sooner
  // after a report without an acknowledgement.
  void ReportTo(const std::string& agent);
  void OnStart(StartCallback on_start) { m_on_start = std::move(on_start); }
  void OnLateOrder(LateOrder late_order) {
    m_late_order = std::move(late_order);
  }

  // Loses all runs; calls lose their connections until Restart().
  void Crash();
  // Starts again under the same id. It knows nothing of before.
  void Restart();

  const std::string& id() const { return m_id; }
  bool Runs(const internal::TaskRef& task);

 private:
  using Request = stand_ins::HttpRequest;
  using Reply = std::shared_ptr<stand_ins::HttpReply>;

  void Report();
  void Serve(const Request& request, const Reply& reply);
  void Start(const Request& request, const Reply& reply);
  void Stop(const Request& request, const Reply& reply);
  void CarryOutStart(const Request& request, const Reply& reply);
  void Hold(const Request& request, const Reply& reply, int waits_left);
  const char* HowOf(const internal::EndedRun& run) const;
  std::string Addressee(const Request& request) const;

  internal::EventLoop& m_loop;
  Record& m_record;
  const std::string m_id;
  std::unique_ptr<internal::FakeRunWorker> m_worker;  // null: crashed
  std::set<internal::RunKey> m_failing;
  internal::HttpClient m_http;
  std::string m_agent;
  uint64_t m_reports = 0;
  StartCallback m_on_start;
  LateOrder m_late_order;
  stand_ins::HttpServer m_server;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_2_WORKER_H_
