// One HTTP call at a time through libcurl, for egretswitchctl.
//
//   CurlSender sender;
//   sender.Send({"GET", "http://127.0.0.1:7201/status", "", token, timeout})
//     -> CtlResponse{200, "{...}"}
#ifndef EGRETSWITCH_SRC_CTL_HTTP_H_
#define EGRETSWITCH_SRC_CTL_HTTP_H_

#include "absl/status/statusor.h"
#include "ctl_world.h"

namespace egretswitch::internal {

// Create one per process, before other threads.
class CurlSender {
 public:
  CurlSender();
  ~CurlSender();
  CurlSender(const CurlSender&) = delete;
  CurlSender& operator=(const CurlSender&) = delete;

  // See SendHttp for the meaning of errors.
  absl::StatusOr<CtlResponse> Send(const CtlRequest& request);

 private:
  void* m_curl;  // a CURL*
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_HTTP_H_
