// Adds to the ledger what the proxies before the entries saw of each attempt:
// when its request was delivered or that it never was, and when its caller's
// end of input came and was passed on. A request that is delivered after its
// attempt has ended is told from an entry that goes on without its caller.
//
//   CallerTraces traces(ledger);
//   traces.Watch("entry-0", *process.callers);
#ifndef EGRETSWITCH_TEST_SOAK_CALLER_TRACES_H_
#define EGRETSWITCH_TEST_SOAK_CALLER_TRACES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "loopback_proxy.h"
#include "run_ledger.h"

namespace egretswitch::soak {

class CallerTraces {
 public:
  explicit CallerTraces(RunLedger& ledger) : m_ledger(ledger) {}

  // Both must outlive the proxy's last connection.
  void Watch(const std::string& entry, LoopbackProxy& proxy);

  // Requests that were handed to the entry's socket, and whose connection ended
  // before a byte of the answer and before the caller's end.
  uint64_t cut_off_after_delivery() const { return m_cut_off_after_delivery; }

  // Requests that a proxy got and no entry took, and whose connection ended
  // before the caller's end.
  uint64_t never_delivered() const { return m_never_delivered; }

 private:
  using ConnectionKey = std::pair<std::string, uint64_t>;

  void OnDelivered(const ConnectionKey& connection, std::string_view bytes);
  void OnUndelivered(const ConnectionKey& connection, std::string_view bytes);
  void OnEnd(const ConnectionKey& connection, bool by_client);
  void Trace(const ConnectionKey& connection, std::string_view what);

  RunLedger& m_ledger;
  std::map<ConnectionKey, std::string> m_job_of;  // of the latest request
  std::set<ConnectionKey> m_unanswered;
  std::set<ConnectionKey> m_undelivered;
  uint64_t m_cut_off_after_delivery = 0;
  uint64_t m_never_delivered = 0;
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_CALLER_TRACES_H_
