// The worker stand-in's own record of what it ran, one JSON line for each start
// and each end: evidence against which the dispatcher's answers are checked.
//
//   {"event":"start","id":"a17","index":0,"lease":"g-1","t_ms":17,"team":"desk"}
//   {"event":"end","lease":"g-1","status":"finished","t_ms":67}
#ifndef EGRETSWITCH_STAND_INS_START_RECORD_H_
#define EGRETSWITCH_STAND_INS_START_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace egretswitch::stand_ins {

// Not thread-safe. Without Open() it keeps nothing.
class StartRecord {
 public:
  StartRecord() = default;
  ~StartRecord();
  StartRecord(const StartRecord&) = delete;
  StartRecord& operator=(const StartRecord&) = delete;

  // Appends to the file at `path`, which is created when missing.
  absl::Status Open(const std::string& path);

  void Started(std::string_view lease,
               std::string_view team,
               std::string_view id,
               uint32_t index);
  void Ended(std::string_view lease, std::string_view status);

  // Hands buffered lines to the system. Called every 100 ms and at the end.
  void Flush();

 private:
  void Append(const std::string& line);

  int m_fd = -1;
  std::string m_buffer;
};

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_START_RECORD_H_
