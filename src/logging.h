// The process's structured log, written through log4cplus: one line for each
// change of state. Events of single jobs or tasks are counted in metrics
// instead.
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

// Opens the log. Must be called before the first line is logged and before
// other threads start; lines logged earlier are dropped. An error describes a
// fault in the settings and names the key, as in "logging.file: found ...".
absl::Status StartLogging(const LoggingSettings& settings,
                          std::string_view process_name);

// Flushes buffered lines and closes the log.
void StopLogging();

// Writes the lines buffered for standard output. It is called at the end of
// each event, so that the lines of one event share a write. It never blocks on
// the reader of the output.
void FlushLog();

// Logs a line. Thread-safe.
void LogStateChange(const NoteStateChange& change);
void LogStateChange(LogLevel level, const NoteStateChange& change);

// Returns whether lines of this level are written.
bool IsLogged(LogLevel level);

// Formats all fields of a line but the time: "level=info process=... ..." or,
// for JSON, the object's members without the braces.
std::string FormatLogFields(LogFormat format,
                            LogLevel level,
                            std::string_view process_name,
                            const NoteStateChange& change);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOGGING_H_
