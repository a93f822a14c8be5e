// The cases of this review. Each returns the exit status of its script.
#ifndef EGRETSWITCH_REVIEW_SCENE_3_CASES_H_
#define EGRETSWITCH_REVIEW_SCENE_3_CASES_H_

#include "scene.h"

namespace egretswitch::review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Whether a disruption of a case is wanted: VARIABLE=0 leaves it out.
bool Wanted(const char* variable);

// A job is cancelled, then all processes are killed and started again. Seconds
// later the job's request arrives once more.
int CancelledJobAfterRestart(const SceneOptions& options, bool trouble);

// A job is cancelled whose route the newest manifest has dropped.
int CancelOnDroppedRoute(const SceneOptions& options, bool trouble);

// A front machine is replaced again and again, each time under a new name at a
// new address. Then a job of the newest one is cancelled at another one.
int CancelAfterReplacements(SceneOptions options, bool trouble);

// A front machine is replaced again and again. Then a caller of the newest one
// moves to another zone and sends its job again there.
int CallerMovesAfterReplacements(SceneOptions options, bool trouble);

// A variant: an entry is cut off from the others while its caller moves.
int CallerMovesBesideCut(SceneOptions options, bool trouble);

// A machine with an agent and its worker is suspended for some seconds. Later
// the agent is killed while its worker runs tasks.
int AgentKilledAfterSuspension(SceneOptions options, bool trouble);

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_3_CASES_H_
