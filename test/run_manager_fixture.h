// Fixture with a RunManager and a virtual clock. The test plays one entry and
// the worker.
//
//   PollCall poll = RunOneTask();              // i-1 runs task 0 of job 5c0e
//   Reports(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}))
#ifndef EGRETSWITCH_TEST_RUN_MANAGER_FIXTURE_H_
#define EGRETSWITCH_TEST_RUN_MANAGER_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "run_fixture.h"
#include "run_limits.h"
#include "run_manager.h"

namespace egretswitch::internal {

struct RunManagerFixture {
  explicit RunManagerFixture(absl::Duration max_lease = absl::ZeroDuration())
      : manager("", max_lease) {}

  RunManagerActions Do(const RunManagerEvent& event) {
    return manager.Handle(event, clock.now());
  }

  RunManagerActions Pass(absl::Duration by) {
    clock.Advance(by);
    return Do(TimePassed{});
  }

  WorkerAnnouncement Announcement(const std::string& incarnation) {
    return {.incarnation = incarnation,
            .service = "desk",
            .kind = "a",
            .rack = "r1",
            .capacity = kWholeWorker,
            .leaving = false,
            .sequence = ++sequence,
            .clock_ms = 5000};
  }

  CallAnswer Answer(CallVerdict verdict = CallVerdict::kDone) {
    return {verdict, 5000 + clock.ms()};
  }

  // The worker `incarnation` announces itself and answers the agent's poll.
  RunManagerActions ConnectWorker(const std::string& incarnation) {
    const auto polls =
        ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement(incarnation)}));
    BOOST_REQUIRE(polls.size() == 1u);
    return AnswerPoll(polls[0], {}, {});
  }

  RunManagerActions AnswerPoll(const PollCall& poll,
                               std::vector<RunKey> running,
                               std::vector<EndedRun> ended,
                               CallVerdict verdict = CallVerdict::kDone) {
    return Do(PollAnswered{
        poll, clock.now().mono,
        PollAnswer{Answer(verdict), std::move(running), std::move(ended)}});
  }

  // Returns the last poll in `actions`, which must contain one.
  static PollCall LastPoll(const RunManagerActions& actions) {
    const auto polls = ActionsOf<PollCall>(actions);
    BOOST_REQUIRE(!polls.empty());
    return polls.back();
  }

  StartRuns Start(uint32_t count, RunNumber run = 1) {
    StartRuns start;
    start.sent_at_ms = clock.ms();
    start.sequence = ++starts;
    start.worker = "i-1";
    start.job = "5c0e";
    start.spec = "text";
    start.needs = kSixCores;
    for (uint32_t i = 0; i < count; ++i) {
      start.runs.push_back({i, run});
    }
    return start;
  }

  // Wants the runs of these attempts.
  RenewRuns Renewal(std::vector<uint64_t> attempts) {
    return {.sent_at_ms = clock.ms(),
            .wanted = {},
            .ordered_before = {},
            .wanted_attempts = std::move(attempts)};
  }

  RunManagerActions SendFromEntry(const RunMessageBody& body) {
    return Do(PeerMessageReceived{"entry-1", 7, body});
  }

  std::vector<RunReport> Reports(const RunManagerActions& actions) {
    std::vector<RunReport> reports;
    for (const RunReports& sent : SentTo<RunReports>("entry-1", actions)) {
      reports.insert(reports.end(), sent.reports.begin(), sent.reports.end());
    }
    return reports;
  }

  static RunKey Key(uint32_t index, RunNumber run = 1) {
    return {{"5c0e", 0, index}, run};
  }

  // Connects an entry and a worker and starts one task. Returns the poll in
  // flight.
  PollCall RunOneTask() {
    Do(PeerConnected{"entry-1", 7});
    const PollCall poll = LastPoll(ConnectWorker("i-1"));
    const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1)));
    BOOST_REQUIRE(calls.size() == 1u);
    Do(StartAnswered{calls[0], Answer()});
    return poll;
  }

  VirtualClock clock;
  RunManager manager;
  uint64_t sequence = 0;
  uint64_t starts = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_MANAGER_FIXTURE_H_
