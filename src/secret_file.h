// Secrets (the shared key, the operators' token) as they are kept in files.
//
//   ReadSecretFile("token") -> "0123456789abcdef", the first line of the file
#ifndef EGRETSWITCH_SRC_SECRET_FILE_H_
#define EGRETSWITCH_SRC_SECRET_FILE_H_

#include <optional>
#include <string>
#include <string_view>

namespace egretswitch::internal {

// The first line of the file, without its end (LF or CRLF); nullopt when the
// file can't be read or the line is empty.
std::optional<std::string> ReadSecretFile(const std::string& path);

// Whether an HTTP header can carry the secret: printable ASCII, no spaces.
bool IsSecretText(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SECRET_FILE_H_
