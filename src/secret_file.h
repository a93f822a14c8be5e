// Reads secrets, such as the shared key or the operators' token, from files.
//
//   ReadSecretFile("token") -> "0123456789abcdef", the first line of the file
#ifndef EGRETSWITCH_SRC_SECRET_FILE_H_
#define EGRETSWITCH_SRC_SECRET_FILE_H_

#include <optional>
#include <string>
#include <string_view>

namespace egretswitch::internal {

// Returns the first line of the file without its line end (LF or CRLF), or
// nullopt if the file can't be read or the line is empty.
std::optional<std::string> ReadSecretFile(const std::string& path);

// Returns whether an HTTP header can carry the secret: only printable ASCII
// without spaces.
bool IsSecretText(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SECRET_FILE_H_
