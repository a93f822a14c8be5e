// Tests LogClient and WorkerClient against stand-ins of the log service and the
// worker in this process: what each client reports for each failure.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "control_state.h"
#include "event_loop.h"
#include "log_client.h"
#include "plain_http_client.h"
#include "stand_ins/log_service.h"
#include "stand_ins/worker.h"
#include "worker_client.h"

namespace egretswitch::internal {
namespace {

// Bounds a test that would otherwise hang. No result depends on it.
constexpr absl::Duration kTestTimeout = absl::Seconds(60);
constexpr int kMaxListCalls = 10'000;

LogRecord SlotRecord(const std::string& name) {
  return {absl::StrCat("append-", name), SlotRemoved{name}};
}

class LoopFixture {
 protected:
  void RunUntil(absl::FunctionRef<bool()> done) {
    BOOST_REQUIRE(m_loop.RunUntil(done, kTestTimeout));
  }

  HttpCallResult Post(uint16_t port,
                      const std::string& target,
                      const std::string& body) {
    std::optional<HttpCallResult> result;
    HttpCall call;
    call.method = HttpMethod::kPost;
    call.url = absl::StrCat("http://127.0.0.1:", port, target);
    call.body = body;
    m_http.Send(call, [&result](HttpCallResult done) { result = done; });
    RunUntil([&result] { return result.has_value(); });
    return *result;
  }

  EventLoop m_loop;
  HttpClient m_http{m_loop};
};

class LogFixture : public LoopFixture {
 protected:
  void StartLog(stand_ins::LogServiceOptions options = {}) {
    m_log = std::make_unique<stand_ins::LogService>(options);
    BOOST_REQUIRE(m_log->Start().ok());
    m_client = std::make_unique<LogClient>(
        m_loop,
        LogClientOptions{.address = absl::StrCat("127.0.0.1:", m_log->port())});
  }

  AppendOutcome Append(const std::string& name) {
    std::optional<AppendOutcome> outcome;
    m_client->Append(SlotRecord(name),
                     [&outcome](AppendOutcome done) { outcome = done; });
    RunUntil([&outcome] { return outcome.has_value(); });
    return *outcome;
  }

  absl::StatusOr<LogPage> Read(uint64_t from, absl::Duration wait = {}) {
    std::optional<absl::StatusOr<LogPage>> page;
    m_client->Read(from, wait,
                   [&page](absl::StatusOr<LogPage> done) { page = done; });
    RunUntil([&page] { return page.has_value(); });
    return *page;
  }

  void Control(const std::string& body) {
    BOOST_REQUIRE(Post(m_log->port(), "/control", body).status == 200);
  }

  std::unique_ptr<stand_ins::LogService> m_log;
  std::unique_ptr<LogClient> m_client;
};

bool MayHaveTakenEffect(const AppendOutcome& outcome) {
  return std::get<AppendFailed>(outcome).may_have_taken_effect;
}

StartOnWorker MakeStart(const std::string& lease, const std::string& payload) {
  StartOnWorker start;
  start.lease = lease;
  start.key = {"desk", "a17"};
  start.spec.payload = payload;
  return start;
}

constexpr char kLongTask[] = R"({"run_ms":3600000})";

// Records the events of one client in order.
struct EventRecorder {
  std::vector<AgentEvent> events;

  void operator()(AgentEvent event) { events.push_back(std::move(event)); }

  template <typename Event>
  std::vector<Event> Of() const {
    std::vector<Event> found;
    for (const AgentEvent& event : events) {
      if (const auto* match = std::get_if<Event>(&event)) {
        found.push_back(*match);
      }
    }
    return found;
  }
};

class WorkerFixture : public LoopFixture {
 protected:
  WorkerFixture() {
    m_options.capacity.slots = 2;
    RestartWorker();
  }

  void RestartWorker() {
    m_worker.reset();
    m_worker = std::make_unique<stand_ins::Worker>(m_options);
    BOOST_REQUIRE(m_worker->Start().ok());
    m_options.http.port = m_worker->port();
  }

