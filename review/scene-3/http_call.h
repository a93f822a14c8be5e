// A blocking HTTP/1.1 call on a connection of its own, as a caller makes it.
//
//   HttpReply reply = CallHttp("127.0.0.1:8161", {.method = "DELETE",
//                                                 .path = "/checks/5c0e..."});
#ifndef EGRETSWITCH_REVIEW_SCENE_3_HTTP_CALL_H_
#define EGRETSWITCH_REVIEW_SCENE_3_HTTP_CALL_H_

#include <string>

#include "absl/time/time.h"

namespace egretswitch::review {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string host = "127.0.0.1";
  std::string body = {};
  absl::Duration timeout = absl::Seconds(1);
  // Sent as the time that the caller waits, if not zero.
  absl::Duration deadline = absl::ZeroDuration();
};

struct HttpReply {
  int status = 0;  // 0: no answer
  std::string body;
};

HttpReply CallHttp(const std::string& address, const HttpRequest& request);

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_3_HTTP_CALL_H_
