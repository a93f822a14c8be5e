#include "member_record.h"

#include <exception>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

// Anyone may write to the table. A few bytes can claim a billion elements,
// which the unpacker would allocate first.
constexpr size_t kMostElements = 64;
constexpr size_t kMostBytes = 4096;
constexpr size_t kMostDepth = 8;
const msgpack::unpack_limit kLimits(kMostElements,
                                    kMostElements,
                                    kMostBytes,
                                    kMostBytes,
                                    0,
                                    kMostDepth);

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
