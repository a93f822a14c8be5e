// The entries that an agent is linked to or still has runs of, and which
// reports are still to be sent to each.
//
//   contacts.RecordConnected("entry-1", 77);
//   contacts.Report("entry-1", {.task = 5c0e/0/0, .end = RunEnd::kDone});
//   contacts.TakeDue(status, now)  -> [SendRunMessage{entry-1, RunReports}]
#ifndef EGRETSWITCH_SRC_ENTRY_CONTACTS_H_
#define EGRETSWITCH_SRC_ENTRY_CONTACTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "capacity_reservations.h"
#include "clock.h"
#include "run_events.h"

namespace egretswitch::internal {

class EntryContacts {
 public:
  // Returns true if this replaces another incarnation of the entry, whose runs
  // then no longer have an owner.
  bool RecordConnected(const std::string& entry, uint64_t incarnation);
  // Returns false if the link was to another incarnation than the present one.
  bool RecordDisconnected(const std::string& entry, uint64_t incarnation);
  // The entry must have no link and no runs.
  void Remove(const std::string& entry) { m_contacts.erase(entry); }

  bool HasIncarnation(const std::string& entry, uint64_t incarnation) const;
  // Of the process that connected last under this name; 0 if there is none.
  uint64_t IncarnationOf(const std::string& entry) const;

  void SetStartedThrough(const std::string& entry, uint64_t sequence);
  // Replaces the entry's capacity requests, ordered by urgency, most urgent
  // first. The entry is notified as soon as there is free capacity for them.
  void SetCapacityRequests(const std::string& entry,
                           const std::vector<CapacityRequest>& requests);
  // Adds to the entry's requests, unless it has one of the same urgency.
  void AddCapacityRequest(const std::string& entry,
                          const CapacityRequest& request);

  void Report(const std::string& entry, const RunReport& report);
  void ScheduleReport(const std::string& entry);
  void ScheduleReportToAll();
  // Whether any entry has capacity requests.
  bool HasCapacityRequests() const;
  // Reserves `free` for as many of the requests as it suffices for, and
  // schedules a report to each of their entries: the most urgent first, equally
  // urgent ones by weighted fair queueing.
  void ReserveCapacity(TaskNeeds free,
                       CapacityReservations& reservations,
                       MonoTime now);

  // Returns one message for each linked entry with a report due. `free_for`
  // returns the worker's free capacity that the entry may use.
  std::vector<SendRunMessage> TakeDue(
      const WorkerStatus& status,
      absl::FunctionRef<TaskNeeds(const std::string& entry)> free_for,
      MonoTime now);

 private:
  struct Contact {
    uint64_t incarnation = 0;
    bool linked = false;
    uint64_t started_through = 0;
    std::vector<CapacityRequest> requests;  // by urgency
    double turn = 0;  // virtual finish time; the lowest is served next
    uint64_t queue_number = 0;  // of equal turns, the lowest is first
    bool report_due = false;
    std::vector<RunReport> reports;
  };

  // One capacity request of an entry.
  struct Candidate {
    const std::string* entry = nullptr;
    Contact* contact = nullptr;
    size_t position = 0;  // in `requests`
  };
  std::vector<Candidate> CandidatesInOrder();
  static void JoinQueue(Contact& contact, double turn, uint64_t number);
  void TakeTurn(Contact& contact, size_t position);

  std::map<std::string, Contact> m_contacts;
  double m_last_turn = 0;  // of the entry that was served last
  uint64_t m_last_queue_number = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_CONTACTS_H_
