#include "start_record.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace egretswitch::stand_ins {
namespace {

using Json = nlohmann::json;

constexpr size_t kFlushBytes = 64u << 10;

int64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

StartRecord::~StartRecord() {
  Flush();
  if (m_fd >= 0) {
    close(m_fd);
  }
}

absl::Status StartRecord::Open(const std::string& path) {
  m_fd = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (m_fd < 0) {
    return absl::InvalidArgumentError(
        absl::StrCat("record file ", path, ": ", std::strerror(errno)));
  }
  return absl::OkStatus();
}

void StartRecord::Started(std::string_view lease,
                          std::string_view team,
                          std::string_view id,
                          uint32_t index) {
  if (m_fd < 0) {
    return;
  }
  const Json line = {{"event", "start"}, {"team", team},   {"id", id},
                     {"index", index},   {"lease", lease}, {"t_ms", WallMs()}};
  Append(line.dump());
}

void StartRecord::Ended(std::string_view lease, std::string_view status) {
  if (m_fd < 0) {
    return;
  }
  const Json line = {{"event", "end"},
                     {"lease", lease},
                     {"status", status},
                     {"t_ms", WallMs()}};
  Append(line.dump());
}

void StartRecord::Append(const std::string& line) {
  m_buffer += line;
  m_buffer += '\n';
  if (m_buffer.size() >= kFlushBytes) {
    Flush();
  }
}

// A full disk loses lines: what could not be written is dropped rather than
// kept in memory without bound.
void StartRecord::Flush() {
  std::string_view rest = m_buffer;
  while (m_fd >= 0 && !rest.empty()) {
    const ssize_t written = write(m_fd, rest.data(), rest.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      break;
    }
    rest.remove_prefix(static_cast<size_t>(written));
  }
  m_buffer.clear();
}

}  // namespace egretswitch::stand_ins
