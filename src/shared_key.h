// Compares the deployment's shared key without telling by its running time how
// much of a guess was right.
//
//   if (!SharedKeysEqual(configured, presented)) { answer 403 }
#ifndef EGRETSWITCH_SRC_SHARED_KEY_H_
#define EGRETSWITCH_SRC_SHARED_KEY_H_

#include <string_view>

namespace egretswitch::internal {

// The time taken depends on the length of `presented` alone.
bool SharedKeysEqual(std::string_view expected, std::string_view presented);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SHARED_KEY_H_
