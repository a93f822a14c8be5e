#include "link_identity.h"

#include <random>

namespace egretswitch::internal {

Hello MakeStepHello(const StepCommonSettings& settings, ProcessRole role) {
  std::random_device device;
  const uint64_t high = device();
  Hello hello;
  hello.name = settings.name;
  // 0 is kept for "no incarnation".
  hello.incarnation = ((high << 32) | device()) | 1;
  hello.role = role;
  hello.data_centre = settings.data_centre;
  hello.region = settings.region;
  return hello;
}

LinkHubOptions MakeStepHubOptions(const StepCommonSettings& settings,
                                  const Hello& self) {
  LinkHubOptions options;
  options.self = self;
  options.listen_address = settings.listen.Text();
  options.shared_key = settings.shared_key;
  return options;
}

}  // namespace egretswitch::internal
