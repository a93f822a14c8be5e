// The record of a case: one line for each thing sent, answered and run, with
// the milliseconds since the start.
//
//   Record record("review/4/record.txt");
//   record.Note("DELETE 5c0e... at front-1: 200");
#ifndef EGRETSWITCH_REVIEW_SCENE_2_RECORD_H_
#define EGRETSWITCH_REVIEW_SCENE_2_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "clock.h"

namespace egretswitch::review {

// A run that a worker began.
struct StartedRun {
  std::string task;  // "5c0e... step/index"
  std::string job;
  std::string worker;
  MonoTime at = absl::ZeroDuration();
};

// May be used from any thread.
class Record {
 public:
  explicit Record(const std::string& path);

  void Note(const std::string& what);
  // Notes what breaks a rule.
  void Break(const std::string& what);
  void RunStarted(const StartedRun& run);

  bool broken() const;
  // The runs of the job that began after `after`.
  std::vector<StartedRun> StartsOf(const std::string& job,
                                   MonoTime after) const;

 private:
  void Write(const std::string& what);

  const MonoTime m_begin;
  mutable std::mutex m_mutex;
  std::ofstream m_file;
  bool m_broken = false;
  std::vector<StartedRun> m_starts;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_2_RECORD_H_
