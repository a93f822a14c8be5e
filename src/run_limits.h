// The times that the run protocol between entries, agents and workers rests on.
//
// A caller without an answer sends its job again kResendAfter later, to any
// entry, and that one may start every task anew. No run of the former attempt
// may be left by then, whatever has failed. Each link of the chain is bounded
// by the clock of the process that acts:
//
//   entry    ends with the attempt: sends no start and no renewal any more;
//            when it was paused, it treats its attempts as ended
//   agent    stops a run kEntrySilence after the last renewal was sent
//   worker   ends everything kWorkerLease after the agent's last call
//
// The agent may end just before it would have stopped a run, so both bounds add
// up in the worst case:
//
//   kEntrySilence + kWorkerLease / 0.98 + the worker's stop < kResendAfter
//   550 ms        + 561 ms              + 50 ms             < 1300 ms
#ifndef EGRETSWITCH_SRC_RUN_LIMITS_H_
#define EGRETSWITCH_SRC_RUN_LIMITS_H_

#include "absl/time/time.h"

namespace egretswitch::internal {

// The shortest time after which a caller sends a job again.
inline constexpr absl::Duration kResendAfter = absl::Milliseconds(1300);

// How long a run goes on without a word of the entry that answers for it.
inline constexpr absl::Duration kEntrySilence = absl::Milliseconds(550);

// Two renewals may be lost or late before kEntrySilence ends a run.
inline constexpr absl::Duration kRenewPeriod = absl::Milliseconds(150);

// An order to start that was under way for longer is not carried out: what it
// belongs to may have ended. Far above the delay of a busy network.
inline constexpr absl::Duration kStartFreshness = absl::Milliseconds(300);

// An entry that did not run for this long does not know what was decided
// meanwhile. Below kEntrySilence, above a busy machine's pauses.
inline constexpr absl::Duration kPauseLimit = absl::Milliseconds(500);

// The lease that the agent asks for everything on its worker. The platform
// grants up to 1 s; the sum above allows less. The worker's clock may be 2%
// slow.
inline constexpr absl::Duration kWorkerLease = absl::Milliseconds(550);

// A look at the worker waits this long for an end of a run, then renews the
// lease: one look may fail within kWorkerLease.
inline constexpr absl::Duration kPollWait = absl::Milliseconds(200);

// Without an answer for this long a second look goes beside the long one, so
// that a single lost answer does not end what runs.
inline constexpr absl::Duration kPollOverdue = absl::Milliseconds(250);

// Beyond the wait asked for, after which a call to the worker beside the agent
// counts as unanswered. Such a call takes about 1 ms.
inline constexpr absl::Duration kWorkerCallTimeout = absl::Milliseconds(150);

// Without an answer for this long a worker gets no new work.
inline constexpr absl::Duration kWorkerSilence = absl::Milliseconds(600);

// Between two calls for the same start while none is answered: far above the
// 1 ms that a call takes, so that a calm day repeats none, and a small part of
// the shortest latency objective (150 ms).
inline constexpr absl::Duration kStartRetry = absl::Milliseconds(40);
// Of one start. With a third of the calls lost, one start in a hundred is left
// to the look and the stop that follow.
inline constexpr uint32_t kMaxStartCalls = 4;

// Between two attempts of a stop that has not been answered.
inline constexpr absl::Duration kStopRetry = absl::Milliseconds(50);

// An agent that leaves a renewal unanswered for this long gets no new work and
// no further renewal; two answers may be lost or late before.
inline constexpr absl::Duration kAgentSuspect = absl::Milliseconds(400);

// A link on which a renewal stays unanswered for this long is dialled anew,
// beside the old one. The new link must be up before kEntrySilence ends the
// runs, counted from the last renewal that arrived, up to kRenewPeriod earlier.
inline constexpr absl::Duration kLinkDoubt = absl::Milliseconds(250);

// Between two such dials to one agent: a process that is frozen accepts
// connections and answers none of them.
inline constexpr absl::Duration kDialAgainPause = absl::Seconds(1);

// How long an agent remembers the end of a run, in case its report was lost.
// Far above the time until a silent link is replaced.
inline constexpr absl::Duration kRememberEnds = absl::Seconds(5);

// A run has certainly ended this long after the entry last sent its agent
// anything: the sum above, and 50 ms for a busy machine.
inline constexpr absl::Duration kRunCertainlyOver = absl::Milliseconds(1210);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_LIMITS_H_
