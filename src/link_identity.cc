#include "link_identity.h"

#include <cstdint>
#include <random>

namespace egretswitch::internal {
namespace {

uint64_t RandomIncarnation() {
  std::random_device device;
  const uint64_t high = device();
  // 0 is reserved for "no incarnation".
  return ((high << 32) | device()) | 1;
}

}  // namespace

Hello MakeHello(const LinkIdentity& identity, ProcessRole role) {
  Hello hello;
  hello.name = identity.name;
  hello.incarnation = RandomIncarnation();
  hello.role = role;
  hello.data_centre = identity.data_centre;
  hello.region = identity.region;
  hello.run_message_kinds = kRunMessageKinds;
  return hello;
}

LinkHubOptions MakeHubOptions(const LinkIdentity& identity, const Hello& self) {
  LinkHubOptions options;
  options.self = self;
  options.listen_address = identity.listen.Text();
  options.shared_key = identity.shared_key;
  return options;
}

}  // namespace egretswitch::internal
