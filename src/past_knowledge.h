// Whether an entry can vouch that a submission never ran.
//
//   KnowsPast(entry)   // true: no other owner can have taken its shards over
//                      // since its last evidence
//
// An owner that was paused or cut off may have been replaced without knowing;
// its table then says nothing of what its successor did.
#ifndef EGRETSWITCH_SRC_PAST_KNOWLEDGE_H_
#define EGRETSWITCH_SRC_PAST_KNOWLEDGE_H_

#include "entry_refs.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

// Whether the evidence for this entry's authority is younger than the time
// after which others may suspect it and take over.
bool KnowsPast(const EntryRefs& entry);

// Whether the submission is old enough, by the wall clocks, to be a repeated
// one whose first sending went elsewhere.
bool MayBeRepeat(const EntryRefs& entry, const Submission& submission);

// kMayHaveRun if `may_have_run`.
RunVerdict VerdictIf(bool may_have_run);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PAST_KNOWLEDGE_H_
