// Encodes records of the control stream as JSON text, so that operators can
// read them with any tool and publish their own.
//
//   {"append_id":"e1-7","type":"entry_left","name":"entry-a","incarnation":9}
//   <->  LogRecord{"e1-7", EntryLeft{"entry-a", 9}}
//
// Every field of a record is required, except a snapshot's former_entries,
// which earlier versions didn't write. Unknown fields are rejected, so that a
// misspelt field is not taken for a missing one.
#ifndef EGRETSWITCH_SRC_RECORD_CODEC_H_
#define EGRETSWITCH_SRC_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "log_records.h"

namespace egretswitch::internal {

// Returns the JSON text of `record`. Bytes that are not UTF-8 become U+FFFD.
std::string EncodeRecord(const LogRecord& record);

// Decodes the record in `text`. An error names the invalid field by its path,
// for example "field row.weight: found -1, allowed 0 to 4294967295".
absl::StatusOr<LogRecord> DecodeRecord(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RECORD_CODEC_H_
