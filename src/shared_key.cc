// Every byte is looked at, whatever the earlier ones were; `volatile` keeps the
// compiler from ending the loop early.
//
//   SharedKeysEqual("abc", "abd")  // false, after three steps like "xyz"
#include "shared_key.h"

#include <cstddef>

namespace egretswitch::internal {

bool SharedKeysEqual(std::string_view expected, std::string_view presented) {
  volatile unsigned char difference = expected.size() != presented.size();
  for (size_t i = 0; i < presented.size(); ++i) {
    const char other = expected.empty() ? '\0' : expected[i % expected.size()];
    difference = static_cast<unsigned char>(
        difference | static_cast<unsigned char>(other ^ presented[i]));
  }
  return difference == 0;
}

}  // namespace egretswitch::internal
