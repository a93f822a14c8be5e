// What a process of jobs made of steps says of itself on its links.
#ifndef EGRETSWITCH_SRC_LINK_IDENTITY_H_
#define EGRETSWITCH_SRC_LINK_IDENTITY_H_

#include "link_hub.h"
#include "step_settings.h"

namespace egretswitch::internal {

Hello MakeStepHello(const StepCommonSettings& settings, ProcessRole role);

LinkHubOptions MakeStepHubOptions(const StepCommonSettings& settings,
                                  const Hello& self);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_IDENTITY_H_
