// A minimal HTTP/1.1 client over a loopback socket for tests: it can stop half
// way, which a well-behaved client can't.
//
//   RawConnection connection(server.port());
//   connection.Send("POST /v1/jobs HTTP/1.1\r\nContent-Le");
//   connection.Close();
#ifndef EGRETSWITCH_TEST_PLAIN_HTTP_CLIENT_H_
#define EGRETSWITCH_TEST_PLAIN_HTTP_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace egretswitch::internal {

struct RawResponse {
  int status = 0;
  std::string head;  // status line and headers, as received
  std::string body;

  bool Has(std::string_view header) const {
    return head.find(header) != std::string::npos;
  }
};

class RawConnection {
 public:
  explicit RawConnection(uint16_t port)
      : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Ends a test that would otherwise hang; no result depends on it.
    const timeval give_up_after = {.tv_sec = 30, .tv_usec = 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &give_up_after,
               sizeof(give_up_after));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE_EQUAL(connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)),
                        0);
  }
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // False when the server has closed the connection.
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t sent =
          send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  bool SendRequest(std::string_view method,
                   std::string_view path,
                   std::string_view body,
                   std::string_view headers = "") {
    std::string text(method);
    text.append(" ").append(path).append(" HTTP/1.1\r\nHost: test\r\n");
    text.append(headers);
    text.append("Content-Length: ").append(std::to_string(body.size()));
    text.append("\r\n\r\n").append(body);
    return Send(text);
  }

  // Reads one response; status 0 when the connection ends before it is whole.
  RawResponse Receive() {
    RawResponse response;
    size_t head_end = std::string::npos;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return {};
      }
    }
    response.head = m_buffer.substr(0, head_end + 2);
    m_buffer.erase(0, head_end + 4);
    const size_t at = response.head.find("Content-Length: ");
    BOOST_REQUIRE(at != std::string::npos);
    const size_t length =
        std::strtoul(response.head.c_str() + at + 16, nullptr, 10);
    while (m_buffer.size() < length) {
      if (!Fill()) {
        return {};
      }
    }
    response.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    response.status = std::atoi(response.head.c_str() + 9);
    return response;
  }

  // Waits until the server ends the connection; false if it sends more.
  bool ReceiveEnd() { return m_buffer.empty() && !Fill() && errno != EAGAIN; }

  void Close() {
    if (m_socket >= 0) {
      close(m_socket);
      m_socket = -1;
    }
  }

 private:
  bool Fill() {
    char piece[65536];
    errno = 0;
    const ssize_t got = recv(m_socket, piece, sizeof(piece), 0);
    if (got <= 0) {
      return false;
    }
    m_buffer.append(piece, static_cast<size_t>(got));
    return true;
  }

  int m_socket;
  std::string m_buffer;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_PLAIN_HTTP_CLIENT_H_
