// Messages as bytes: msgpack, and on a link each preceded by its length.
//
//   std::string wire;
//   AppendFrame(CancelJob{{"desk", "a17"}}, &wire);   // 00 00 00 0b 92 07 ...
//   reader.Feed(wire, [](std::string_view body) { ... DecodeMessage(body) });
#ifndef EGRETSWITCH_SRC_WIRE_CODEC_H_
#define EGRETSWITCH_SRC_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/functional/function_ref.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "messages.h"

namespace egretswitch::internal {

// Largest message, in bytes of msgpack.
inline constexpr size_t kMaxMessageBytes = 16u << 20;

// Appends the message to `out`.
void EncodeMessage(const Message& message, std::string* out);

// Any bytes are safe to pass: what is not exactly one message gives a status,
// and the memory used is bounded.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

// Appends a 4-byte big-endian length and the message. A message that is too
// large gives a status and leaves `out` as it was.
absl::Status AppendFrame(const Message& message, std::string* out);

// Cuts a stream of bytes into the bodies of its frames.
class FrameReader {
 public:
  // Returns false to stop reading.
  using BodyCallback = absl::FunctionRef<bool(std::string_view body)>;

  // Calls `on_body` for each frame that `bytes` completes. A body is valid
  // during the call only. A length beyond kMaxMessageBytes gives a status.
  absl::Status Feed(std::string_view bytes, BodyCallback on_body);

 private:
  void FillPartial(std::string_view& bytes, size_t wanted);
  absl::StatusOr<bool> CompletePartial(std::string_view& bytes);

  std::string m_partial;  // start of a frame whose end has not come yet
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WIRE_CODEC_H_
