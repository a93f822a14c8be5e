// One long-lived two-way byte stream over HTTP/2, without sockets: bytes from
// the connection in, bytes for the connection out.
//
//   client: POST /egretswitch/link, x-egretswitch-key: ...   server: 200
//   then both write DATA for as long as the connection lives
//
//   pipe.outgoing() += "abc";      // to the peer's OnPipeData()
//   pipe.Produce(&socket_buffer, 256 << 10);
//   absl::Status status = pipe.Receive(bytes_from_socket);
#ifndef EGRETSWITCH_SRC_HTTP2_PIPE_H_
#define EGRETSWITCH_SRC_HTTP2_PIPE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "byte_queue.h"

struct nghttp2_session;

namespace egretswitch::internal {

enum class PipeSide : uint8_t { kClient = 0, kServer = 1 };

class Http2PipeDelegate {
 public:
  virtual ~Http2PipeDelegate() = default;

  // The keys agree and the stream is there. Comes once, before any data.
  virtual void OnPipeOpen() = 0;

  // Bytes that the peer wrote, in order, cut anywhere.
  virtual void OnPipeData(std::string_view bytes) = 0;
};

class Http2Pipe {
 public:
  Http2Pipe(PipeSide side, std::string shared_key, Http2PipeDelegate& delegate);
  ~Http2Pipe();
  Http2Pipe(const Http2Pipe&) = delete;
  Http2Pipe& operator=(const Http2Pipe&) = delete;

  // Takes bytes from the connection. After an error the connection is to be
  // closed, once what Produce() still gives has been sent. kPermissionDenied:
  // the keys differ.
  absl::Status Receive(std::string_view bytes);

  // Appends bytes for the connection until `out` holds about `limit` bytes or
  // there is nothing that may be sent now. Gives nothing within Receive().
  absl::Status Produce(std::string* out, size_t limit);

  // Bytes for the peer that have not been produced yet; append at will.
  std::string& outgoing() { return m_outgoing.back(); }
  size_t outgoing_size() const { return m_outgoing.size(); }

  bool is_open() const { return m_open; }

 private:
  // The functions that nghttp2 calls; its user data is the pipe.
  struct Callbacks;

  void SubmitSettings();
  void SubmitLinkRequest();
  void AnswerRequest();
  void TakeResponse();
  void Open();
  void Fail(absl::Status status);

  struct SessionDeleter {
    void operator()(nghttp2_session* session) const;
  };

  const PipeSide m_side;
  const std::string m_shared_key;
  Http2PipeDelegate& m_delegate;
  std::unique_ptr<nghttp2_session, SessionDeleter> m_session;

  int32_t m_stream = 0;  // 0: not there yet
  bool m_open = false;
  bool m_receiving = false;
  bool m_deferred = false;  // nghttp2 waits to be told of new outgoing bytes
  absl::Status m_error;     // first one; the pipe is done for

  // Headers of the link's request or response, as far as we look at them.
  std::string m_method;
  std::string m_path;
  std::string m_status;
  std::string m_presented_key;

  ByteQueue m_outgoing;
  std::string* m_produced = nullptr;  // during Produce()
  size_t m_produce_limit = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_HTTP2_PIPE_H_
