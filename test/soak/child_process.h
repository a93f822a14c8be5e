// One process that the soak has started; only these are ever signalled, by id.
//
//   ChildProcess child({"build/egretswitchd", "entry.yaml"}, "entry.log");
//   child.Start();
//   child.Signal(SIGSTOP);
//   child.Reap()      // true once it has ended
#ifndef EGRETSWITCH_TEST_SOAK_CHILD_PROCESS_H_
#define EGRETSWITCH_TEST_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "clock.h"

namespace egretswitch::soak {

class ChildProcess {
 public:
  // What it writes is appended to `log_file`.
  ChildProcess(std::vector<std::string> command, std::string log_file);
  // Kills it if it runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Not while it runs. Ends the soak with a message when it can't be started.
  void Start();
  // Ignored when it does not run.
  void Signal(int signal) const;
  // Collects its end, if it has ended. True when it does not run.
  bool Reap();
  bool running() const { return m_pid > 0; }
  MonoTime started_at() const { return m_started_at; }
  // How the last end came: empty for a signal of ours or a clean exit.
  const std::string& fault() const { return m_fault; }

 private:
  const std::vector<std::string> m_command;
  const std::string m_log_file;
  pid_t m_pid = 0;
  MonoTime m_started_at = absl::ZeroDuration();
  std::string m_fault;
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_CHILD_PROCESS_H_
