#include "member_announcer.h"

#include <utility>

#include "logging.h"
#include "member_record.h"

namespace egretswitch::internal {
namespace {

// Pauses between attempts. A store that refuses a put because its queue is full
// has some seconds of appends to make first.
constexpr RetryPauseLimits kRetryPause = {.first = absl::Milliseconds(100),
                                          .longest = absl::Milliseconds(3200)};

}  // namespace

MemberAnnouncer::MemberAnnouncer(Timers timers,
                                 KeyedStore& store,
                                 MemberAddress self,
                                 uint64_t seed)
    : m_timers(std::move(timers)),
      m_store(store),
      m_self(std::move(self)),
      m_pause(kRetryPause, seed) {}

void MemberAnnouncer::Start() {
  Put();
}

void MemberAnnouncer::Update(const WorkerAnnouncement& worker) {
  m_self.worker = worker;
  if (m_put_pending) {
    m_changed_since_put = true;
  } else {
    Put();
  }
}

void MemberAnnouncer::Put() {
  m_put_pending = true;
  m_changed_since_put = false;
  m_store.Put(StoreTable::kMembers, m_self.name, EncodeMember(m_self),
              [this](const absl::Status& status) { OnPut(status); });
}

void MemberAnnouncer::OnPut(const absl::Status& status) {
  if (!status.ok()) {
    LogStateChange(
        {"member not announced", {{"reason", std::string(status.message())}}});
    m_timers.run_after(m_pause.Next(), [this, weak = std::weak_ptr(m_alive)] {
      if (!weak.expired()) {
        Put();
      }
    });
    return;
  }
  LogStateChange({"member announced",
                  {{"name", m_self.name},
                   {"address", m_self.address},
                   {"worker", m_self.worker.incarnation}}});
  m_pause.Reset();
  m_put_pending = false;
  if (m_changed_since_put) {
    Put();
  }
}

}  // namespace egretswitch::internal
