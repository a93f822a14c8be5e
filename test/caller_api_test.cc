// Callers' calls through a real server on loopback: what each is answered, and
// that one broken caller costs the others nothing.
#include "caller_api.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "job_json.h"
#include "plain_http_client.h"

namespace egretswitch::internal {
namespace {

// Ends a test that would otherwise hang; no result depends on it.
constexpr absl::Duration kGiveUpAfter = absl::Seconds(30);

constexpr std::string_view kJob =
    R"({"team":"desk","id":"a17","kind":"check","submitted_ms":1700000000000,)"
    R"("deadline_ms":1700000002000,"tasks":[{"payload":"SKF 6204"}]})";

std::string JobWithId(std::string_view id) {
  return R"({"team":"desk","id":")" + std::string(id) +
         R"(","kind":"check","submitted_ms":1,"deadline_ms":2,)" +
         R"("tasks":[{"payload":"x"}]})";
}

// Keeps what was submitted until the test answers it.
class FakeJobGateway : public JobGateway {
 public:
  struct Pending {
    CallerToken token = 0;
    SubmissionKey key;
    Done done;
  };

  bool Serving() const override {
    const std::lock_guard lock(m_mutex);
    return m_serving;
  }
  CallerToken Submit(Submission submission, Done done) override {
    return Add(std::move(submission.key), std::move(done));
  }
  CallerToken Cancel(SubmissionKey key, Done done) override {
    return Add(std::move(key), std::move(done));
  }
  void Gone(CallerToken token) override {
    const std::lock_guard lock(m_mutex);
    m_gone.push_back(token);
    m_changed.notify_all();
  }

  // The next submission or cancel, waiting for it.
  Pending Take() {
    std::unique_lock lock(m_mutex);
    BOOST_REQUIRE(m_changed.wait_for(lock,
                                     absl::ToChronoNanoseconds(kGiveUpAfter),
                                     [this] { return !m_pending.empty(); }));
    Pending pending = std::move(m_pending.front());
    m_pending.erase(m_pending.begin());
    return pending;
  }
  CallerToken TakeGone() {
    std::unique_lock lock(m_mutex);
    BOOST_REQUIRE(m_changed.wait_for(lock,
                                     absl::ToChronoNanoseconds(kGiveUpAfter),
                                     [this] { return !m_gone.empty(); }));
    const CallerToken token = m_gone.front();
    m_gone.erase(m_gone.begin());
    return token;
  }
  size_t pending_count() const {
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
  }
  void set_serving(bool serving) {
    const std::lock_guard lock(m_mutex);
    m_serving = serving;
  }

 private:
  CallerToken Add(SubmissionKey key, Done done) {
    const std::lock_guard lock(m_mutex);
    m_pending.push_back({++m_last_token, std::move(key), std::move(done)});
    m_changed.notify_all();
    return m_last_token;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_serving = true;
  CallerToken m_last_token = 0;
  std::vector<Pending> m_pending;
  std::vector<CallerToken> m_gone;
};

struct CallerApiFixture {
  CallerApiFixture() { Start({.address = "127.0.0.1:0"}); }

  void Start(HttpServerOptions options) {
    server.reset();
    auto created = HttpServer::Create(
        std::move(options),
        [this](HttpRequest request, Responder responder) {
          api.Handle(std::move(request), std::move(responder));
        },
        &CallerApi::TurnAway);
    BOOST_REQUIRE_MESSAGE(created.ok(), created.status().ToString());
    server = *std::move(created);
  }

  // Submits `body` and returns the response to what must be refused at once.
  RawResponse Post(std::string_view body) {
    RawConnection connection(server->port());
    connection.SendRequest("POST", "/v1/jobs", body);
    return connection.Receive();
  }

  // The response to a job that ends with `outcome`.
  RawResponse PostAndEnd(JobOutcome outcome,
                         std::string_view path = "/v1/jobs",
                         std::string_view body = kJob) {
    RawConnection connection(server->port());
    connection.SendRequest("POST", path, body);
    gateway.Take().done(std::move(outcome));
    return connection.Receive();
  }

