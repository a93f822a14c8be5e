#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cases.h"

namespace egretswitch::review {
namespace {

// Bounds of the site.
constexpr absl::Duration kContact = absl::Milliseconds(3000);
constexpr absl::Duration kAck = absl::Milliseconds(4000);
constexpr absl::Duration kCancel = absl::Milliseconds(3000);
constexpr absl::Duration kStopTimeout = absl::Milliseconds(50);
constexpr absl::Duration kConfigApply = absl::Milliseconds(2000);

// How long all processes are down.
constexpr absl::Duration kDown = absl::Milliseconds(800);
constexpr absl::Duration kCancelRetry = absl::Milliseconds(500);
// For the real clock, beyond each bound.
constexpr absl::Duration kMargin = absl::Milliseconds(500);

constexpr char kJob[] = "5c0e7a21d94b36f8";

bool IsAcknowledgement(const HttpReply& reply) {
  return reply.status / 100 == 2 || reply.status == 410;
}

// Repeats the cancel for as long as it may wait for its acknowledgement.
// Returns from when on the job counts as cancelled.
MonoTime Cancel(Scene& scene,
                const std::string& entry,
                const std::string& path) {
  const MonoTime sent = Scene::Now();
  while (Scene::Now() < sent + kAck) {
    if (IsAcknowledgement(
            scene.Call(entry, {.method = "DELETE", .path = path}))) {
      return Scene::Now();
    }
    scene.Sleep(kCancelRetry);
  }
  scene.Note("the cancel has waited ack_ms for its acknowledgement");
  return sent + kAck;
}

// Returns whether the tasks of the job have ended in time, and notes it.
bool EndsInTime(Scene& scene, MonoTime cancelled) {
  const MonoTime bound = cancelled + kCancel + kStopTimeout + kMargin;
  scene.Sleep(std::max(bound - Scene::Now(), absl::ZeroDuration()));
  const size_t running = scene.RunningOf(kJob);
  scene.Note(running == 0 ? "held: no task of the job runs"
                          : absl::StrCat("BROKEN: ", running,
                                         " tasks run on after cancel_ms + "
                                         "stop_timeout_ms and a margin"));
  return running == 0;
}

}  // namespace

int CancelledJobAfterRestart(const SceneOptions& options, bool trouble) {
  Scene scene(options);
  const std::string path = absl::StrCat("/checks/", kJob);
  if (!scene.Start()) {
    return kNotRun;
  }
  scene.Sleep(kContact);
  const HttpRequest job =
      scene.JobRequest(path, 2, absl::Seconds(3), absl::Seconds(10));
  std::future<HttpReply> first = scene.CallLater("entry-0", job);
  if (!scene.AwaitRunning(kJob, 2, absl::Seconds(3))) {
    return kNotRun;
  }
  const HttpReply cancel =
      scene.Call("entry-1", {.method = "DELETE", .path = path});
  const MonoTime cancelled = Scene::Now();
  if (!IsAcknowledgement(cancel) ||
      !scene.AwaitRunning(kJob, 0, absl::Seconds(1)) ||
      first.get().status != 200) {
    return kNotRun;
  }
  const size_t runs_before = scene.RunsOf(kJob).size();
  scene.Sleep(absl::Seconds(1));
  if (trouble) {
    scene.KillFor(scene.ProcessNames(), kDown);
  } else {
    scene.Sleep(kDown);
  }
  if (!scene.AwaitReady()) {
    return kNotRun;
  }
  // From here on every machine is in touch.
  scene.Sleep(kContact + kMargin);
  scene.Note("the job's request arrives once more");
  scene.Call("entry-1", job);
  for (const SceneRun& run : scene.RunsOf(kJob)) {
    if (run.began > cancelled + kCancel) {
      scene.Note(absl::StrCat(
          "BROKEN: a task began ",
          absl::ToInt64Milliseconds(run.began - cancelled),
          " ms after the job's cancelling was acknowledged; allowed: 3000 ms"));
      return kBroken;
    }
  }
  scene.Note(absl::StrCat("held: no run after the ", runs_before, " first"));
  return kHeld;
}

int CancelOnDroppedRoute(const SceneOptions& options, bool trouble) {
  constexpr absl::Duration kWork = absl::Seconds(16);
  Scene scene(options);
  const std::string path = absl::StrCat("/checks/", kJob);
  if (!scene.Start()) {
    return kNotRun;
  }
  scene.Sleep(kContact);
  std::future<HttpReply> first =
      scene.CallLater("entry-0", scene.JobRequest(path, 2, kWork, 2 * kWork));
  if (!scene.AwaitRunning(kJob, 2, absl::Seconds(3))) {
    return kNotRun;
  }
  if (trouble) {
    scene.PublishRoutes({"/others/"});
  }
  scene.Sleep(kConfigApply + kMargin);
  if (scene.RunningOf(kJob) != 2) {
    return kNotRun;
  }
  const MonoTime cancelled = Cancel(scene, "entry-1", path);
  return EndsInTime(scene, cancelled) ? kHeld : kBroken;
}

int CancelAfterReplacements(SceneOptions options, bool trouble) {
  constexpr absl::Duration kWork = absl::Seconds(16);
  constexpr int kReplacements = 25;
  const std::string asked = "front-plx-hall-1";
  const std::string replaced = "front-tdb-hall-";
  options.entries = {asked, "front-pam-hall-1", replaced + "1"};
  Scene scene(options);
  const std::string path = absl::StrCat("/checks/", kJob);
  if (!scene.Start()) {
    return kNotRun;
  }
  const std::optional<std::string> newest =
      scene.ReplaceEntry(replaced, trouble ? kReplacements : 0);
  if (!newest.has_value()) {
    return kNotRun;
  }
  // From here on every machine is in touch.
  scene.Sleep(2 * kContact);
  std::future<HttpReply> first =
      scene.CallLater(*newest, scene.JobRequest(path, 2, kWork, 2 * kWork));
  if (!scene.AwaitRunning(kJob, 2, absl::Seconds(3))) {
    return kNotRun;
  }
  scene.Sleep(absl::Seconds(1));
  const MonoTime cancelled = Cancel(scene, asked, path);
  return EndsInTime(scene, cancelled) ? kHeld : kBroken;
}

}  // namespace egretswitch::review
