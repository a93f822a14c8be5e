#include "secret_file.h"

#include <algorithm>
#include <fstream>

namespace egretswitch::internal {

std::optional<std::string> ReadSecretFile(const std::string& path) {
  std::ifstream in(path);
  std::string line;
  std::getline(in, line);
  if (line.ends_with('\r')) {
    line.pop_back();
  }
  return line.empty() ? std::nullopt : std::optional(line);
}

bool IsSecretText(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace egretswitch::internal
