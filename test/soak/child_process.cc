#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "event_loop.h"

namespace egretswitch::soak {
namespace {

constexpr int kNotStarted = 127;  // as a shell says it

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command,
                           std::string log_file)
    : m_command(std::move(command)), m_log_file(std::move(log_file)) {}

ChildProcess::~ChildProcess() {
  if (running()) {
    Signal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
}

void ChildProcess::Start() {
  std::vector<char*> arguments;
  for (const std::string& word : m_command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  m_fault.clear();
  m_started_at = internal::EventLoop::MonoNow();
  m_pid = ::fork();
  if (m_pid < 0) {
    std::cerr << "soak: cannot fork for " << m_command[0] << "\n";
    std::abort();
  }
  if (m_pid == 0) {
    // Only calls that are safe between fork and exec in a threaded process. The
    // child ends with the soak, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open(m_log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(kNotStarted);
  }
}

void ChildProcess::Signal(int signal) const {
  if (running()) {
    ::kill(m_pid, signal);
  }
}

bool ChildProcess::Reap() {
  int status = 0;
  if (!running() || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return !running();
  }
  m_pid = 0;
  if (WIFEXITED(status) && WEXITSTATUS(status) != 0) {
    m_fault = absl::StrCat("exit ", WEXITSTATUS(status));
  } else if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL &&
             WTERMSIG(status) != SIGTERM) {
    m_fault = absl::StrCat("signal ", WTERMSIG(status));
  }
  return true;
}

}  // namespace egretswitch::soak
