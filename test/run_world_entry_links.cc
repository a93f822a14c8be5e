// The links between the entries of a RunWorld, which carry their attempts at
// jobs. They last as long as both entries run, unless a fault ends them or
// holds their messages back.
//
//   world.HoldEntryMessages(Ms(3000));  // nothing passes before 3 s
//   world.ResetEntryLinks(Ms(10));      // all end, and are up 10 ms later
#include <algorithm>
#include <string>

#include "run_world.h"

namespace egretswitch::internal {

void RunWorld::LinkEntries(const Entry& entry) {
  for (const Entry& other : m_entries) {
    if (other.number != entry.number && other.node != nullptr) {
      ToEntry(entry.number, EntryLinkUp{other.name, other.incarnation, true});
      ToEntry(other.number, EntryLinkUp{entry.name, entry.incarnation, true});
    }
  }
}

void RunWorld::UnlinkEntries(const Entry& entry, VirtualUs delay) {
  m_time.After(delay, [this, number = entry.number,
                       lost = PeerDisconnected{entry.name, entry.incarnation}] {
    for (const Entry& other : m_entries) {
      if (other.number != number) {
        ToEntry(other.number, lost);
      }
    }
  });
}

void RunWorld::ResetEntryLinks(VirtualUs down) {
  for (const Entry& entry : m_entries) {
    for (const Entry& other : m_entries) {
      if (entry.number != other.number && entry.node != nullptr &&
          other.node != nullptr) {
        ResetEntryLink(entry, other, down);
      }
    }
  }
}

// At `entry`. A process that ends meanwhile ends the link for good.
void RunWorld::ResetEntryLink(const Entry& entry,
                              const Entry& other,
                              VirtualUs down) {
  ToEntry(entry.number, PeerDisconnected{other.name, other.incarnation});
  m_time.After(down, [this, &entry, &other, from = entry.incarnation,
                      to = other.incarnation] {
    if (entry.incarnation == from && other.incarnation == to &&
        other.node != nullptr) {
      ToEntry(entry.number, EntryLinkUp{other.name, to, true});
    }
  });
}

void RunWorld::TransmitToEntry(const Entry& from, const SendRunMessage& send) {
  CountMessage(send.body);
  const int to = std::stoi(send.peer.substr(send.peer.find('-') + 1));
  const VirtualUs arrival =
      std::max(m_time.now() + m_link_delay, m_entries_cut_until);
  m_time.At(arrival, [this, to, incarnation = send.incarnation,
                      message = PeerMessageReceived{from.name, from.incarnation,
                                                    send.body}] {
    if (m_entries[to].incarnation == incarnation) {
      ToEntry(to, message);
    }
  });
}

}  // namespace egretswitch::internal
