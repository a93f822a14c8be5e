// One line of text for each event and action, for reading a replayed run.
//
//   EventText(LinkUp{...})  -> "LinkUp entry-b"
#ifndef EGRETSWITCH_TEST_NODE_EVENT_TEXT_H_
#define EGRETSWITCH_TEST_NODE_EVENT_TEXT_H_

#include <string>

#include "node_events.h"

namespace egretswitch::internal {

std::string EventText(const LinkUp& event);
std::string EventText(const LinkDown& event);
std::string EventText(const PeerRefusedConnection& event);
std::string EventText(const MessageArrived& event);
std::string EventText(const Tick& event);
std::string EventText(const BeginDrain& event);
std::string EventText(const LogReadDone& event);
std::string EventText(const LogReadFailed& event);
std::string EventText(const LogAppendDone& event);
std::string EventText(const LogAppendFailed& event);
std::string EventText(const CallerSubmitted& event);
std::string EventText(const CallerCancelled& event);
std::string EventText(const CallerGone& event);
std::string EventText(const OperatorEdited& event);
std::string EventText(const OperatorDeclaredEnded& event);
std::string EventText(const WorkerTasksListed& event);
std::string EventText(const WorkerTaskEnded& event);
std::string EventText(const WorkerLost& event);

std::string ActionText(const Action& action);

std::string OutcomeText(const JobOutcome& outcome);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_NODE_EVENT_TEXT_H_
