// The response to a request that is turned away: {"error":"TEXT"}.
#ifndef EGRETSWITCH_SRC_JSON_ERROR_H_
#define EGRETSWITCH_SRC_JSON_ERROR_H_

#include <string_view>

#include "http_server.h"

namespace egretswitch::internal {

HttpResponse JsonError(int status, std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JSON_ERROR_H_
