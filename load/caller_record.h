// What a caller itself saw of each of its jobs, one JSON line a job: the
// evidence for the report, independent of the dispatcher's counters.
//
//   {"team":"desk","id":"7-12","kind":"pricing","tasks":12,"outcome":"complete",
//    "tries":1,"response_ms":412.0,"ideal_ms":300.0,"partial":false,...}
#ifndef EGRETSWITCH_LOAD_CALLER_RECORD_H_
#define EGRETSWITCH_LOAD_CALLER_RECORD_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace egretswitch::load {

// How a job ended for its caller.
inline constexpr char kComplete[] = "complete";
inline constexpr char kFailed[] = "failed";    // may have run
inline constexpr char kRefused[] = "refused";  // not run
inline constexpr char kLost[] = "lost";        // no final word in time

struct CallerRecord {
  std::string team;
  std::string id;
  std::string kind;
  std::string outcome;
  std::string reason;  // of the last refusal
  uint32_t tasks = 0;
  uint32_t tries = 0;
  uint32_t broken_tries = 0;  // connections that ended without an answer
  double response_ms = 0;     // first sending to final answer
  double ideal_ms = 0;
  bool partial = false;  // an answer with another number of outputs
  bool crossed = false;  // an output that belongs to another task
  bool late = false;     // answered after the deadline
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerRecord,
                                   team,
                                   id,
                                   kind,
                                   outcome,
                                   reason,
                                   tasks,
                                   tries,
                                   broken_tries,
                                   response_ms,
                                   ideal_ms,
                                   partial,
                                   crossed,
                                   late)

}  // namespace egretswitch::load

#endif  // EGRETSWITCH_LOAD_CALLER_RECORD_H_
