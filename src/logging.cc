#include "logging.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>

#include <unistd.h>

#include <log4cplus/appender.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "bounded_stdout.h"
#include "event_loop.h"
#include "log_rate_limiter.h"

namespace egretswitch::internal {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<log4cplus::LogLevel, 4> kLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

// %d is UTC (%D would be local time), %q milliseconds.
constexpr char kKeyValuePattern[] = "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} %m%n";
constexpr char kJsonPattern[] = "{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%qZ}\",%m}%n";

bool IsBareCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("_.:/@+-").find(c) != std::string_view::npos;
}

std::string JsonText(std::string_view text) {
  // Replaces bytes that are not UTF-8, so that formatting a line never fails.
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

// Quotes and escapes the text as in JSON unless it needs no quotes. A line
// break in the text therefore never splits a log line.
std::string KeyValueText(std::string_view text) {
  const bool is_bare =
      !text.empty() && std::all_of(text.begin(), text.end(), IsBareCharacter);
  return is_bare ? std::string(text) : JsonText(text);
}

void AppendField(LogFormat format,
                 std::string_view key,
                 std::string_view value,
                 std::string* out) {
  if (format == LogFormat::kJson) {
    absl::StrAppend(out, out->empty() ? "" : ",", JsonText(key), ":",
                    JsonText(value));
    return;
  }
  absl::StrAppend(out, out->empty() ? "" : " ", std::string(key), "=",
                  KeyValueText(value));
}

// Rate limit of routine lines, which report requests answered in time and cheap
// retries. All other lines are always written. An entry of a typical deployment
// writes about this many routine lines; those beyond it in a burst are only
// counted, and their number is logged.
constexpr double kRoutineLinesPerSecond = 60;

// Appends to standard output without blocking on its reader.
class StdoutAppender : public log4cplus::Appender {
 public:
  ~StdoutAppender() override { destructorImpl(); }
  void close() override { Flush(); }
  void Flush() {
    const std::lock_guard lock(m_mutex);
    m_out.Flush();
  }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::lock_guard lock(m_mutex);
    m_line.str({});
    layout->formatAndAppend(m_line, event);
    m_out.Append(m_line.str());
  }

 private:
  std::mutex m_mutex;
  std::ostringstream m_line;
  BoundedStdout m_out{STDOUT_FILENO};
};

// The open log, from StartLogging() to StopLogging().
struct OpenLog {
  log4cplus::Logger logger;
  LogFormat format;
  std::string process_name;
  StdoutAppender* to_stdout = nullptr;  // null if the log goes elsewhere
  std::mutex limiter_mutex;             // guards routine_limiter
  LogRateLimiter routine_limiter{kRoutineLinesPerSecond};
};

std::unique_ptr<OpenLog>& CurrentLog() {
  static std::unique_ptr<OpenLog> log;
  return log;
}

void Write(OpenLog& log, LogLevel level, const NoteStateChange& change) {
  log.logger.log(kLevels[static_cast<size_t>(level)],
                 FormatLogFields(log.format, level, log.process_name, change));
}

void ReportOmittedLines(OpenLog& log, MonoTime now) {
  uint64_t lines = 0;
  {
    const std::lock_guard lock(log.limiter_mutex);
    lines = log.routine_limiter.TakeUnreported(now);
  }
  if (lines > 0) {
    Write(log, LogLevel::kInfo,
          {"routine lines omitted", {{"lines", absl::StrCat(lines)}}});
  }
}

log4cplus::SharedAppenderPtr MakeAppender(const LoggingSettings& settings) {
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender;
  if (settings.to_stdout) {
    appender = new StdoutAppender();
  } else if (settings.file.empty()) {
    appender = new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine);
  } else {
    appender = new log4cplus::FileAppender(settings.file, std::ios::app,
                                           kFlushEachLine);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      settings.format == LogFormat::kJson ? kJsonPattern : kKeyValuePattern));
  return appender;
}

}  // namespace

absl::Status StartLogging(const LoggingSettings& settings,
                          std::string_view process_name) {
  // Checked here because the appender reports it only on standard error.
  if (!settings.file.empty() && !std::ofstream(settings.file, std::ios::app)) {
    return absl::InvalidArgumentError(
        absl::StrCat("logging.file: found \"", settings.file,
                     "\", which can't be written, allowed a file in a "
                     "directory that exists"));
  }
  // log4cplus can be initialized only once in a process.
  static log4cplus::Initializer initializer;
  auto log = std::make_unique<OpenLog>();
  log->logger = log4cplus::Logger::getInstance("egretswitch");
  log->logger.removeAllAppenders();
  log->logger.setAdditivity(false);
  log->logger.setLogLevel(kLevels[static_cast<size_t>(settings.level)]);
  const log4cplus::SharedAppenderPtr appender = MakeAppender(settings);
  log->logger.addAppender(appender);
  log->to_stdout = dynamic_cast<StdoutAppender*>(appender.get());
  log->format = settings.format;
  log->process_name = std::string(process_name);
  CurrentLog() = std::move(log);
  return absl::OkStatus();
}

void FlushLog() {
  OpenLog* log = CurrentLog().get();
  if (log == nullptr) {
    return;
  }
  ReportOmittedLines(*log, EventLoop::MonoNow());
  if (log->to_stdout != nullptr) {
    log->to_stdout->Flush();
  }
}

void StopLogging() {
  if (CurrentLog() != nullptr) {
    ReportOmittedLines(*CurrentLog(), absl::InfiniteDuration());
  }
  FlushLog();
  if (CurrentLog() != nullptr) {
    CurrentLog()->logger.removeAllAppenders();
    CurrentLog().reset();
  }
}

bool IsLogged(LogLevel level) {
  const OpenLog* log = CurrentLog().get();
  return log != nullptr &&
         log->logger.isEnabledFor(kLevels[static_cast<size_t>(level)]);
}

void LogStateChange(const NoteStateChange& change) {
  LogStateChange(LogLevel::kInfo, change);
}

void LogStateChange(LogLevel level, const NoteStateChange& change) {
  if (!IsLogged(level)) {
    return;
  }
  OpenLog& log = *CurrentLog();
  if (change.routine) {
    const std::lock_guard lock(log.limiter_mutex);
    if (!log.routine_limiter.TryAcquire(EventLoop::MonoNow())) {
      return;
    }
  }
  Write(log, level, change);
}

std::string FormatLogFields(LogFormat format,
                            LogLevel level,
                            std::string_view process_name,
                            const NoteStateChange& change) {
  std::string out;
  AppendField(format, "level", kLevelNames[static_cast<size_t>(level)], &out);
  AppendField(format, "process", process_name, &out);
  AppendField(format, "event", change.what, &out);
  for (const NoteField& field : change.fields) {
    AppendField(format, field.key, field.value, &out);
  }
  return out;
}

}  // namespace egretswitch::internal
