// nghttp2 keeps the protocol; this file feeds it and copies each payload once,
// from the outgoing queue into the bytes for the socket (NO_COPY).
//
// Windows are wide enough that only TCP paces a link; received bytes are
// handled at once, so nghttp2's own window updates are right.
//
//   Produce(): [9-byte DATA header][payload up to 1 MB] ...
#include "http2_pipe.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "internal_assert.h"
#include "shared_key.h"

namespace egretswitch::internal {

namespace {

constexpr std::string_view kLinkPath = "/egretswitch/link";
constexpr std::string_view kKeyHeader = "x-egretswitch-key";
constexpr uint32_t kWindowBytes = 16u << 20;
constexpr uint32_t kMaxFrameBytes = 1u << 20;
constexpr size_t kSmallestRead = 16u << 10;
constexpr size_t kFrameHeaderBytes = 9;

// The views must be alive while the header is submitted, not longer.
nghttp2_nv Header(std::string_view name, std::string_view value) {
  return nghttp2_nv{reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
                    reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
                    name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view AsView(const uint8_t* data, size_t size) {
  return std::string_view(reinterpret_cast<const char*>(data), size);
}

absl::Status StatusOfNghttp2(ssize_t error) {
  return absl::InvalidArgumentError(
      absl::StrCat("HTTP/2: ", nghttp2_strerror(static_cast<int>(error))));
}

void CheckSubmitted(int rc) {
  InternalAssert(rc >= 0, "nghttp2 refused what we submit",
                 nghttp2_strerror(rc));
}

}  // namespace

struct Http2Pipe::Callbacks {
  static Http2Pipe& Self(void* user_data) {
    return *static_cast<Http2Pipe*>(user_data);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data) {
    Http2Pipe& self = Self(user_data);
    if (self.m_side == PipeSide::kClient || self.m_stream == 0) {
      self.m_stream = frame->hd.stream_id;
      return 0;
    }
    // A second stream is reset, a trailer on the first one ends the link.
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* user_data) {
    Http2Pipe& self = Self(user_data);
    if (frame->hd.stream_id != self.m_stream) {
      return 0;
    }
    const std::string_view header = AsView(name, name_size);
    if (header == ":method") {
      self.m_method = AsView(value, value_size);
    } else if (header == ":path") {
      self.m_path = AsView(value, value_size);
    } else if (header == ":status") {
      self.m_status = AsView(value, value_size);
    } else if (header == kKeyHeader) {
      self.m_presented_key = AsView(value, value_size);
    }
    return 0;
  }

  static int OnFrame(nghttp2_session*,
                     const nghttp2_frame* frame,
                     void* user_data) {
    Http2Pipe& self = Self(user_data);
    const bool ours =
        self.m_stream != 0 && frame->hd.stream_id == self.m_stream;
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      self.Fail(absl::UnavailableError("the peer ends the connection"));
    } else if (ours && frame->hd.type == NGHTTP2_HEADERS && !self.m_open) {
      if (self.m_side == PipeSide::kServer) {
        self.AnswerRequest();
      } else {
        self.TakeResponse();
      }
    }
    if (ours && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.Fail(absl::UnavailableError("the peer ended the stream"));
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t stream,
                    const uint8_t* data,
                    size_t size,
                    void* user_data) {
    Http2Pipe& self = Self(user_data);
    if (stream == self.m_stream && self.m_open && self.m_error.ok()) {
      self.m_delegate.OnPipeData(AsView(data, size));
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           int32_t stream,
                           uint32_t,
                           void* user_data) {
    Http2Pipe& self = Self(user_data);
    if (stream == self.m_stream) {
      self.Fail(absl::UnavailableError("the stream was closed"));
    }
    return 0;
  }

  // How much nghttp2 may put into the next DATA frame. It reserves that much
  // memory first, so a link with little to send is given little.
  static ssize_t DataLength(nghttp2_session*,
                            uint8_t,
                            int32_t,
                            int32_t session_window,
                            int32_t stream_window,
                            uint32_t peer_max_frame,
                            void* user_data) {
    const size_t wanted =
        std::max(Self(user_data).m_outgoing.size(), kSmallestRead);
    const size_t allowed = std::min<size_t>(peer_max_frame, kMaxFrameBytes);
    const size_t window = std::min(session_window, stream_window);
    return static_cast<ssize_t>(std::min({wanted, allowed, window}));
  }

  static ssize_t ReadOutgoing(nghttp2_session*,
                              int32_t,
                              uint8_t*,
                              size_t length,
                              uint32_t* flags,
                              nghttp2_data_source*,
                              void* user_data) {
    Http2Pipe& self = Self(user_data);
    if (self.m_outgoing.empty()) {
      self.m_deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    *flags |= NGHTTP2_DATA_FLAG_NO_COPY;
    return static_cast<ssize_t>(std::min(length, self.m_outgoing.size()));
  }

  static int SendData(nghttp2_session*,
                      nghttp2_frame*,
                      const uint8_t* frame_header,
                      size_t length,
                      nghttp2_data_source*,
                      void* user_data) {
    Http2Pipe& self = Self(user_data);
    if (self.m_produced->size() >= self.m_produce_limit) {
      return NGHTTP2_ERR_WOULDBLOCK;
    }
    self.m_produced->append(AsView(frame_header, kFrameHeaderBytes));
    self.m_produced->append(self.m_outgoing.front().substr(0, length));
    self.m_outgoing.Consume(length);
    return 0;
  }

  // One table for all sessions; nghttp2 copies it into each.
  static const nghttp2_session_callbacks* Table() {
    static nghttp2_session_callbacks* const table = [] {
      nghttp2_session_callbacks* made = nullptr;
      CheckSubmitted(nghttp2_session_callbacks_new(&made));
      nghttp2_session_callbacks_set_on_begin_headers_callback(made,
                                                              OnBeginHeaders);
      nghttp2_session_callbacks_set_on_header_callback(made, OnHeader);
      nghttp2_session_callbacks_set_on_frame_recv_callback(made, OnFrame);
      nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, OnData);
      nghttp2_session_callbacks_set_on_stream_close_callback(made,
                                                             OnStreamClose);
      nghttp2_session_callbacks_set_data_source_read_length_callback(
          made, DataLength);
      nghttp2_session_callbacks_set_send_data_callback(made, SendData);
      return made;
    }();
    return table;
  }

  static nghttp2_data_provider Provider() {
    nghttp2_data_provider provider{};
    provider.read_callback = ReadOutgoing;
    return provider;
  }
};

void Http2Pipe::SessionDeleter::operator()(nghttp2_session* session) const {
  nghttp2_session_del(session);
}

Http2Pipe::Http2Pipe(PipeSide side,
                     std::string shared_key,
                     Http2PipeDelegate& delegate)
    : m_side(side), m_shared_key(std::move(shared_key)), m_delegate(delegate) {
  nghttp2_session* session = nullptr;
  const nghttp2_session_callbacks* callbacks = Callbacks::Table();
  CheckSubmitted(side == PipeSide::kClient
                     ? nghttp2_session_client_new(&session, callbacks, this)
                     : nghttp2_session_server_new(&session, callbacks, this));
  m_session.reset(session);
  SubmitSettings();
  if (side == PipeSide::kClient) {
    SubmitLinkRequest();
  }
}

Http2Pipe::~Http2Pipe() = default;

void Http2Pipe::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 4> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
      {NGHTTP2_SETTINGS_MAX_FRAME_SIZE, kMaxFrameBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // Servers may not speak of push.
  const size_t count = settings.size() - (m_side == PipeSide::kServer ? 1 : 0);
  CheckSubmitted(nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE,
                                         settings.data(), count));
  CheckSubmitted(nghttp2_session_set_local_window_size(
      m_session.get(), NGHTTP2_FLAG_NONE, 0, kWindowBytes));
}

void Http2Pipe::SubmitLinkRequest() {
  std::array<nghttp2_nv, 5> headers = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "egretswitch"), Header(":path", kLinkPath),
      Header(kKeyHeader, m_shared_key)};
  headers.back().flags = NGHTTP2_NV_FLAG_NO_INDEX;
  const nghttp2_data_provider provider = Callbacks::Provider();
  const int32_t stream =
      nghttp2_submit_request(m_session.get(), nullptr, headers.data(),
                             headers.size(), &provider, nullptr);
  CheckSubmitted(stream);
  m_stream = stream;
}

void Http2Pipe::AnswerRequest() {
  const bool key_right = SharedKeysEqual(m_shared_key, m_presented_key);
  const bool path_right = m_method == "POST" && m_path == kLinkPath;
  if (key_right && path_right) {
    const nghttp2_nv ok = Header(":status", "200");
    const nghttp2_data_provider provider = Callbacks::Provider();
    CheckSubmitted(
        nghttp2_submit_response(m_session.get(), m_stream, &ok, 1, &provider));
    Open();
    return;
  }
  const nghttp2_nv refused = Header(":status", key_right ? "404" : "403");
  CheckSubmitted(
      nghttp2_submit_response(m_session.get(), m_stream, &refused, 1, nullptr));
  Fail(key_right ? absl::NotFoundError("the request is not for a link")
                 : absl::PermissionDeniedError(
                       "the peer presents another shared key"));
}

void Http2Pipe::TakeResponse() {
  if (m_status == "200") {
    Open();
  } else if (m_status == "403") {
    Fail(absl::PermissionDeniedError("the peer refuses our shared key"));
  } else {
    Fail(absl::UnavailableError(
        absl::StrCat("the peer answers with HTTP status ", m_status)));
  }
}

void Http2Pipe::Open() {
  m_open = true;
  m_delegate.OnPipeOpen();
}

void Http2Pipe::Fail(absl::Status status) {
  if (m_error.ok()) {
    m_error = std::move(status);
  }
}

absl::Status Http2Pipe::Receive(std::string_view bytes) {
  if (!m_error.ok()) {
    return m_error;
  }
  m_receiving = true;
  const ssize_t taken = nghttp2_session_mem_recv(
      m_session.get(), reinterpret_cast<const uint8_t*>(bytes.data()),
      bytes.size());
  m_receiving = false;
  if (taken < 0) {
    Fail(StatusOfNghttp2(taken));
  }
  return m_error;
}

absl::Status Http2Pipe::Produce(std::string* out, size_t limit) {
  if (m_receiving) {
    return m_error;  // nghttp2 must not be entered from its callbacks
  }
  m_produced = out;
  m_produce_limit = limit;
  if (m_deferred && !m_outgoing.empty()) {
    m_deferred = false;
    CheckSubmitted(nghttp2_session_resume_data(m_session.get(), m_stream));
  }
  while (out->size() < limit) {
    const uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(m_session.get(), &data);
    if (size < 0) {
      Fail(StatusOfNghttp2(size));
    }
    if (size <= 0) {
      break;
    }
    out->append(AsView(data, static_cast<size_t>(size)));
  }
  m_produced = nullptr;
  if (nghttp2_session_want_read(m_session.get()) == 0 &&
      nghttp2_session_want_write(m_session.get()) == 0) {
    Fail(absl::InvalidArgumentError("HTTP/2: the connection has ended"));
  }
  return m_error;
}

}  // namespace egretswitch::internal
