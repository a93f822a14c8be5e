// The counters of a node: one for each refusal and retry reason and each kind
// of message, as plain numbers that the daemon exports.
//
//   counters.Add(Counter::kTaskStarts, 4);
#ifndef EGRETSWITCH_SRC_COUNTERS_H_
#define EGRETSWITCH_SRC_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "outcome.h"

namespace egretswitch::internal {

// Events worth counting that are not refusals. Add new ones before kCount and
// name them in counters.cc.
enum class Counter : uint8_t {
  kJobsSubmitted = 0,  // by callers at this entry
  kJobsAnswered,
  kJobsOwned,   // new submissions this owner accepted
  kJobsJoined,  // resubmissions joined to a known job
  kTaskStarts,  // tasks sent to agents (or handed to the worker)
  kTaskResults,
  kMessagesSent,
  kMessagesReceived,
  kRetryFull,  // start bounced, not run: no free slot
  kRetryLeaving,
  kRetryStalePermission,
  kRetryFenced,
  kRetryOtherIncarnation,
  kRetryLinkDown,  // start never sent or provably not received
  kRetryRefusedByWorker,
  kRetryBudgetExhausted,
  kOffersTaken,
  kOffersExpired,
  kTakeoversStarted,
  kTakeoversDone,
  kShardsHandedOver,
  kLogReads,
  kLogReadFailures,
  kLogAppends,
  kLogAppendFailures,
  kTableEditsAccepted,
  kTableEditsRefused,
  kWorkersEjected,
  kCount
};

std::string_view CounterName(Counter counter);

class Counters {
 public:
  void Add(Counter counter, uint64_t by = 1) {
    m_counts[static_cast<size_t>(counter)] += by;
  }
  void AddRefusal(RefusalReason reason) {
    ++m_refusals[static_cast<size_t>(reason)];
  }
  uint64_t Get(Counter counter) const {
    return m_counts[static_cast<size_t>(counter)];
  }
  uint64_t GetRefusals(RefusalReason reason) const {
    return m_refusals[static_cast<size_t>(reason)];
  }

 private:
  std::array<uint64_t, static_cast<size_t>(Counter::kCount)> m_counts{};
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> m_refusals{};
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_COUNTERS_H_
