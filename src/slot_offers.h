// Which entry a free slot is kept for while entries wait for this worker.
//
//   offers.SetWant("entry-b", {2, 0.5});       // WantSlots
//   offers.Distribute(1, {"entry-a"}, now);    // {"entry-b"}: kept kOfferLife
//   offers.ReservedForOthers("entry-a")        // 1
#ifndef EGRETSWITCH_SRC_SLOT_OFFERS_H_
#define EGRETSWITCH_SRC_SLOT_OFFERS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "clock.h"
#include "messages.h"

namespace egretswitch::internal {

// Another entry gets a slot before the entry that receives the result when the
// latter's urgency is more than this many times the former's: 1 at a
// prefer_response of 100, 8 at 50, without limit at 0.
double OfferUrgencyFactor(uint32_t prefer_response);

class SlotOffers {
 public:
  // Replaces the entry's standing want. A count of 0 withdraws it and its
  // offers.
  void SetWant(std::string_view entry, const WantSlots& wanted);

  // Forgets the want and the offers of the entry.
  void Withdraw(std::string_view entry);

  // Uses up one offer of the entry; false when it has none.
  bool Consume(std::string_view entry);

  // Ends the offers that have reached kOfferLife and returns their number.
  uint32_t Expire(MonoTime now);

  // Offers up to `unreserved` free slots. Of the slots just freed, the i-th is
  // free of cost for `receivers[i]`, which gets a message anyway. Returns the
  // entries that were offered a slot, once for each slot.
  std::vector<std::string> Distribute(uint32_t unreserved,
                                      absl::Span<const std::string> receivers,
                                      MonoTime now);

  uint32_t OfferedTo(std::string_view entry) const;
  uint32_t ReservedForOthers(std::string_view entry) const;
  uint32_t reserved() const { return static_cast<uint32_t>(m_offers.size()); }

 private:
  struct Want {
    uint32_t count = 0;
    double urgency = 0;
    uint32_t prefer_response = 50;
    uint64_t sequence = 0;  // the earlier want wins a tie
  };
  struct Offer {
    std::string entry;
    MonoTime made_at;
  };

  const std::string* MostUrgent() const;
  // The most urgent entry whose urgency times its factor is below `bound`.
  const std::string* MostUrgentBelow(double bound) const;
  const std::string* ChooseEntry(std::string_view receiver) const;
  void Make(const std::string& entry, MonoTime now);

  uint64_t m_last_sequence = 0;
  std::map<std::string, Want, std::less<>> m_wants;
  std::deque<Offer> m_offers;  // oldest first
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SLOT_OFFERS_H_
