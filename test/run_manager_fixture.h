// An agent's decisions with an entry and a worker that the test plays.
//
//   PollCall look = RunOneTask();              // i-1 runs task 0 of job 5c0e
//   Reports(AnswerPoll(look, {}, {{1, Key(0), WorkerRunEnd::kDone}}))
#ifndef EGRETSWITCH_TEST_RUN_MANAGER_FIXTURE_H_
#define EGRETSWITCH_TEST_RUN_MANAGER_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "run_fixture.h"
#include "run_manager.h"
#include "run_limits.h"

namespace egretswitch::internal {

struct RunManagerFixture {
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

  // The worker `incarnation` announces itself and answers the look.
  RunManagerActions ConnectWorker(const std::string& incarnation) {
    const auto looks =
        ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement(incarnation)}));
    BOOST_REQUIRE(looks.size() == 1u);
    return AnswerPoll(looks[0], {}, {});
  }

  RunManagerActions AnswerPoll(const PollCall& look,
                              std::vector<RunKey> running,
                              std::vector<EndedRun> ended,
                              CallVerdict verdict = CallVerdict::kDone) {
    return Do(PollAnswered{
        look, clock.now().mono,
        PollAnswer{Answer(verdict), std::move(running), std::move(ended)}});
  }

  // A look that the keeper sends now, or sent in `actions`.
  static PollCall LastPoll(const RunManagerActions& actions) {
    const auto looks = ActionsOf<PollCall>(actions);
    BOOST_REQUIRE(!looks.empty());
    return looks.back();
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

  RunManagerActions SendFromEntry(const RunMessageBody& body) {
    return Do(PeerSaid{"entry-1", 7, body});
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

  // An entry and a worker are there; one task runs.
  PollCall RunOneTask() {
    Do(PeerUp{"entry-1", 7});
    const PollCall look = LastPoll(ConnectWorker("i-1"));
    const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1)));
    BOOST_REQUIRE(calls.size() == 1u);
    Do(StartAnswered{calls[0], Answer()});
    return look;
  }

  VirtualClock clock;
  RunManager manager;
  uint64_t sequence = 0;
  uint64_t starts = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_MANAGER_FIXTURE_H_