  std::unique_ptr<WorkerClient> MakeClient(const std::string& holder,
                                           EventRecorder* recorder) {
    WorkerClientOptions options;
    options.address = absl::StrCat("127.0.0.1:", m_worker->port());
    options.holder = holder;
    options.retry_period = absl::Milliseconds(5);
    auto client = std::make_unique<WorkerClient>(
        m_loop, options,
        [recorder](AgentEvent event) { (*recorder)(std::move(event)); });
    client->Connect();
    return client;
  }

  void ConnectFirst() {
    m_first = MakeClient("agent-1/1", &m_first_events);
    RunUntil([this] { return m_first->connected(); });
  }

  std::vector<WorkerTaskEnded> Ends() const {
    return m_first_events.Of<WorkerTaskEnded>();
  }

  void RunUntilEnds(size_t count) {
    RunUntil([this, count] { return Ends().size() >= count; });
  }

  // Runs until the worker lists `count` tasks. It polls the worker because the
  // loop has no event for this.
  void RunUntilRunning(size_t count) {
    for (int i = 0; i < kMaxListCalls && ListedTasks() != count; ++i) {
    }
    BOOST_REQUIRE(ListedTasks() == count);
  }

  size_t ListedTasks() {
    std::optional<HttpCallResult> result;
    HttpCall call;
    call.url = absl::StrCat("http://127.0.0.1:", m_worker->port(),
                            "/tasks?holder=agent-1%2F1");
    m_http.Send(call, [&result](HttpCallResult done) { result = done; });
    RunUntil([&result] { return result.has_value(); });
    const auto list = ParseTaskList(result->body);
    return list.ok() ? list->tasks.size() : 0;
  }

  void Control(const std::string& body) {
    BOOST_REQUIRE(Post(m_worker->port(), "/control", body).status == 200);
  }

