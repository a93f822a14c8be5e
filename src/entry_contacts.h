// The entries that an agent is linked to, or still has runs of: how long each
// has been silent, and what it is yet to be told.
//
//   contacts.LinkUp("entry-1", 77);
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
  // True when this replaces another incarnation of the entry, whose runs nobody
  // answers for any more.
  bool LinkUp(const std::string& entry, uint64_t incarnation);
  // False when the link was to another incarnation than the present one.
  bool LinkDown(const std::string& entry, uint64_t incarnation);
  // For an entry without a link and without runs.
  void Forget(const std::string& entry) { m_contacts.erase(entry); }

  bool Knows(const std::string& entry, uint64_t incarnation) const;

  // A word that the entry sent at this moment of the agent's clock.
  void HeardFrom(const std::string& entry, int64_t sent_at_ms);
  void StartedThrough(const std::string& entry, uint64_t sequence);
  // The entry is told as soon as there is room for what it wants, the most
  // urgent first; in place of what it wanted before.
  void WantsRoom(const std::string& entry,
                 const std::vector<CapacityRequest>& wanted);
  // Besides what it wants already.
  void WantsRoomToo(const std::string& entry, const CapacityRequest& wanted);

  // When the entry's silence ends its runs; infinite: it is not known.
  MonoTime SilentFrom(const std::string& entry) const;

  void Report(const std::string& entry, const RunReport& report);
  void TellSoon(const std::string& entry);
  void TellEveryone();
  // Whether any entry wants room.
  bool AnyWantsRoom() const;
  // Tells as many of those that want room as `free` is enough for, and promises
  // it to each: the most urgent first, equals in turn, and those that want more
  // more often.
  void NoticeRoom(TaskNeeds free, CapacityReservations& promises, MonoTime now);

  // One message for each linked entry that is to be told something.
  // `free_for` gives the worker's room as that entry may use it.
  std::vector<SendRunMessage> TakeDue(
      const WorkerStatus& status,
      absl::FunctionRef<TaskNeeds(const std::string& entry)> free_for,
      MonoTime now);

 private:
  struct Contact {
    uint64_t incarnation = 0;
    bool linked = false;
    MonoTime last_word = absl::ZeroDuration();  // sent, not received
    uint64_t started_through = 0;
    std::vector<CapacityRequest> wanted;  // by urgency; none: it wants no room
    double turn = 0;                      // the lowest is told next
    uint64_t wanted_from = 0;  // of equal turns, the one that asked first
    bool report_due = false;
    std::vector<RunReport> reports;
  };

  // An entry whose tasks of this urgency may be told of room.
  struct Candidate {
    const std::string* entry = nullptr;
    Contact* contact = nullptr;
    size_t position = 0;  // in what it wants
  };
  std::vector<Candidate> InOrder();
  static void NoteWant(Contact& contact, double turn, uint64_t number);
  void TakeTurn(Contact& contact, size_t position);

  std::map<std::string, Contact> m_contacts;
  double m_turn = 0;  // of the entry that was told last
  uint64_t m_wants = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_CONTACTS_H_
