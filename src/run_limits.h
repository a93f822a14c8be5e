// Time limits of the run protocol between entries, agents and workers.
//
// A caller without an answer sends its job again kResendAfter later, to any
// entry, which may then start every task anew. No run of the previous attempt
// may be left by then, whatever has failed. Each process enforces its part by
// its own clock:
//
//   entry    sends no start and no renewal after the attempt has ended; after a
//            short pause it first looks whether the callers are still there,
//            after a long one it treats all its attempts as ended
//   agent    stops a run kRunLease after the last renewal was sent
//   worker   ends all runs kWorkerLease after the agent's last call
//
// The agent may terminate just before it would have stopped a run, so in the
// worst case both limits add up:
//
//   kRunLease + kWorkerLease / 0.98 + the worker's stop < kResendAfter
//   550 ms    + 561 ms              + 50 ms             < 1300 ms
//
// The same holds if the worker carries out no stop: the agent does not extend
// the worker's lease while a stop is overdue.
#ifndef EGRETSWITCH_SRC_RUN_LIMITS_H_
#define EGRETSWITCH_SRC_RUN_LIMITS_H_

#include "absl/time/time.h"

namespace egretswitch::internal {

// The shortest time after which a caller sends a job again.
inline constexpr absl::Duration kResendAfter = absl::Milliseconds(1300);

// How long a run goes on without a renewal from its entry.
inline constexpr absl::Duration kRunLease = absl::Milliseconds(550);

// Between renewals: two may be lost or late before kRunLease ends a run.
inline constexpr absl::Duration kRenewPeriod = absl::Milliseconds(150);

// An agent does not carry out a start that was in flight for longer, since its
// attempt may have ended. Far above the delay of a busy network.
inline constexpr absl::Duration kMaxStartAge = absl::Milliseconds(300);

// An entry that was paused for longer treats its attempts as ended, since it
// has missed what was decided meanwhile. Below kRunLease, above the pauses of a
// busy machine.
inline constexpr absl::Duration kMaxEntryPause = absl::Milliseconds(500);

// An entry that was paused for longer looks at its callers' connections before
// it sends another start or renewal: after a pause, timers may be handled
// before the end of a connection. Part of what kResendAfter leaves of the sum
// above.
inline constexpr absl::Duration kMaxUncheckedPause = absl::Milliseconds(50);

// The lease that the agent requests for all runs on its worker. The platform
// grants up to 1 s; the sum above allows less. The worker's clock may be 2%
// slow.
inline constexpr absl::Duration kWorkerLease = absl::Milliseconds(550);

// A poll of the worker waits this long for a run to end, and the next one
// renews the lease: one poll may fail within kWorkerLease.
inline constexpr absl::Duration kPollWait = absl::Milliseconds(200);

// If a poll has no answer for this long, a second one is sent beside it, so
// that a single lost answer does not end the runs.
inline constexpr absl::Duration kPollOverdue = absl::Milliseconds(250);

// A call to the worker counts as unanswered this long after the wait that it
// requested. Such a call takes about 1 ms.
inline constexpr absl::Duration kWorkerCallTimeout = absl::Milliseconds(150);

// A worker that has not answered for this long gets no new tasks.
inline constexpr absl::Duration kWorkerTimeout = absl::Milliseconds(600);

// Between two calls for the same start while none is answered: far above the
// 1 ms that a call takes, so that no call is repeated in normal operation, and
// a small part of the shortest latency objective (150 ms).
inline constexpr absl::Duration kStartRetry = absl::Milliseconds(40);
// Calls for one start. With a third of the calls lost, one start in a hundred
// remains unconfirmed and is resolved by the poll and the stop that follow.
inline constexpr uint32_t kMaxStartCalls = 4;

// Between two attempts of a stop that has not been answered.
inline constexpr absl::Duration kStopRetry = absl::Milliseconds(50);

// A stop that is not confirmed within this time is overdue: above the 50 ms
// that a worker takes. A run whose own lease has expired is overdue at once.
inline constexpr absl::Duration kStopOverdue = absl::Milliseconds(60);

// An agent that leaves a renewal unanswered for this long gets no new tasks and
// no further renewals; two answers may be lost or late before.
inline constexpr absl::Duration kAgentSuspectAfter = absl::Milliseconds(400);

// If a renewal stays unanswered for this long, its agent is dialled again
// beside the existing link. The new link must be up before kRunLease ends the
// runs; that lease counts from the last renewal that arrived, up to
// kRenewPeriod earlier.
inline constexpr absl::Duration kLinkRedialAfter = absl::Milliseconds(250);

// Between two such dials to one agent: a frozen process accepts connections and
// answers none of them.
inline constexpr absl::Duration kLinkRedialInterval = absl::Seconds(1);

// How long an agent retains the end of a run, in case its report was lost. Far
// above the time until an unresponsive link is replaced.
inline constexpr absl::Duration kReportedEndRetention = absl::Seconds(5);

// A run has certainly ended this long after its entry last sent the agent any
// message: the sum above, plus 50 ms for a busy machine.
inline constexpr absl::Duration kRunCertainlyOver = absl::Milliseconds(1210);

// Where a worker may restart under its id, a run has certainly ended this long
// after its entry last sent the agent any message. The worker may carry out a
// start that its former incarnation did not answer, up to 12 s late, and grant
// it a lease of up to 15 s. kRunCertainlyOver holds once the agent or the next
// one has called the worker since.
inline constexpr absl::Duration kLateStartsOver = absl::Seconds(30);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_LIMITS_H_