  stand_ins::WorkerOptions m_options;
  std::unique_ptr<stand_ins::Worker> m_worker;
  EventRecorder m_first_events;
  std::unique_ptr<WorkerClient> m_first;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(log_client, LogFixture)

BOOST_AUTO_TEST_CASE(appended_records_are_read_back_in_order) {
  StartLog();
  BOOST_TEST(std::get<RecordAppended>(Append("a")).offset == 0u);
  BOOST_TEST(std::get<RecordAppended>(Append("b")).offset == 1u);
  const absl::StatusOr<LogPage> page = Read(0);
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page->head == 2u);
  BOOST_REQUIRE(page->entries.size() == 2u);
  BOOST_TEST(page->entries[1].offset == 1u);
  BOOST_TEST(std::get<SlotRemoved>(page->entries[1].record.body).name == "b");
}

BOOST_AUTO_TEST_CASE(waiting_read_is_answered_by_the_next_append) {
  StartLog();
  std::optional<absl::StatusOr<LogPage>> page;
  m_client->Read(0, absl::Seconds(30),
                 [&page](absl::StatusOr<LogPage> done) { page = done; });
  Append("a");
  RunUntil([&page] { return page.has_value(); });
  BOOST_REQUIRE(page->ok());
  BOOST_TEST((*page)->entries.size() == 1u);
}

BOOST_AUTO_TEST_CASE(first_kept_reports_records_lost_to_retention) {
  stand_ins::LogServiceOptions options;
  options.retention.records = 2;
  StartLog(options);
  for (const char* name : {"a", "b", "c"}) {
    Append(name);
  }
  const absl::StatusOr<LogPage> page = Read(0);
  BOOST_REQUIRE(page.ok());
  BOOST_TEST(page->first_kept == 1u);
  BOOST_TEST(page->entries.front().offset == 1u);
}

BOOST_AUTO_TEST_CASE(log_down_fails_reads_and_appends_without_effect) {
  StartLog();
  Control(R"({"mode":"down"})");
  BOOST_TEST(!Read(0).ok());
  BOOST_TEST(!MayHaveTakenEffect(Append("a")));
  Control(R"({"mode":"up"})");
  BOOST_TEST(Read(0)->head == 0u);
}

BOOST_AUTO_TEST_CASE(log_going_down_ends_a_waiting_read) {
  StartLog();
  std::optional<absl::StatusOr<LogPage>> page;
  m_client->Read(0, absl::Seconds(30),
                 [&page](absl::StatusOr<LogPage> done) { page = done; });
  Control(R"({"mode":"down"})");
  RunUntil([&page] { return page.has_value(); });
  BOOST_TEST(!page->ok());
}

// Guards against libcurl's own retry, which would send the append again on a
// new connection.
BOOST_AUTO_TEST_CASE(lost_reply_on_a_reused_connection_appends_once) {
  StartLog();
  Append("a");
  Control(R"({"mode":"lose_replies"})");
  BOOST_TEST(MayHaveTakenEffect(Append("b")));
  Control(R"({"mode":"up"})");
  BOOST_TEST(Read(0)->head == 2u);
}

BOOST_AUTO_TEST_CASE(append_above_the_rate_fails_without_effect) {
  stand_ins::LogServiceOptions options;
  options.appends_per_second = 0;
  StartLog(options);
  BOOST_TEST(!MayHaveTakenEffect(Append("a")));
  BOOST_TEST(Read(0)->head == 0u);
}

BOOST_AUTO_TEST_CASE(unreachable_log_fails_without_effect) {
  StartLog();
  m_log.reset();
  BOOST_TEST(!MayHaveTakenEffect(Append("a")));
}

BOOST_AUTO_TEST_CASE(undecodable_record_is_applied_as_invalid) {
  StartLog();
  Post(m_log->port(), "/streams/control/records", "not a record");
  Append("a");
  const absl::StatusOr<LogPage> page = Read(0);
  BOOST_REQUIRE(page.ok());
  ControlState state(4);
  BOOST_TEST((state.Apply(page->entries[0]) == FoldVerdict::kInvalid));
  BOOST_TEST((state.Apply(page->entries[1]) == FoldVerdict::kSuperseded));
  BOOST_TEST(state.next_offset() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(worker_client, WorkerFixture)

BOOST_AUTO_TEST_CASE(task_started_ends_once_with_its_own_output) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", R"({"run_ms":1,"echo":"x"})"),
                       MakeStart("g-2", "plain text")});
  RunUntilEnds(2);
  BOOST_TEST(Ends().size() == 2u);
  BOOST_TEST(Ends()[0].lease == "g-2");
  BOOST_TEST(Ends()[0].payload ==
             R"({"echo":"plain text","worker":"worker-1"})");
  BOOST_TEST(Ends()[1].payload == R"({"echo":"x","worker":"worker-1"})");
  BOOST_TEST((Ends()[1].status == TaskStatus::kFinished));
}

BOOST_AUTO_TEST_CASE(start_without_free_slot_is_refused_not_run) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", kLongTask), MakeStart("g-2", kLongTask),
                       MakeStart("g-3", kLongTask)});
  RunUntilEnds(1);
  BOOST_TEST(Ends()[0].lease == "g-3");
  BOOST_TEST((Ends()[0].status == TaskStatus::kRefusedByWorker));
  BOOST_TEST(Ends()[0].payload == "no_slot");
}

BOOST_AUTO_TEST_CASE(start_beyond_capacity_is_refused_not_run) {
  ConnectFirst();
  StartOnWorker start = MakeStart("g-1", kLongTask);
  start.spec.needs.accelerators = 1;
  m_first->StartBatch({start});
  RunUntilEnds(1);
  BOOST_TEST(Ends()[0].payload == "no_capacity");
}

BOOST_AUTO_TEST_CASE(payload_that_is_not_utf8_is_refused_not_changed) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", "\xff")});
  RunUntilEnds(1);
  BOOST_TEST((Ends()[0].status == TaskStatus::kRefusedByWorker));
}

BOOST_AUTO_TEST_CASE(stopped_task_ends_as_failed) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", kLongTask)});
  RunUntilRunning(1);
  m_first->Stop("g-1");
  RunUntilEnds(1);
  BOOST_TEST((Ends()[0].status == TaskStatus::kFailed));
  BOOST_TEST(Ends()[0].payload == "stopped");
}

