// Who a process is on its links to the others, and where it takes theirs: what
// the settings of every role begin with.
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
  IpPort listen;           // for links between the system's processes
  std::string shared_key;  // presented by each peer on such a link
};

// Under a new incarnation at each call.
Hello MakeHello(const LinkIdentity& identity, ProcessRole role);

LinkHubOptions MakeHubOptions(const LinkIdentity& identity, const Hello& self);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_IDENTITY_H_