  // A job through a fresh connection is still answered.
  void CheckServes() {
    BOOST_CHECK_EQUAL(PostAndEnd(JobAnswer{{{"in stock"}}}).status, 200);
  }

  FakeJobGateway gateway;
  CallerApi api{&gateway};
  std::unique_ptr<HttpServer> server;
};

JobRefusal Refusal(RefusalReason reason, uint32_t retry_after_ms = 0) {
  return {reason, RunVerdict::kNotRun, retry_after_ms, "because"};
}

BOOST_FIXTURE_TEST_SUITE(CallerApiTest, CallerApiFixture)

BOOST_AUTO_TEST_CASE(Job_Complete_IsAnsweredWhole) {
  const RawResponse response = PostAndEnd(JobAnswer{{{"in stock"}, {"12.50"}}});
  BOOST_CHECK_EQUAL(response.status, 200);
  BOOST_CHECK(response.Has("Content-Type: application/json"));
  BOOST_CHECK_EQUAL(response.body,
                    R"({"status":"complete","id":"a17","team":"desk",)"
                    R"("outputs":["in stock","12.50"]})");
}

BOOST_AUTO_TEST_CASE(Job_WithLargestAnswer_IsAnsweredWhole) {
  const JobAnswer answer{
      std::vector<TaskOutput>(790, {std::string(60'000, 'y')})};
  const RawResponse response = PostAndEnd(answer);
  BOOST_CHECK_EQUAL(response.status, 200);
  const auto outcome = ParseOutcome(response.body);
  BOOST_REQUIRE(outcome.ok());
  BOOST_CHECK_EQUAL(std::get<JobAnswer>(*outcome).outputs.size(), 790);
}

BOOST_AUTO_TEST_CASE(Job_RefusedForEachReason_HasItsCode) {
  struct Row {
    RefusalReason reason;
    int status;
  };
  const Row rows[] = {{RefusalReason::kInvalidRequest, 400},
                      {RefusalReason::kUnknownKind, 404},
                      {RefusalReason::kIdConflict, 409},
                      {RefusalReason::kClockOutOfRange, 400},
                      {RefusalReason::kTooOld, 410},
                      {RefusalReason::kDeadlinePassed, 504},
                      {RefusalReason::kDeadlineUnreachable, 429},
                      {RefusalReason::kQueueFull, 429},
                      {RefusalReason::kTeamQuota, 429},
                      {RefusalReason::kNoWorkerFits, 422},
                      {RefusalReason::kNoOwner, 503},
                      {RefusalReason::kOwnerIsolated, 503},
                      {RefusalReason::kDraining, 503},
                      {RefusalReason::kCancelled, 409},
                      {RefusalReason::kTaskFailed, 502},
                      {RefusalReason::kWorkerLost, 502},
                      {RefusalReason::kUnknownPast, 502},
                      {RefusalReason::kOverloaded, 503},
                      {RefusalReason::kAnswerExpired, 410}};
  BOOST_CHECK_EQUAL(std::size(rows) + 1,
                    static_cast<size_t>(RefusalReason::kCount));
  for (const Row& row : rows) {
    const RawResponse response = PostAndEnd(Refusal(row.reason, 1));
    BOOST_CHECK_EQUAL(response.status, row.status);
    BOOST_CHECK(response.body.find(RefusalReasonName(row.reason)) !=
                std::string::npos);
    const bool retry = row.status == 429 || row.status == 503;
    BOOST_CHECK_EQUAL(response.Has("Retry-After: 1\r\n"), retry);
  }
}

BOOST_AUTO_TEST_CASE(Job_RefusedWithWait_TellsItExactlyAndInWholeSeconds) {
  const RawResponse response =
      PostAndEnd(Refusal(RefusalReason::kQueueFull, 2001));
  BOOST_CHECK(response.Has("Retry-After: 3\r\n"));
  BOOST_CHECK(response.Has("X-Retry-After-Ms: 2001\r\n"));
}

BOOST_AUTO_TEST_CASE(Jobs_AnsweredCrossed_EachGetItsOwn) {
  RawConnection first(server->port());
  first.SendRequest("POST", "/v1/jobs", JobWithId("first"));
  auto first_job = gateway.Take();
  RawConnection second(server->port());
  second.SendRequest("POST", "/v1/jobs", JobWithId("second"));
  auto second_job = gateway.Take();
  second_job.done(JobAnswer{{{"of second"}}});
  BOOST_CHECK(second.Receive().body.find("of second") != std::string::npos);
  first_job.done(JobAnswer{{{"of first"}}});
  BOOST_CHECK(first.Receive().body.find("of first") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Jobs_MoreThanThreads_WaitTogether) {
  constexpr int kJobs = 200;
  std::vector<std::unique_ptr<RawConnection>> connections;
  std::vector<FakeJobGateway::Pending> jobs;
  for (int i = 0; i < kJobs; ++i) {
    connections.push_back(std::make_unique<RawConnection>(server->port()));
    connections.back()->SendRequest("POST", "/v1/jobs",
                                    JobWithId(std::to_string(i)));
    jobs.push_back(gateway.Take());
  }
  BOOST_CHECK_EQUAL(server->open_requests(), kJobs);
  for (auto& job : jobs) {
    job.done(JobAnswer{{{"of " + job.key.id}}});
  }
  for (int i = 0; i < kJobs; ++i) {
    BOOST_CHECK(connections[i]->Receive().body.find(
                    "\"of " + std::to_string(i) + "\"") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(Connection_UsedTwice_IsAnsweredTwice) {
  RawConnection connection(server->port());
  for (const char* id : {"one", "two"}) {
    connection.SendRequest("POST", "/v1/jobs", JobWithId(id));
    gateway.Take().done(JobAnswer{{{id}}});
    BOOST_CHECK(connection.Receive().body.find(id) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(Cancel_OfJob_TellsWhatBecameOfIt) {
  constexpr std::string_view kKey = R"({"team":"desk","id":"a17"})";
  const RawResponse cancelled =
      PostAndEnd(Refusal(RefusalReason::kCancelled), "/v1/jobs/cancel", kKey);
  BOOST_CHECK_EQUAL(cancelled.status, 200);
  BOOST_CHECK(cancelled.body.find("cancelled") != std::string::npos);
  const RawResponse refused =
      PostAndEnd(Refusal(RefusalReason::kNoOwner), "/v1/jobs/cancel", kKey);
  BOOST_CHECK_EQUAL(refused.status, 503);
}

BOOST_AUTO_TEST_CASE(Health_FollowsWhetherTheEntryServes) {
  RawConnection connection(server->port());
  connection.SendRequest("GET", "/healthz", "");
  BOOST_CHECK_EQUAL(connection.Receive().status, 200);
  gateway.set_serving(false);
  connection.SendRequest("GET", "/healthz", "");
  BOOST_CHECK_EQUAL(connection.Receive().status, 503);
}

BOOST_AUTO_TEST_CASE(Call_OfUnknownPathOrMethod_IsRefused) {
  RawConnection connection(server->port());
  connection.SendRequest("GET", "/v2/jobs", "");
  BOOST_CHECK_EQUAL(connection.Receive().status, 404);
  connection.SendRequest("GET", "/v1/jobs", "");
  const RawResponse response = connection.Receive();
  BOOST_CHECK_EQUAL(response.status, 405);
  BOOST_CHECK(response.Has("Allow: POST"));
}

BOOST_AUTO_TEST_CASE(BadBody_OfAnyKind_IsRefusedAsNotRun) {
  const std::string text(kJob);
  const std::string bad[] = {text.substr(0, 60),
                             "",
                             "7",
                             "\xff\xfe",
                             JobWithId(std::string(10'240, 'i')),
                             JobWithId("a\xff")};
  for (const std::string& body : bad) {
    const RawResponse response = Post(body);
    BOOST_CHECK_EQUAL(response.status, 400);
    const auto outcome = ParseOutcome(response.body);
    BOOST_REQUIRE(outcome.ok());
    const auto& refusal = std::get<JobRefusal>(*outcome);
    BOOST_CHECK(refusal.reason == RefusalReason::kInvalidRequest);
    BOOST_CHECK(refusal.verdict == RunVerdict::kNotRun);
    BOOST_CHECK(!refusal.detail.empty());
  }
  BOOST_CHECK_EQUAL(gateway.pending_count(), 0);
  BOOST_CHECK_EQUAL(api.invalid_requests(), std::size(bad));
  CheckServes();
}

BOOST_AUTO_TEST_CASE(Body_OfTenMegabytes_IsTooLarge) {
  const RawResponse response = Post(std::string(10u << 20, ' '));
  BOOST_CHECK_EQUAL(response.status, 413);
  BOOST_CHECK(response.body.find("found 10485760 bytes, allowed: at most "
                                 "4194304") != std::string::npos);
  BOOST_CHECK_EQUAL(server->turned_away_requests(), 1);
  CheckServes();
}

BOOST_AUTO_TEST_CASE(Body_TooLarge_IsRefusedBeforeItIsSentToACallerThatAsks) {
  RawConnection connection(server->port());
  connection.Send(
      "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\n"
      "Content-Length: 5000000\r\n\r\n");
  BOOST_CHECK_EQUAL(connection.Receive().status, 413);
}

BOOST_AUTO_TEST_CASE(Body_FarTooLarge_IsRefusedUnread) {
  RawConnection connection(server->port());
  connection.Send(
      "POST /v1/jobs HTTP/1.1\r\nHost: test\r\n"
      "Content-Length: 99999999999\r\n\r\n");
  BOOST_CHECK_EQUAL(connection.Receive().status, 413);
}

BOOST_AUTO_TEST_CASE(Body_TooLargeInChunks_IsTooLarge) {
  RawConnection connection(server->port());
  connection.Send(
      "POST /v1/jobs HTTP/1.1\r\nHost: test\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "100000\r\n" + std::string(1u << 20, ' ') + "\r\n";
  for (int i = 0; i < 5; ++i) {
    connection.Send(chunk);
  }
  connection.Send("0\r\n\r\n");
  BOOST_CHECK_EQUAL(connection.Receive().status, 413);
  CheckServes();
}

BOOST_AUTO_TEST_CASE(Bodies_BeyondWhatIsHeldTogether_AreOverload) {
  Start({.address = "127.0.0.1:0", .max_total_body_bytes = kJob.size() + 10});
  RawConnection first(server->port());
  first.SendRequest("POST", "/v1/jobs", kJob);
  auto job = gateway.Take();
  const RawResponse response = Post(kJob);
  BOOST_CHECK_EQUAL(response.status, 503);
  BOOST_CHECK(response.body.find("overloaded") != std::string::npos);
  BOOST_CHECK(response.Has("Retry-After: 1"));
  job.done(JobAnswer{{{"in stock"}}});
  BOOST_CHECK_EQUAL(first.Receive().status, 200);
  BOOST_CHECK(server->WaitUntilIdle(kGiveUpAfter));
  CheckServes();
}

BOOST_AUTO_TEST_CASE(SlowSender_HalfWay_HoldsUpNobody) {
  RawConnection slow(server->port());
  const std::string text =
      "POST /v1/jobs HTTP/1.1\r\nHost: test\r\n"
      "Content-Length: " +
      std::to_string(kJob.size()) + "\r\n\r\n" + std::string(kJob);
  for (size_t i = 0; i < text.size(); ++i) {
    slow.Send(text.substr(i, 1));
    if (i % 50 == 0) {
      CheckServes();
    }
  }
  gateway.Take().done(JobAnswer{{{"at last"}}});
  BOOST_CHECK(slow.Receive().body.find("at last") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SilentSender_IsCutOffWhileAWaitingCallerIsNot) {
  Start({.address = "127.0.0.1:0", .idle_timeout = absl::Seconds(1)});
  RawConnection waiting(server->port());
  waiting.SendRequest("POST", "/v1/jobs", kJob);
  auto job = gateway.Take();
  RawConnection silent(server->port());
  silent.Send("POST /v1/jobs HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n");
  BOOST_CHECK(silent.ReceiveEnd());
  job.done(JobAnswer{{{"in stock"}}});
  BOOST_CHECK_EQUAL(waiting.Receive().status, 200);
}

BOOST_AUTO_TEST_CASE(Connection_DroppedWhileSending_LosesNothingElse) {
  // The library may notice the end of such a connection only when it has been
  // silent for the idle timeout.
  Start({.address = "127.0.0.1:0", .idle_timeout = absl::Seconds(1)});
  RawConnection dropped(server->port());
  dropped.Send(
      "POST /v1/jobs HTTP/1.1\r\nHost: test\r\n"
      "Content-Length: 900\r\n\r\n{\"team\":");
  dropped.Close();
  CheckServes();
  BOOST_CHECK(server->WaitUntilIdle(kGiveUpAfter));
}

BOOST_AUTO_TEST_CASE(Connection_DroppedWhileWaiting_IsReportedOnce) {
  RawConnection dropped(server->port());
  dropped.SendRequest("POST", "/v1/jobs", kJob);
  auto job = gateway.Take();
  dropped.Close();
  BOOST_CHECK_EQUAL(gateway.TakeGone(), job.token);
  BOOST_CHECK(server->WaitUntilIdle(kGiveUpAfter));
  job.done(JobAnswer{{{"too late"}}});
  CheckServes();
}

BOOST_AUTO_TEST_CASE(Outcome_NeverGiven_IsAnInternalError) {
  RawConnection connection(server->port());
  connection.SendRequest("POST", "/v1/jobs", kJob);
  gateway.Take();
  BOOST_CHECK_EQUAL(connection.Receive().status, 500);
}

BOOST_AUTO_TEST_CASE(Server_Draining_FinishesOpenRequestsAndTakesNoNew) {
  RawConnection connection(server->port());
  connection.SendRequest("POST", "/v1/jobs", kJob);
  auto job = gateway.Take();
  server->StopListening();
  BOOST_CHECK(!server->WaitUntilIdle(absl::ZeroDuration()));
  job.done(JobAnswer{{{"in stock"}}});
  const RawResponse response = connection.Receive();
  BOOST_CHECK_EQUAL(response.status, 200);
  BOOST_CHECK(response.Has("Connection: close"));
  BOOST_CHECK(server->WaitUntilIdle(kGiveUpAfter));
}

BOOST_AUTO_TEST_CASE(Server_DestroyedWithWaitingRequests_EndsThem) {
  RawConnection connection(server->port());
  connection.SendRequest("POST", "/v1/jobs", kJob);
  auto job = gateway.Take();
  server.reset();
  BOOST_CHECK(connection.ReceiveEnd());
  job.done(JobAnswer{{{"too late"}}});
}

BOOST_AUTO_TEST_CASE(Job_AnsweredWhileCallerGoesAway_EndsEitherWay) {
  for (int i = 0; i < 300; ++i) {
    RawConnection connection(server->port());
    connection.SendRequest("POST", "/v1/jobs", kJob);
    auto job = gateway.Take();
    std::thread answer([&job] { job.done(JobAnswer{{{"in stock"}}}); });
    connection.Close();
    answer.join();
  }
  BOOST_CHECK(server->WaitUntilIdle(kGiveUpAfter));
  CheckServes();
}

BOOST_AUTO_TEST_CASE(Server_OnBadAddress_SaysWhichAndWhatIsAllowed) {
  for (const char* address : {"localhost:80", "127.0.0.1", "127.0.0.1:99999"}) {
    const auto created = HttpServer::Create(
        {.address = address}, [](HttpRequest, Responder) {},
        &CallerApi::TurnAway);
    BOOST_REQUIRE(!created.ok());
    BOOST_CHECK(created.status().message().find(address) !=
                absl::string_view::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
