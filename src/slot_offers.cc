#include "slot_offers.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "node_limits.h"

namespace egretswitch::internal {

// The cube passes through the 8 at 50 that the measured policy has.
double OfferUrgencyFactor(uint32_t prefer_response) {
  const double ratio = 100.0 / std::min(prefer_response, 100u);
  return ratio * ratio * ratio;
}

void SlotOffers::SetWant(std::string_view entry, const WantSlots& wanted) {
  if (wanted.count == 0) {
    Withdraw(entry);
    return;
  }
  Want& want = m_wants[std::string(entry)];
  if (want.sequence == 0) {
    want.sequence = ++m_last_sequence;
  }
  want.count = wanted.count;
  want.urgency = std::isnan(wanted.urgency)
                     ? std::numeric_limits<double>::infinity()
                     : wanted.urgency;
  want.prefer_response = wanted.prefer_response;
}

void SlotOffers::Withdraw(std::string_view entry) {
  const auto want = m_wants.find(entry);
  if (want != m_wants.end()) {
    m_wants.erase(want);
  }
  std::erase_if(m_offers,
                [&](const Offer& offer) { return offer.entry == entry; });
}

bool SlotOffers::Consume(std::string_view entry) {
  const auto it =
      std::find_if(m_offers.begin(), m_offers.end(),
                   [&](const Offer& offer) { return offer.entry == entry; });
  if (it == m_offers.end()) {
    return false;
  }
  m_offers.erase(it);
  return true;
}

uint32_t SlotOffers::Expire(MonoTime now) {
  uint32_t expired = 0;
  while (!m_offers.empty() && now - m_offers.front().made_at >= kOfferLife) {
    m_offers.pop_front();
    ++expired;
  }
  return expired;
}

std::vector<std::string> SlotOffers::Distribute(
    uint32_t unreserved,
    absl::Span<const std::string> receivers,
    MonoTime now) {
  std::vector<std::string> offered;
  for (uint32_t i = 0; i < unreserved; ++i) {
    const std::string* chosen =
        ChooseEntry(i < receivers.size() ? receivers[i] : std::string_view());
    if (chosen == nullptr) {
      break;
    }
    offered.push_back(*chosen);
    Make(offered.back(), now);
  }
  return offered;
}

const std::string* SlotOffers::MostUrgentBelow(double bound) const {
  const std::string* found = nullptr;
  std::pair<double, uint64_t> best;
  for (const auto& [entry, want] : m_wants) {
    const std::pair rank(want.urgency, want.sequence);
    const bool is_worth_it =
        want.urgency * OfferUrgencyFactor(want.prefer_response) < bound;
    if (is_worth_it && (found == nullptr || rank < best)) {
      found = &entry;
      best = rank;
    }
  }
  return found;
}

const std::string* SlotOffers::MostUrgent() const {
  const auto it = std::min_element(
      m_wants.begin(), m_wants.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second.urgency, left.second.sequence) <
               std::pair(right.second.urgency, right.second.sequence);
      });
  return it == m_wants.end() ? nullptr : &it->first;
}

// An offer to the receiver of the result costs no message; one to another
// entry costs one and a round trip, which must be worth it.
const std::string* SlotOffers::ChooseEntry(std::string_view receiver) const {
  const auto preferred = m_wants.find(receiver);
  if (preferred == m_wants.end()) {
    return MostUrgent();
  }
  const std::string* other = MostUrgentBelow(preferred->second.urgency);
  return other != nullptr ? other : &preferred->first;
}

void SlotOffers::Make(const std::string& entry, MonoTime now) {
  m_offers.push_back({entry, now});
  const auto want = m_wants.find(entry);
  if (--want->second.count == 0) {
    m_wants.erase(want);
  }
}

uint32_t SlotOffers::OfferedTo(std::string_view entry) const {
  return static_cast<uint32_t>(
      std::count_if(m_offers.begin(), m_offers.end(),
                    [&](const Offer& offer) { return offer.entry == entry; }));
}

uint32_t SlotOffers::ReservedForOthers(std::string_view entry) const {
  return reserved() - OfferedTo(entry);
}

}  // namespace egretswitch::internal