// There are more starts than four batches hold, so a stop sent at once would
// arrive before its start. The worker's six connections are enough for the
// poll, four batches and one stop.
BOOST_AUTO_TEST_CASE(burst_of_stops_reaches_every_task_just_started) {
  constexpr size_t kTasks = 1200;
  m_options.capacity.slots = kTasks;
  m_options.http.connections = 6;
  RestartWorker();
  ConnectFirst();
  std::vector<StartOnWorker> starts;
  for (size_t i = 0; i < kTasks; ++i) {
    starts.push_back(MakeStart(absl::StrCat("g-", i), kLongTask));
  }
  m_first->StartBatch(starts);
  for (const StartOnWorker& start : starts) {
    m_first->Stop(start.lease);
  }
  RunUntilEnds(kTasks);
  for (const WorkerTaskEnded& ended : Ends()) {
    BOOST_TEST(ended.payload == "stopped");
  }
}

BOOST_AUTO_TEST_CASE(worker_that_fails_everything_fails_the_task) {
  ConnectFirst();
  Control(R"({"mode":"fail_all"})");
  m_first->StartBatch({MakeStart("g-1", "x")});
  RunUntilEnds(1);
  BOOST_TEST((Ends()[0].status == TaskStatus::kFailed));
}

BOOST_AUTO_TEST_CASE(new_holder_receives_running_tasks_and_former_is_refused) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", kLongTask)});
  RunUntilRunning(1);
  EventRecorder second_events;
  const auto second = MakeClient("agent-1/2", &second_events);
  RunUntil([&second] { return second->connected(); });
  const auto listed = second_events.Of<WorkerTasksListed>();
  BOOST_REQUIRE(listed.size() == 1u);
  BOOST_REQUIRE(listed[0].running.size() == 1u);
  BOOST_TEST(listed[0].running[0].lease == "g-1");
  RunUntil([this] { return !m_first_events.Of<WorkerLost>().empty(); });
  m_first->StartBatch({MakeStart("g-2", kLongTask)});
  RunUntilEnds(1);
  BOOST_TEST((Ends()[0].status == TaskStatus::kRefusedByWorker));
}

BOOST_AUTO_TEST_CASE(end_not_fetched_by_the_former_holder_reaches_the_next) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", kLongTask)});
  RunUntilRunning(1);
  m_first.reset();
  EventRecorder second_events;
  const auto second = MakeClient("agent-1/2", &second_events);
  RunUntil([&second] { return second->connected(); });
  second->Stop("g-1");
  RunUntil([&second_events] {
    return !second_events.Of<WorkerTaskEnded>().empty();
  });
  BOOST_TEST(second_events.Of<WorkerTaskEnded>()[0].lease == "g-1");
}

BOOST_AUTO_TEST_CASE(start_whose_reply_was_lost_ends_through_the_poll) {
  ConnectFirst();
  Control(R"({"mode":"lose_replies"})");
  m_first->StartBatch({MakeStart("g-1", kLongTask)});
  RunUntilRunning(1);
  Control(R"({"mode":"normal"})");
  m_first->Stop("g-1");
  RunUntilEnds(1);
  BOOST_TEST(Ends().size() == 1u);
  BOOST_TEST(Ends()[0].payload == "stopped");
}

BOOST_AUTO_TEST_CASE(start_not_listed_by_the_worker_is_lost) {
  ConnectFirst();
  Control(R"({"mode":"lose_requests"})");
  m_first->StartBatch({MakeStart("g-1", kLongTask)});
  RunUntilEnds(1);
  BOOST_TEST((Ends()[0].status == TaskStatus::kLost));
}

BOOST_AUTO_TEST_CASE(restarted_worker_is_reported_lost_and_reconnected) {
  ConnectFirst();
  m_first->StartBatch({MakeStart("g-1", kLongTask)});
  RunUntilRunning(1);
  RestartWorker();
  RunUntil(
      [this] { return m_first_events.Of<WorkerTasksListed>().size() == 2; });
  BOOST_TEST(m_first_events.Of<WorkerLost>().size() == 1u);
  BOOST_TEST(m_first_events.Of<WorkerTasksListed>()[1].running.empty());
  BOOST_TEST(Ends().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
