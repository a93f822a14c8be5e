// The process's log: one structured line for each change of state, through
// log4cplus. Anything that happens per job or task is a counter instead.
//
//   StartLogging(settings.logging, "entry-a");
//   LogStateChange({"shard taken over", {{"shard", "3"}, {"epoch", "5"}}});
//
//   time=2026-01-02T03:04:05.678Z level=info process=entry-a
//     event="shard taken over" shard=3 epoch=5          (one line)
//   {"time":"2026-01-02T03:04:05.678Z","level":"info","process":"entry-a",
//     "event":"shard taken over","shard":"3","epoch":"5"}    (one line)
#ifndef EGRETSWITCH_SRC_LOGGING_H_
#define EGRETSWITCH_SRC_LOGGING_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "node_events.h"
#include "settings.h"

namespace egretswitch::internal {

// Opens the log. Call once, before the first line and before other threads;
// lines logged without it are dropped. The error is the user's and names the
// key, as in "logging.file: found ...".
absl::Status StartLogging(const LoggingSettings& settings,
                          std::string_view process_name);

// Writes out what is pending and closes the log.
void StopLogging();

// Lines to standard output are written by this call, at the end of an event:
// one system call for all lines of it, and none that waits for the reader.
void FlushLog();

// Any thread may log.
void LogStateChange(const NoteStateChange& change);
void LogStateChange(LogLevel level, const NoteStateChange& change);

// Whether a line of this level would be written.
bool IsLogged(LogLevel level);

// The fields of one line after its time: "level=info process=... ..." or, for
// JSON, the same as members without the braces.
std::string FormatLogFields(LogFormat format,
                            LogLevel level,
                            std::string_view process_name,
                            const NoteStateChange& change);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOGGING_H_
