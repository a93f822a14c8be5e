// How a process identifies itself to its peers and where it accepts their
// links. The settings of every role include it.
//
//   Hello self = MakeHello(settings, ProcessRole::kAgent);
//   LinkHub hub(loop, MakeHubOptions(settings, self), events);
#ifndef EGRETSWITCH_SRC_LINK_IDENTITY_H_
#define EGRETSWITCH_SRC_LINK_IDENTITY_H_

#include <string>

#include "ip_port.h"
#include "link_hub.h"

namespace egretswitch::internal {

struct LinkIdentity {
  std::string name;  // unique in the deployment
  std::string data_centre;
  std::string region;
  IpPort listen;           // accepts links of other entries and agents
  std::string shared_key;  // each peer presents it on such a link
};

// Each call draws a new random incarnation.
Hello MakeHello(const LinkIdentity& identity, ProcessRole role);

LinkHubOptions MakeHubOptions(const LinkIdentity& identity, const Hello& self);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_IDENTITY_H_
