// The scenes of the cases. Each plays its case around a deployment, and returns
// false if it could not be played to the end. What breaks a rule is in the
// record.
#ifndef EGRETSWITCH_REVIEW_SCENE_2_SCENES_H_
#define EGRETSWITCH_REVIEW_SCENE_2_SCENES_H_

#include "deployment.h"
#include "record.h"

namespace egretswitch::review {

// A cancelled job's submission arrives once more at an entry that was restarted
// as planned.
bool PlayLateCopy(Deployment& deployment, Record& record, bool trouble);

// Machines of agents are lost for good in quiet times, while a patient caller's
// job runs there beside one that can never be done.
bool PlayLostAgent(Deployment& deployment, Record& record, bool trouble);

// A worker starts again under its id while its agent is frozen, and carries out
// an order from before.
bool PlayReborn(Deployment& deployment, Record& record, bool trouble);

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_2_SCENES_H_
