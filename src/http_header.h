// A field of an HTTP request or response.
#ifndef EGRETSWITCH_SRC_HTTP_HEADER_H_
#define EGRETSWITCH_SRC_HTTP_HEADER_H_

#include <string>

namespace egretswitch::internal {

struct HttpHeader {
  std::string name;
  std::string value;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_HTTP_HEADER_H_
