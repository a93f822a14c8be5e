#include "ctl_help.h"

namespace egretswitch::internal {
namespace {

constexpr std::string_view kHelp =
    R"(egretswitchctl: submits jobs and operates egretswitch.

Usage: egretswitchctl COMMAND [OPERANDS] [OPTIONS]

For callers; --entry is an entry's address for callers:

  submit FILE [--wait]     Submits the job in a JSON file and prints the output
                           of each task, in order. A submitted_ms or deadline_ms
                           that the file lacks is filled in and shown. --wait:
                           after a refusal that says when to come back, or a
                           lost connection, submits the same job again until
                           its deadline. Submitting a job again is harmless
                           and shows its outcome.
      egretswitchctl submit examples/job.json --entry 127.0.0.1:8001 --wait
  cancel TEAM ID           Cancels a job.
      egretswitchctl cancel desk a17 --entry 127.0.0.1:8001

For operators; --entry is an entry's (or agent's) address for operators, and
--token-file is needed:

  table get [-o FILE]      The operator table in force, as CSV.
      egretswitchctl table get -o t.csv --entry 127.0.0.1:7201 --token-file token
  table diff FILE          What `table put` would change. Lines begin with + for
                           a new row, ~ for a changed one, ! for one that was
                           changed underneath, - for one that the file lacks.
                           Exit code 1 when there is any.
      egretswitchctl table diff t.csv --entry 127.0.0.1:7201 --token-file token
  table put FILE           Edits the rows that differ, each against the version
                           in the file, and prints an outcome for each row. A
                           row that was changed underneath is refused: of two
                           edits the first in log order wins. Rows that the file
                           lacks stay as they are.
      egretswitchctl table put t.csv --entry 127.0.0.1:7201 --token-file token
  table delete KIND VERSION
                           Deletes a row, against its version.
      egretswitchctl table delete check 3 --entry 127.0.0.1:7201 --token-file token
  status                   What each entry knows and owns.
      egretswitchctl status --entry 127.0.0.1:7201 --entry 127.0.0.1:7202 \
          --token-file token
  counters                 The counters of each entry.
      egretswitchctl counters --entry 127.0.0.1:7201 --token-file token --json
  drain                    Begins a graceful shutdown of the one entry or agent.
      egretswitchctl drain --entry 127.0.0.1:7201 --token-file token
  entry ended NAME         Puts on record that an entry has ended for good, when
                           nothing else can prove it. Only for one that
                           certainly no longer runs: its jobs go to others.
      egretswitchctl entry ended entry-b --entry 127.0.0.1:7201 --token-file token

On the platform; --entry is an entry's metrics address, no token is needed:

  evacuations              The data centres that each entry knows to be
                           evacuated, for how many seconds it has known, and
                           from whom: the store, or another entry.
      egretswitchctl evacuations --entry 10.1.0.13:7735

Without an entry:

  table history --log IP:PORT [--stream NAME] [--shards N]
                           Each edit of the table that the log service still
                           keeps, with its verdict.
      egretswitchctl table history --log 127.0.0.1:9000
  settings check FILE      Checks a settings file and shows all its faults.
      egretswitchctl settings check examples/entry.yaml

Options:

  --entry IP:PORT     An entry; may be given several times. status and counters
                      ask each; other commands use the first one that can be
                      reached.
  --token-file FILE   The operators' token, in the file's first line.
  --json              Output for scripts.
  --timeout TIME      For each call, such as 500ms or 5s. Default 10s; for
                      submit, until 2s after the job's deadline.
  --version           The version.
  -h, --help          This text.

Exit codes:

  0  done
  1  refused or failed, with a verdict; or table diff found a difference
  2  user error: wrong arguments, file or settings
  3  no whole answer: no entry was reached, or an answer was lost
)";

}  // namespace

std::string_view CtlHelp() {
  return kHelp;
}

}  // namespace egretswitch::internal
