// Encodes and decodes the record of a process in the store's table of members.
// The key of the record is the name of the process.
//
//   store.Put(StoreTable::kMembers, self.name, EncodeMember(self), ...);
#ifndef EGRETSWITCH_SRC_MEMBER_RECORD_H_
#define EGRETSWITCH_SRC_MEMBER_RECORD_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "run_messages.h"

namespace egretswitch::internal {

std::string EncodeMember(const MemberAddress& member);

// Whether a process can have recorded this: its name can be a key of the table,
// its address can be dialled, and the numbers of its worker are in range. The
// version isn't part of the record.
absl::Status CheckMember(const MemberAddress& member);

absl::StatusOr<MemberAddress> DecodeMember(std::string_view bytes);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MEMBER_RECORD_H_
