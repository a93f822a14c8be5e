#include "member_record.h"

#include <algorithm>
#include <exception>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "ip_port.h"
#include "worker_incarnation.h"

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

constexpr size_t kMaxNameBytes = 255;  // of a key in the store
// Of a quoted value in an error.
constexpr size_t kQuotedBytes = 60;
// The ranges in which workers report.
constexpr uint32_t kMaxCapacity = 1'000'000'000;
constexpr int64_t kMaxNumber = int64_t{1} << 53;

absl::Status Refuse(std::string_view field,
                    std::string_view found,
                    std::string_view allowed) {
  const std::string quoted =
      absl::CHexEscape(std::string(found.substr(0, kQuotedBytes)));
  return absl::InvalidArgumentError(
      absl::StrCat(std::string(field), ": found \"", quoted,
                   "\", allowed: ", std::string(allowed)));
}

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::none_of(name.begin(), name.end(),
                      [](unsigned char c) { return absl::ascii_iscntrl(c); });
}

bool IsIncarnation(std::string_view text) {
  const int64_t start_time = StartTimeOf(text);
  return IsWorkerId(WorkerIdOf(text)) && start_time <= kMaxNumber &&
         IncarnationName(WorkerIdOf(text), start_time) == text;
}

absl::Status CheckWorker(const WorkerAnnouncement& worker) {
  if (!worker.incarnation.empty() && !IsIncarnation(worker.incarnation)) {
    return Refuse("worker.incarnation", worker.incarnation,
                  "ID or ID@START_TIME");
  }
  if (worker.sequence > uint64_t{kMaxNumber}) {
    return Refuse("worker.sequence", absl::StrCat(worker.sequence),
                  absl::StrCat("up to ", kMaxNumber));
  }
  if (worker.clock_ms < 0 || worker.clock_ms > kMaxNumber) {
    return Refuse("worker.clock_ms", absl::StrCat(worker.clock_ms),
                  absl::StrCat("from 0 to ", kMaxNumber));
  }
  const TaskNeeds& capacity = worker.capacity;
  const uint32_t highest = std::max(
      {capacity.millicores, capacity.memory_mb, capacity.accelerators});
  return highest <= kMaxCapacity
             ? absl::OkStatus()
             : Refuse("worker.capacity", absl::StrCat(highest),
                      absl::StrCat("up to ", kMaxCapacity));
}

}  // namespace

std::string EncodeMember(const MemberAddress& member) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, member);
  return std::string(buffer.data(), buffer.size());
}

absl::Status CheckMember(const MemberAddress& member) {
  if (!IsName(member.name)) {
    return Refuse("name", member.name, "1 to 255 bytes of text");
  }
  if (!ParseIpPort(member.address).has_value()) {
    return Refuse("address", member.address,
                  "a numeric address and a port from 1 to 65535");
  }
  return CheckWorker(member.worker);
}

absl::StatusOr<MemberAddress> DecodeMember(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, kLimits);
    auto member = handle.get().as<MemberAddress>();
    if (absl::Status status = CheckMember(member); !status.ok()) {
      return status;
    }
    return member;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("not a member record: ", error.what()));
  }
}

}  // namespace egretswitch::internal
