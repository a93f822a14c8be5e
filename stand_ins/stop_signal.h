// Waits for SIGTERM or SIGINT in a program whose work is done by other threads.
//
//   BlockStopSignals();              // before any thread is started
//   ... start the server ...
//   WaitForStopSignal();
#ifndef EGRETSWITCH_STAND_INS_STOP_SIGNAL_H_
#define EGRETSWITCH_STAND_INS_STOP_SIGNAL_H_

namespace egretswitch::stand_ins {

void BlockStopSignals();
void WaitForStopSignal();

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_STOP_SIGNAL_H_
