// Decoding is done in two passes, because msgpack allocates an array by its
// claimed length before it has seen the elements: the first pass only counts
// and rejects what is cut short, nested or large beyond reason.
//
//   dd ff ff ff ff   (an array of 4 G elements, 5 bytes)  ->  status, no memory
#include "wire_codec.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "absl/strings/str_cat.h"
#include "msgpack_config.h"

namespace egretswitch::internal {

namespace {

constexpr size_t kLengthBytes = 4;

// Bounds on one message. The deepest one, a Snapshot within a LogRelay, nests
// 11 arrays.
constexpr uint32_t kMaxDepth = 16;
constexpr uint32_t kMaxElements = 1u << 18;  // of one array
constexpr uint32_t kMaxObjects = 1u << 21;   // in total

struct StringSink {
  std::string* out;
  void write(const char* data, size_t size) { out->append(data, size); }
};

// Counts without allocating; false ends the parse.
class BoundsVisitor : public msgpack::null_visitor {
 public:
  bool start_array(uint32_t elements) {
    return elements <= kMaxElements && ++m_depth <= kMaxDepth;
  }
  bool start_array_item() { return ++m_objects <= kMaxObjects; }
  bool end_array() {
    --m_depth;
    return true;
  }
  bool start_map(uint32_t) { return false; }  // no message has one
  bool visit_ext(const char*, uint32_t) { return false; }
  void parse_error(size_t, size_t) { m_failed = true; }
  void insufficient_bytes(size_t, size_t) { m_failed = true; }
  bool failed() const { return m_failed; }

 private:
  uint32_t m_depth = 0;
  uint32_t m_objects = 0;
  bool m_failed = false;
};

bool IsWithinBounds(std::string_view bytes) {
  BoundsVisitor visitor;
  size_t offset = 0;
  const bool whole =
      msgpack::parse(bytes.data(), bytes.size(), offset, visitor);
  return whole && !visitor.failed() && offset == bytes.size();
}

// Strings are taken from the frame itself, not copied into the zone.
bool ReferToFrame(msgpack::type::object_type, size_t, void*) {
  return true;
}

size_t ReadLength(std::string_view bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

absl::Status CheckLength(size_t length) {
  if (length > kMaxMessageBytes) {
    return absl::InvalidArgumentError(
        absl::StrCat("message of ", length, " bytes; at most ",
                     kMaxMessageBytes, " are allowed"));
  }
  return absl::OkStatus();
}

}  // namespace

void EncodeMessage(const Message& message, std::string* out) {
  StringSink sink{out};
  msgpack::packer<StringSink> packer(sink);
  packer.pack(message);
}

absl::StatusOr<Message> DecodeMessage(std::string_view bytes) {
  if (absl::Status status = CheckLength(bytes.size()); !status.ok()) {
    return status;
  }
  try {
    if (!IsWithinBounds(bytes)) {
      return absl::InvalidArgumentError(
          "not a message: cut short, followed by other bytes, or out of "
          "bounds");
    }
    msgpack::zone zone;
    size_t offset = 0;
    const msgpack::object object = msgpack::unpack(
        zone, bytes.data(), bytes.size(), offset, &ReferToFrame);
    Message message;
    object.convert(message);
    return message;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("not a message: ", error.what()));
  }
}

absl::Status AppendFrame(const Message& message, std::string* out) {
  const size_t start = out->size();
  out->append(kLengthBytes, '\0');
  EncodeMessage(message, out);
  const size_t length = out->size() - start - kLengthBytes;
  if (absl::Status status = CheckLength(length); !status.ok()) {
    out->resize(start);
    return status;
  }
  for (size_t i = 0; i < kLengthBytes; ++i) {
    (*out)[start + i] =
        static_cast<char>(length >> (8 * (kLengthBytes - 1 - i)));
  }
  return absl::OkStatus();
}

// Moves bytes into m_partial until it holds `wanted` or `bytes` is used up.
void FrameReader::FillPartial(std::string_view& bytes, size_t wanted) {
  const size_t missing = wanted - std::min(wanted, m_partial.size());
  const size_t taken = std::min(missing, bytes.size());
  m_partial.append(bytes.substr(0, taken));
  bytes.remove_prefix(taken);
}

// Takes the rest of the frame in m_partial from `bytes`; false when there is
// more of it to come.
absl::StatusOr<bool> FrameReader::CompletePartial(std::string_view& bytes) {
  FillPartial(bytes, kLengthBytes);
  if (m_partial.size() < kLengthBytes) {
    return false;
  }
  const size_t length = ReadLength(m_partial);
  if (absl::Status status = CheckLength(length); !status.ok()) {
    return status;
  }
  FillPartial(bytes, kLengthBytes + length);
  return m_partial.size() == kLengthBytes + length;
}

absl::Status FrameReader::Feed(std::string_view bytes, BodyCallback on_body) {
  if (!m_partial.empty()) {
    const absl::StatusOr<bool> complete = CompletePartial(bytes);
    if (!complete.ok() || !*complete) {
      return complete.status();
    }
    const std::string frame = std::exchange(m_partial, std::string());
    if (!on_body(std::string_view(frame).substr(kLengthBytes))) {
      return absl::OkStatus();
    }
  }
  while (bytes.size() >= kLengthBytes) {
    const size_t length = ReadLength(bytes);
    if (absl::Status status = CheckLength(length); !status.ok()) {
      return status;
    }
    if (bytes.size() - kLengthBytes < length) {
      break;
    }
    const std::string_view body = bytes.substr(kLengthBytes, length);
    bytes.remove_prefix(kLengthBytes + length);
    if (!on_body(body)) {
      return absl::OkStatus();
    }
  }
  m_partial = bytes;
  return absl::OkStatus();
}

}  // namespace egretswitch::internal
