#include "member_record.h"

#include <exception>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

// Other writers may put any bytes into the table. A few bytes can claim a
// billion elements, which the unpacker would allocate before it reads them.
constexpr size_t kMaxElements = 64;
constexpr size_t kMaxBytes = 4096;
constexpr size_t kMaxDepth = 8;
const msgpack::unpack_limit kLimits(kMaxElements,
                                    kMaxElements,
                                    kMaxBytes,
                                    kMaxBytes,
                                    0,
                                    kMaxDepth);

}  // namespace

std::string EncodeMember(const MemberAddress& member) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, member);
  return std::string(buffer.data(), buffer.size());
}

absl::StatusOr<MemberAddress> DecodeMember(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, kLimits);
    return handle.get().as<MemberAddress>();
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("not a member record: ", error.what()));
  }
}

}  // namespace egretswitch::internal
