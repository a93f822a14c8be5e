#include "internal_assert.h"

#include <cstdlib>
#include <iostream>

namespace egretswitch::internal {

void FailInternalAssert(std::string_view what, std::string_view subject) {
  std::cerr << "internal assert: " << what << ": " << subject << std::endl;
  std::abort();
}

}  // namespace egretswitch::internal
