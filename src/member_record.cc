#include "member_record.h"

#include <exception>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {

std::string EncodeMember(const MemberAddress& member) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, member);
  return std::string(buffer.data(), buffer.size());
}

absl::StatusOr<MemberAddress> DecodeMember(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<MemberAddress>();
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("not a member record: ", error.what()));
  }
}

}  // namespace egretswitch::internal
