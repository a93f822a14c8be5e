#include "member_announcer.h"

#include <algorithm>
#include <utility>

#include "logging.h"
#include "member_record.h"

namespace egretswitch::internal {
namespace {

// Between attempts. The store takes 800 writes a second in all, so that even a
// thousand processes that start at once are done within seconds.
constexpr absl::Duration kFirstPause = absl::Milliseconds(100);
constexpr absl::Duration kLongestPause = absl::Milliseconds(800);

}  // namespace

MemberAnnouncer::MemberAnnouncer(EventLoop& loop,
                                 KeyedStore& store,
                                 MemberAddress self)
    : m_loop(loop),
      m_store(store),
      m_self(std::move(self)),
      m_pause(kFirstPause) {}

void MemberAnnouncer::Start() {
  Put();
}

void MemberAnnouncer::Update(const WorkerAnnouncement& worker) {
  m_self.worker = worker;
  if (m_putting) {
    m_changed = true;
  } else {
    Put();
  }
}

void MemberAnnouncer::Put() {
  m_putting = true;
  m_changed = false;
  m_store.Put(StoreTable::kMembers, m_self.name, EncodeMember(m_self),
              [this](const absl::Status& status) { OnPut(status); });
}

void MemberAnnouncer::OnPut(const absl::Status& status) {
  if (!status.ok()) {
    LogStateChange(
        {"member not announced", {{"reason", std::string(status.message())}}});
    m_loop.RunAfter(m_pause, [this, weak = std::weak_ptr(m_alive)] {
      if (!weak.expired()) {
        Put();
      }
    });
    m_pause = std::min(m_pause * 2, kLongestPause);
    return;
  }
  LogStateChange({"member announced",
                  {{"name", m_self.name},
                   {"address", m_self.address},
                   {"worker", m_self.worker.incarnation}}});
  m_pause = kFirstPause;
  m_putting = false;
  if (m_changed) {
    Put();
  }
}

}  // namespace egretswitch::internal
