#include "ctl_http.h"

#include <curl/curl.h>

#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "internal_assert.h"

namespace egretswitch::internal {
namespace {

// An answer of 790 tasks of 64 KiB each is below this.
constexpr size_t kMaxBodyBytes = 256u << 20;

struct HeaderListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  auto* body = static_cast<std::string*>(user);
  if (body->size() + size * count > kMaxBodyBytes) {
    return 0;  // libcurl fails with CURLE_WRITE_ERROR
  }
  body->append(data, size * count);
  return size * count;
}

HeaderList MakeHeaders(const CtlRequest& request) {
  // No "Expect: 100-continue": it costs a round trip.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (request.method == "POST") {
    list = curl_slist_append(list, "Content-Type: application/json");
  }
  if (!request.token.empty()) {
    const std::string header = "Authorization: Bearer " + request.token;
    list = curl_slist_append(list, header.c_str());
  }
  return HeaderList(list);
}

// Only while the connection is being made is it certain that nothing was sent.
bool WasNeverSent(CURL* curl, CURLcode code) {
  if (code == CURLE_COULDNT_CONNECT) {
    return true;
  }
  curl_off_t connected_us = 0;
  curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connected_us);
  return code == CURLE_OPERATION_TIMEDOUT && connected_us == 0;
}

void SetOptions(CURL* curl,
                const CtlRequest& request,
                curl_slist* headers,
                std::string* body) {
  curl_easy_reset(curl);
  curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_PROXY, "");  // whatever the environment says
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  // A kept connection would make libcurl send a second time by itself.
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
  curl_easy_setopt(
      curl, CURLOPT_TIMEOUT_MS,
      static_cast<long>(absl::ToInt64Milliseconds(request.timeout)));
  if (request.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
}

}  // namespace

CurlSender::CurlSender() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  m_curl = curl_easy_init();
  InternalAssert(m_curl != nullptr, "libcurl did not start", "ctl_http");
}

CurlSender::~CurlSender() {
  curl_easy_cleanup(m_curl);
  curl_global_cleanup();
}

absl::StatusOr<CtlResponse> CurlSender::Send(const CtlRequest& request) {
  CtlResponse response;
  const HeaderList headers = MakeHeaders(request);
  SetOptions(m_curl, request, headers.get(), &response.body);
  const CURLcode code = curl_easy_perform(m_curl);
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(m_curl, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
  }
  const std::string text =
      absl::StrCat(request.url, ": ", curl_easy_strerror(code));
  if (WasNeverSent(m_curl, code)) {
    return absl::UnavailableError(text);
  }
  return absl::AbortedError(text);
}

}  // namespace egretswitch::internal
