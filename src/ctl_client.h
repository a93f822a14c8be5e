// Calls to the entries that the command line names.
//
//   CtlClient client(arguments, world);
//   absl::StatusOr<CtlResponse> response = client.Call("GET", "/table");
//
// Entries are interchangeable: a call goes to the first one that can be
// reached, and to the next one only while nothing has been sent.
#ifndef EGRETSWITCH_SRC_CTL_CLIENT_H_
#define EGRETSWITCH_SRC_CTL_CLIENT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "ctl_arguments.h"
#include "ctl_world.h"

namespace egretswitch::internal {

// Whose API a command uses: callers' calls carry no token.
enum class CtlApi { kCallers, kOperators };

class CtlClient {
 public:
  // Reads the token file for operators' calls. The error is the user's.
  static absl::StatusOr<CtlClient> Create(CtlApi api,
                                          const CtlArguments& arguments,
                                          const CtlWorld& world);

  // A response of any HTTP status but 401, which is an error.
  absl::StatusOr<CtlResponse> Call(std::string_view method,
                                   std::string_view path,
                                   std::string_view body = "") const;
  absl::StatusOr<CtlResponse> CallAt(std::string_view entry,
                                     std::string_view method,
                                     std::string_view path,
                                     std::string_view body = "") const;

  void set_timeout(absl::Duration timeout) { m_timeout = timeout; }

 private:
  CtlClient() = default;

  std::vector<std::string> m_entries;
  std::string m_token;
  absl::Duration m_timeout;
  SendHttp m_send;
};

// Reads a whole file of at most 64 MB. The error is the user's.
absl::StatusOr<std::string> ReadInputFile(std::string_view path);

// The "error" or "detail" of a response's JSON body, else the body.
std::string ErrorTextOf(const CtlResponse& response);

bool IsSuccess(const CtlResponse& response);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_CLIENT_H_
