// A message counts from the time it was sent: one that waited in a buffer does
// not show that the entry is still alive.
#include "entry_contacts.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "task_needs.h"

namespace egretswitch::internal {

bool EntryContacts::RecordConnected(const std::string& entry,
                                    uint64_t incarnation) {
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

bool EntryContacts::RecordDisconnected(const std::string& entry,
                                       uint64_t incarnation) {
  if (!HasIncarnation(entry, incarnation)) {
    return false;
  }
  m_contacts.at(entry).linked = false;
  return true;
}

bool EntryContacts::HasIncarnation(const std::string& entry,
                                   uint64_t incarnation) const {
  const auto it = m_contacts.find(entry);
  return it != m_contacts.end() && it->second.incarnation == incarnation;
}

uint64_t EntryContacts::IncarnationOf(const std::string& entry) const {
  const auto it = m_contacts.find(entry);
  return it == m_contacts.end() ? 0 : it->second.incarnation;
}

void EntryContacts::SetStartedThrough(const std::string& entry,
                                      uint64_t sequence) {
  m_contacts[entry].started_through = sequence;
}

// An entry accumulates no credit while it has no requests.
void EntryContacts::JoinQueue(Contact& contact, double turn, uint64_t number) {
  if (contact.requests.empty()) {
    contact.turn = std::max(contact.turn, turn);
    contact.queue_number = number;
  }
}

void EntryContacts::SetCapacityRequests(
    const std::string& entry,
    const std::vector<CapacityRequest>& requests) {
  Contact& contact = m_contacts[entry];
  JoinQueue(contact, m_last_turn, ++m_last_queue_number);
  contact.requests = requests;
}

void EntryContacts::AddCapacityRequest(const std::string& entry,
                                       const CapacityRequest& request) {
  Contact& contact = m_contacts[entry];
  JoinQueue(contact, m_last_turn, ++m_last_queue_number);
  const auto next =
      std::find_if(contact.requests.begin(), contact.requests.end(),
                   [&request](const CapacityRequest& other) {
                     return other.urgency >= request.urgency;
                   });
  const bool present =
      next != contact.requests.end() && next->urgency == request.urgency;
  if (!present) {
    contact.requests.insert(next, request);
  }
}

void EntryContacts::Report(const std::string& entry, const RunReport& report) {
  const auto it = m_contacts.find(entry);
  if (it != m_contacts.end()) {
    it->second.reports.push_back(report);
    it->second.report_due = true;
  }
}

void EntryContacts::ScheduleReport(const std::string& entry) {
  m_contacts[entry].report_due = true;
}

void EntryContacts::ScheduleReportToAll() {
  for (auto& [name, contact] : m_contacts) {
    contact.report_due = true;
  }
}

std::vector<EntryContacts::Candidate> EntryContacts::CandidatesInOrder() {
  std::vector<Candidate> candidates;
  for (auto& [name, contact] : m_contacts) {
    for (size_t i = 0; contact.linked && i < contact.requests.size(); ++i) {
      candidates.push_back({&name, &contact, i});
    }
  }
  const auto rank = [](const Candidate& candidate) {
    const Contact& contact = *candidate.contact;
    return std::tuple(contact.requests[candidate.position].urgency,
                      contact.turn, contact.queue_number);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&rank](const Candidate& left, const Candidate& right) {
              return rank(left) < rank(right);
            });
  return candidates;
}

// Notifying all entries at once would make each of them send a start, for
// capacity that suffices for one. If a notified entry does not use its
// reservation, the next entry is notified with the next event.
void EntryContacts::ReserveCapacity(TaskNeeds free,
                                    CapacityReservations& reservations,
                                    MonoTime now) {
  std::set<const Contact*> notified;
  for (const Candidate& candidate : CandidatesInOrder()) {
    Contact& contact = *candidate.contact;
    const bool first = !notified.contains(&contact);
    if (first && Fits(contact.requests[candidate.position].needs, free)) {
      const TaskNeeds needs = contact.requests[candidate.position].needs;
      Subtract(free, needs);
      reservations.Reserve(*candidate.entry, needs, now);
      contact.report_due = true;
      notified.insert(&contact);
      TakeTurn(contact, candidate.position);
    }
  }
}

// Weighted fair queueing: an entry with ten times as many waiting tasks as
// another one gets ten turns for each turn of that one.
void EntryContacts::TakeTurn(Contact& contact, size_t position) {
  CapacityRequest& request = contact.requests[position];
  m_last_turn = std::max(m_last_turn, contact.turn);
  contact.turn = m_last_turn + 1.0 / std::max(request.tasks, 1u);
  if (request.tasks <= 1) {
    contact.requests.erase(contact.requests.begin() +
                           static_cast<ptrdiff_t>(position));
  } else {
    --request.tasks;
  }
}

bool EntryContacts::HasCapacityRequests() const {
  return std::any_of(
      m_contacts.begin(), m_contacts.end(),
      [](const auto& named) { return !named.second.requests.empty(); });
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
    RunReports message{.clock_ms = absl::ToInt64Milliseconds(now),
                       .worker = status,
                       .reports = std::exchange(contact.reports, {})};
    message.worker.started_through = contact.started_through;
    message.worker.free = free_for(name);
    due.push_back({name, contact.incarnation, std::move(message)});
  }
  return due;
}

}  // namespace egretswitch::internal
