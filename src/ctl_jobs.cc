#include "ctl_jobs.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "ctl_client.h"
#include "job_json.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kDefaultDeadlineMs = 10'000;
// How long after the deadline an entry may take to say that it has passed.
constexpr absl::Duration kAnswerMargin = absl::Seconds(2);
constexpr absl::Duration kReconnectPause = absl::Milliseconds(200);

// Adds `name` to the document when it isn't there, and says so: whoever wants
// to submit the same job again needs the very same value.
void FillIn(const char* name,
            int64_t value,
            nlohmann::json* document,
            CtlWorld& world) {
  if (!document->contains(name)) {
    (*document)[name] = value;
    world.err << "note: filled in \"" << name << "\": " << value << "\n";
  }
}

absl::StatusOr<Submission> ReadSubmission(const std::string& path,
                                          CtlWorld& world) {
  auto text = ReadInputFile(path);
  if (!text.ok()) {
    return text.status();
  }
  auto document = nlohmann::json::parse(*text, nullptr, false);
  if (document.is_object()) {
    const int64_t now_ms = world.now_ms();
    FillIn("submitted_ms", now_ms, &document, world);
    FillIn("deadline_ms", now_ms + kDefaultDeadlineMs, &document, world);
    *text =
        document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  auto submission = ParseSubmission(*text);
  if (!submission.ok()) {
    return absl::InvalidArgumentError(
        absl::StrCat(path, ": ", submission.status().message()));
  }
  return submission;
}

int PrintRefusal(const JobRefusal& refusal, CtlWorld& world) {
  const bool not_run = refusal.verdict == RunVerdict::kNotRun;
  world.err << (not_run ? "refused: " : "failed: ")
            << RefusalReasonName(refusal.reason) << " ("
            << RunVerdictName(refusal.verdict) << ")";
  if (refusal.retry_after_ms > 0) {
    world.err << ", come back in " << refusal.retry_after_ms << " ms";
  }
  world.err << (refusal.detail.empty() ? "" : ": ") << refusal.detail << "\n";
  return kCtlRefused;
}

// Submits the job, again and again with --wait.
class Submitter {
 public:
  Submitter(const Submission& submission,
            const CtlArguments& arguments,
            const CtlClient& client,
            CtlWorld& world)
      : m_submission(submission),
        m_body(SubmissionToJson(submission)),
        m_arguments(arguments),
        m_client(client),
        m_world(world) {}

  int Run() {
    while (true) {
      const auto response = m_client.Call("POST", "/v1/jobs", m_body);
      const std::optional<absl::Duration> pause = PauseBeforeNext(response);
      if (!pause) {
        return Print(response);
      }
      m_world.pause(*pause);
    }
  }

 private:
  // Submitting again is safe whatever happened: it is idempotent.
  std::optional<absl::Duration> PauseBeforeNext(
      const absl::StatusOr<CtlResponse>& response) const {
    if (!m_arguments.wait) {
      return std::nullopt;
    }
    absl::Duration pause = kReconnectPause;
    if (response.ok()) {
      const auto outcome = ParseOutcome(response->body);
      const auto* refusal =
          outcome.ok() ? std::get_if<JobRefusal>(&*outcome) : nullptr;
      if (refusal == nullptr || refusal->retry_after_ms == 0) {
        return std::nullopt;
      }
      pause = absl::Milliseconds(refusal->retry_after_ms);
    } else if (!absl::IsUnavailable(response.status()) &&
               !absl::IsAborted(response.status())) {
      return std::nullopt;
    }
    const absl::Duration left =
        absl::Milliseconds(m_submission.deadline_ms - m_world.now_ms());
    return pause < left ? std::optional(pause) : std::nullopt;
  }

  int Print(const absl::StatusOr<CtlResponse>& response) {
    if (absl::IsAborted(response.status())) {
      m_world.err << "the answer was lost and the job may have run: submit it "
                     "again, unchanged, to learn its outcome\n";
    }
    if (!response.ok()) {
      return ReportFailure(response.status(), m_world);
    }
    const auto outcome = ParseOutcome(response->body);
    if (!outcome.ok()) {
      return ReportFailure(absl::UnknownError("an answer that is no outcome: " +
                                              ErrorTextOf(*response)),
                           m_world);
    }
    return Print(*response, *outcome);
  }

  int Print(const CtlResponse& response, const JobOutcome& outcome) {
    const auto* refusal = std::get_if<JobRefusal>(&outcome);
    if (m_arguments.json) {
      m_world.out << response.body << "\n";
      return refusal == nullptr ? kCtlOk : kCtlRefused;
    }
    if (refusal != nullptr) {
      return PrintRefusal(*refusal, m_world);
    }
    for (const TaskOutput& output : std::get<JobAnswer>(outcome).outputs) {
      m_world.out << output.payload << "\n";
    }
    return kCtlOk;
  }

  const Submission& m_submission;
  const std::string m_body;
  const CtlArguments& m_arguments;
  const CtlClient& m_client;
  CtlWorld& m_world;
};

// A job that ended before the call is no success: it is not cancelled.
int PrintCancelled(const CtlResponse& response, bool as_json, CtlWorld& world) {
  const auto outcome = ParseOutcome(response.body);
  if (!outcome.ok()) {
    return ReportFailure(absl::UnknownError(ErrorTextOf(response)), world);
  }
  const auto* refusal = std::get_if<JobRefusal>(&*outcome);
  const bool is_cancelled =
      refusal != nullptr && refusal->reason == RefusalReason::kCancelled;
  if (as_json) {
    world.out << response.body << "\n";
    return is_cancelled ? kCtlOk : kCtlRefused;
  }
  if (is_cancelled) {
    world.out << "cancelled (" << RunVerdictName(refusal->verdict) << ")\n";
    return kCtlOk;
  }
  if (refusal != nullptr) {
    return PrintRefusal(*refusal, world);
  }
  world.err << "refused: the job was already answered\n";
  return kCtlRefused;
}

}  // namespace

int RunSubmit(std::span<const std::string> operands,
              const CtlArguments& arguments,
              CtlWorld& world) {
  auto client = CtlClient::Create(CtlApi::kCallers, arguments, world);
  if (!client.ok()) {
    return ReportFailure(client.status(), world);
  }
  const auto submission = ReadSubmission(operands[0], world);
  if (!submission.ok()) {
    return ReportFailure(submission.status(), world);
  }
  if (!arguments.timeout) {
    const int64_t left_ms = submission->deadline_ms - world.now_ms();
    client->set_timeout(absl::Milliseconds(std::max<int64_t>(left_ms, 0)) +
                        kAnswerMargin);
  }
  return Submitter(*submission, arguments, *client, world).Run();
}

int RunCancel(std::span<const std::string> operands,
              const CtlArguments& arguments,
              CtlWorld& world) {
  const auto client = CtlClient::Create(CtlApi::kCallers, arguments, world);
  if (!client.ok()) {
    return ReportFailure(client.status(), world);
  }
  const nlohmann::json key = {{"team", operands[0]}, {"id", operands[1]}};
  const auto response = client->Call(
      "POST", "/v1/jobs/cancel",
      key.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (!response.ok()) {
    return ReportFailure(response.status(), world);
  }
  return PrintCancelled(*response, arguments.json, world);
}

}  // namespace egretswitch::internal
