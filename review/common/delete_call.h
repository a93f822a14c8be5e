// Sends a DELETE, which the project's HTTP client does not offer.
//
//   SendDelete(loop, "127.0.0.1:7001", "/checks/5c0e...",
//              [](const DeleteAnswer& answer) { ... });   // 410
#ifndef EGRETSWITCH_REVIEW_COMMON_DELETE_CALL_H_
#define EGRETSWITCH_REVIEW_COMMON_DELETE_CALL_H_

#include <functional>
#include <string>

#include "event_loop.h"

namespace egretswitch::review {

struct DeleteAnswer {
  int status = 0;    // 0: no answer
  std::string text;  // as received
};

// Calls `done` on the loop's thread. The loop must run until then.
void SendDelete(internal::EventLoop& loop,
                const std::string& address,
                const std::string& path,
                std::function<void(const DeleteAnswer&)> done);

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_COMMON_DELETE_CALL_H_
