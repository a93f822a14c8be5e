#include "json_error.h"

#include <nlohmann/json.hpp>

namespace egretswitch::internal {

HttpResponse JsonError(int status, std::string_view text) {
  HttpResponse response;
  response.status = status;
  // Bytes that are no UTF-8 come from the request: they are replaced.
  response.body = nlohmann::json{{"error", text}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace egretswitch::internal
