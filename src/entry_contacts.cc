// A word counts from when it was sent: one that waited in a buffer says nothing
// of whether the entry still lives.
#include "entry_contacts.h"

#include <algorithm>
#include <utility>

#include "run_limits.h"
#include "task_needs.h"

namespace egretswitch::internal {

bool EntryContacts::LinkUp(const std::string& entry, uint64_t incarnation) {
  Contact& contact = m_contacts[entry];
  const bool replaces = contact.incarnation != incarnation;
  if (replaces) {
    contact = Contact{};
    contact.incarnation = incarnation;
  }
  contact.linked = true;
  contact.report_due = true;
  return replaces;
}

bool EntryContacts::LinkDown(const std::string& entry, uint64_t incarnation) {
  if (!Knows(entry, incarnation)) {
    return false;
  }
  m_contacts.at(entry).linked = false;
  return true;
}

bool EntryContacts::Knows(const std::string& entry,
                          uint64_t incarnation) const {
  const auto it = m_contacts.find(entry);
  return it != m_contacts.end() && it->second.incarnation == incarnation;
}

void EntryContacts::HeardFrom(const std::string& entry, int64_t sent_at_ms) {
  MonoTime& last_word = m_contacts[entry].last_word;
  last_word = std::max(last_word, absl::Milliseconds(sent_at_ms));
}

void EntryContacts::StartedThrough(const std::string& entry,
                                   uint64_t sequence) {
  m_contacts[entry].started_through = sequence;
}

void EntryContacts::WantsRoom(const std::string& entry,
                              const TaskNeeds& needs,
                              uint32_t count) {
  Contact& contact = m_contacts[entry];
  if (IsNothing(contact.wanted_room)) {
    contact.turn = std::max(contact.turn, m_turn);
    contact.wanted_from = ++m_wants;
  }
  contact.wanted_room = needs;
  contact.wanted_count = std::max(count, 1u);
}

MonoTime EntryContacts::SilentFrom(const std::string& entry) const {
  const auto it = m_contacts.find(entry);
  return it == m_contacts.end() ? absl::InfiniteDuration()
                                : it->second.last_word + kEntrySilence;
}

void EntryContacts::Report(const std::string& entry, const RunReport& report) {
  const auto it = m_contacts.find(entry);
  if (it != m_contacts.end()) {
    it->second.reports.push_back(report);
    it->second.report_due = true;
  }
}

void EntryContacts::TellSoon(const std::string& entry) {
  m_contacts[entry].report_due = true;
}

void EntryContacts::TellEveryone() {
  for (auto& [name, contact] : m_contacts) {
    contact.report_due = true;
  }
}

// Telling all of them at once would bring a start from each, for room that is
// enough for one. Who is told and has no use for it leaves it to the next one,
// who is told with the next event.
void EntryContacts::NoticeRoom(TaskNeeds free,
                               RoomPromises& promises,
                               MonoTime now) {
  using Wanting = std::pair<const std::string, Contact>;
  std::vector<Wanting*> wanting;
  for (auto& named : m_contacts) {
    if (!IsNothing(named.second.wanted_room) && named.second.linked) {
      wanting.push_back(&named);
    }
  }
  std::sort(wanting.begin(), wanting.end(),
            [](const Wanting* left, const Wanting* right) {
              const Contact& one = left->second;
              const Contact& other = right->second;
              return std::pair(one.turn, one.wanted_from) <
                     std::pair(other.turn, other.wanted_from);
            });
  for (Wanting* named : wanting) {
    Contact& contact = named->second;
    if (Fits(contact.wanted_room, free)) {
      Subtract(free, contact.wanted_room);
      promises.Make(named->first, contact.wanted_room, now);
      contact.report_due = true;
      TakeTurn(contact);
    }
  }
}

// Weighted fair queueing: an entry with ten times as many tasks waiting gets
// ten turns for one of the other.
void EntryContacts::TakeTurn(Contact& contact) {
  m_turn = std::max(m_turn, contact.turn);
  contact.turn = m_turn + 1.0 / contact.wanted_count;
  --contact.wanted_count;
  if (contact.wanted_count == 0) {
    contact.wanted_room = {};
  }
}

bool EntryContacts::AnyWantsRoom() const {
  return std::any_of(
      m_contacts.begin(), m_contacts.end(),
      [](const auto& named) { return !IsNothing(named.second.wanted_room); });
}

std::vector<SendRunMessage> EntryContacts::TakeDue(
    const WorkerStatus& status,
    absl::FunctionRef<TaskNeeds(const std::string& entry)> free_for,
    MonoTime now) {
  std::vector<SendRunMessage> due;
  for (auto& [name, contact] : m_contacts) {
    if (!contact.report_due || !contact.linked) {
      continue;
    }
    contact.report_due = false;
    RunReports told{.clock_ms = absl::ToInt64Milliseconds(now),
                    .worker = status,
                    .reports = std::exchange(contact.reports, {})};
    told.worker.started_through = contact.started_through;
    told.worker.free = free_for(name);
    due.push_back({name, contact.incarnation, std::move(told)});
  }
  return due;
}

}  // namespace egretswitch::internal
