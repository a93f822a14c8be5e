#include "job_fixture.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

Hello EntryA() {
  Hello hello;
  hello.name = "entry-a";
  hello.incarnation = 1;
  hello.data_centre = "dc-1";
  hello.region = "region-1";
  return hello;
}

}  // namespace

JobFixture::JobFixture()
    : self(EntryA()),
      jobs(context, control, authority, agents, self, kDefaultShardCount) {
  AddRow({.kind = "pricing"});
}

void JobFixture::AddRow(TableRow row) {
  const auto it = control.rows().find(row.kind);
  const uint64_t version = it == control.rows().end() ? 0 : it->second.version;
  const LogRecord record{"edit",
                         RowEdited{"edit", "test", version, false, row}};
  BOOST_REQUIRE(control.Apply({control.next_offset(), record}) ==
                FoldVerdict::kAccepted);
  Event([&] { jobs.OnTableChanged(); });
}

void JobFixture::AddAgent(const std::string& name,
                          uint32_t slots,
                          const std::string& data_centre,
                          TaskNeeds capacity) {
  Hello hello;
  hello.name = name;
  hello.incarnation = 1;
  hello.role = ProcessRole::kAgent;
  hello.data_centre = data_centre;
  hello.region = "region-1";
  hello.slots = slots;
  hello.capacity = capacity;
  agents.OnLinkUp(hello);
  Event([&] { jobs.OnAgentLinkUp(hello); });
  TellStatus(name, slots);
}

void JobFixture::LinkAgent(const std::string& name,
                           uint32_t slots,
                           uint64_t incarnation) {
  Hello hello;
  hello.name = name;
  hello.incarnation = incarnation;
  hello.role = ProcessRole::kAgent;
  hello.data_centre = "dc-1";
  hello.slots = slots;
  agents.OnLinkUp(hello);
  Event([&] { jobs.OnAgentLinkUp(hello); });
}

void JobFixture::CutAgent(const std::string& name, uint64_t incarnation) {
  agents.OnLinkDown(name, incarnation);
  Event([&] { jobs.OnAgentLinkDown(name, incarnation); });
}

void JobFixture::TellStatus(const std::string& agent,
                            uint32_t free,
                            uint32_t offered) {
  agents.OnStatus(agent, {++m_permission, free, offered, false}, now.mono);
  Event([&] { jobs.OnAgentStatus(agent); });
}

void JobFixture::LinkEntry(const std::string& name, uint64_t incarnation) {
  Hello hello;
  hello.name = name;
  hello.incarnation = incarnation;
  Event([&] { jobs.OnEntryLinkUp(hello); });
}

void JobFixture::CutEntry(const std::string& name, uint64_t incarnation) {
  Event([&] { jobs.OnEntryLinkDown(name, incarnation); });
}

Submission JobFixture::MakeJob(const std::string& id, uint32_t tasks) const {
  Submission submission;
  submission.key = {"desk", id};
  submission.kind = "pricing";
  submission.submitted_ms = now.wall_ms;
  submission.deadline_ms = now.wall_ms + 30'000;
  submission.tasks.resize(tasks);
  return submission;
}

void JobFixture::Submit(CallerToken token, Submission submission) {
  Event([&] { jobs.OnCallerSubmitted(token, std::move(submission)); });
}

void JobFixture::Cancel(const std::string& id) {
  Event([&] { jobs.OnCallerCancelled(99, {"desk", id}); });
}

void JobFixture::Report(const std::string& agent,
                        const std::string& id,
                        std::vector<uint32_t> indexes,
                        TaskStatus status,
                        uint32_t free,
                        uint32_t run_ms) {
  TaskReports reports;
  reports.agent = {++m_permission, free, 0, false};
  for (const uint32_t index : indexes) {
    TaskReport report{{"desk", id}, index, status, "", run_ms};
    if (status == TaskStatus::kFinished) {
      report.payload = id + "/" + std::to_string(index);
    }
    reports.reports.push_back(report);
  }
  agents.OnStatus(agent, reports.agent, now.mono);
  Event([&] { jobs.OnTaskReports(agent, reports); });
}

void JobFixture::Finish(const std::string& agent,
                        const std::string& id,
                        std::vector<uint32_t> indexes,
                        uint32_t free,
                        uint32_t run_ms) {
  Report(agent, id, std::move(indexes), TaskStatus::kFinished, free, run_ms);
}

void JobFixture::Pass(absl::Duration time) {
  now.mono += time;
  now.wall_ms += absl::ToInt64Milliseconds(time);
  Event([&] { jobs.OnTick(); });
}

std::vector<AnswerCaller> JobFixture::Answers() const {
  std::vector<AnswerCaller> answers;
  for (const Action& action : actions) {
    if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      answers.push_back(*answer);
    }
  }
  return answers;
}

JobRefusal JobFixture::OnlyRefusal() const {
  const auto answers = Answers();
  BOOST_REQUIRE_EQUAL(answers.size(), 1u);
  const auto* refusal = std::get_if<JobRefusal>(&answers[0].outcome);
  BOOST_REQUIRE(refusal);
  return *refusal;
}

JobRefusal JobFixture::RefusalFor(CallerToken token) const {
  std::vector<JobRefusal> refusals;
  for (const AnswerCaller& answer : Answers()) {
    const auto* refusal = std::get_if<JobRefusal>(&answer.outcome);
    if (answer.token == token && refusal) {
      refusals.push_back(*refusal);
    }
  }
  BOOST_REQUIRE_EQUAL(refusals.size(), 1u);
  return refusals[0];
}

JobAnswer JobFixture::OnlyAnswer() const {
  const auto answers = Answers();
  BOOST_REQUIRE_EQUAL(answers.size(), 1u);
  const auto* answer = std::get_if<JobAnswer>(&answers[0].outcome);
  BOOST_REQUIRE(answer);
  return *answer;
}

uint32_t JobFixture::StartsSent() const {
  uint32_t starts = 0;
  for (const auto& sent : Sent<StartTasks>()) {
    starts += sent.message.attach_only
                  ? 0
                  : static_cast<uint32_t>(sent.message.tasks.size());
  }
  return starts;
}

}  // namespace egretswitch::internal
