// A word counts from when it was sent: one that waited in a buffer says nothing
// of whether the entry still lives.
#include "entry_contacts.h"

#include <algorithm>
#include <set>
#include <tuple>
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

// One that has wanted nothing for a while has saved no turns.
void EntryContacts::NoteWant(Contact& contact, double turn, uint64_t number) {
  if (contact.wanted.empty()) {
    contact.turn = std::max(contact.turn, turn);
    contact.wanted_from = number;
  }
}

void EntryContacts::WantsRoom(const std::string& entry,
                              const std::vector<CapacityRequest>& wanted) {
  Contact& contact = m_contacts[entry];
  NoteWant(contact, m_turn, ++m_wants);
  contact.wanted = wanted;
}

void EntryContacts::WantsRoomToo(const std::string& entry,
                                 const CapacityRequest& wanted) {
  Contact& contact = m_contacts[entry];
  NoteWant(contact, m_turn, ++m_wants);
  const auto next = std::find_if(contact.wanted.begin(), contact.wanted.end(),
                                 [&wanted](const CapacityRequest& other) {
                                   return other.urgency >= wanted.urgency;
                                 });
  const bool known =
      next != contact.wanted.end() && next->urgency == wanted.urgency;
  if (!known) {
    contact.wanted.insert(next, wanted);
  }
}

MonoTime EntryContacts::SilentFrom(const std::string& entry) const {
  const auto it = m_contacts.find(entry);
  return it == m_contacts.end() ? absl::InfiniteDuration()
                                : it->second.last_word + kRunLease;
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

std::vector<EntryContacts::Candidate> EntryContacts::InOrder() {
  std::vector<Candidate> candidates;
  for (auto& [name, contact] : m_contacts) {
    for (size_t i = 0; contact.linked && i < contact.wanted.size(); ++i) {
      candidates.push_back({&name, &contact, i});
    }
  }
  const auto rank = [](const Candidate& candidate) {
    const Contact& contact = *candidate.contact;
    return std::tuple(contact.wanted[candidate.position].urgency, contact.turn,
                      contact.wanted_from);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&rank](const Candidate& left, const Candidate& right) {
              return rank(left) < rank(right);
            });
  return candidates;
}

// Telling all of them at once would bring a start from each, for room that is
// enough for one. Who is told and has no use for it leaves it to the next one,
// who is told with the next event.
void EntryContacts::NoticeRoom(TaskNeeds free,
                               CapacityReservations& promises,
                               MonoTime now) {
  std::set<const Contact*> told;
  for (const Candidate& candidate : InOrder()) {
    Contact& contact = *candidate.contact;
    const bool first = !told.contains(&contact);
    if (first && Fits(contact.wanted[candidate.position].needs, free)) {
      const TaskNeeds needs = contact.wanted[candidate.position].needs;
      Subtract(free, needs);
      promises.Reserve(*candidate.entry, needs, now);
      contact.report_due = true;
      told.insert(&contact);
      TakeTurn(contact, candidate.position);
    }
  }
}

// Weighted fair queueing: an entry with ten times as many tasks waiting gets
// ten turns for one of the other.
void EntryContacts::TakeTurn(Contact& contact, size_t position) {
  CapacityRequest& wanted = contact.wanted[position];
  m_turn = std::max(m_turn, contact.turn);
  contact.turn = m_turn + 1.0 / std::max(wanted.tasks, 1u);
  if (wanted.tasks <= 1) {
    contact.wanted.erase(contact.wanted.begin() +
                         static_cast<ptrdiff_t>(position));
  } else {
    --wanted.tasks;
  }
}

bool EntryContacts::AnyWantsRoom() const {
  return std::any_of(
      m_contacts.begin(), m_contacts.end(),
      [](const auto& named) { return !named.second.wanted.empty(); });
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
