// Interface to the tables of the platform's store that retain the newest record
// of each key. The platform's adapter makes the calls; it doesn't retry or wait
// between them.
//
//   store.ReadAll(StoreTable::kConfig, done);     -> every key's newest record
//   store.Follow(StoreTable::kConfig, 17, wait, done);  -> records from 17 on
#ifndef EGRETSWITCH_SRC_KEYED_STORE_H_
#define EGRETSWITCH_SRC_KEYED_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace egretswitch::internal {

enum class StoreTable : uint8_t {
  kConfig = 0,  // what operators publish; read only
  kMembers,     // the processes of this deployment
};

struct KeyedRecord {
  std::string key;
  std::string value;
  bool removed = false;
  uint64_t offset = 0;  // increases with each record of the table
};

struct KeyedPage {
  std::vector<KeyedRecord> records;
  uint64_t next_offset = 0;  // where to continue
  // The end of the table when it was read; greater than next_offset if the page
  // is only a part.
  uint64_t end = 0;
  uint32_t unreadable = 0;  // records skipped, written by another program
  // The keys of unreadable records, where the key could be read.
  std::vector<std::string> unreadable_keys;
  // True if `records` and `unreadable_keys` cover every key of the table.
  bool whole = false;
};

// Timeout of a put. The store makes the appends to a table one after the other,
// and refuses one that would wait for over 2 s. With a shorter timeout a
// process would repeat a put that the store is about to make; if many processes
// start at once, the store would then never catch up with the repeated puts.
inline constexpr absl::Duration kPutTimeout = absl::Seconds(3);

// Timeout of a read for the first byte of the answer, beyond the wait that it
// requests, and between two bytes. The store answers in some 4 ms; a slow one
// in up to 60 times that. It doesn't limit the whole answer: a configuration of
// 260 kB takes over a second on a link of 2 Mbit/s.
inline constexpr absl::Duration kReadTimeout = absl::Milliseconds(800);

class KeyedStore {
 public:
  using PageCallback = std::function<void(absl::StatusOr<KeyedPage>)>;
  using PutCallback = std::function<void(absl::Status)>;

  virtual ~KeyedStore() = default;

  // Reads the newest record of each key.
  virtual void ReadAll(StoreTable table, PageCallback done) = 0;

  // Reads the records from `offset` on; waits up to `wait` if there are none.
  // Fails if no byte arrives for kReadTimeout after that. The status is
  // kOutOfRange if the history no longer goes back to `offset`.
  virtual void Follow(StoreTable table,
                      uint64_t offset,
                      absl::Duration wait,
                      PageCallback done) = 0;

  // Like Follow() without a wait; may run in parallel with a waiting read.
  virtual void ReadNow(StoreTable table,
                       uint64_t offset,
                       PageCallback done) = 0;

  // Writes a record. Fails if there is no answer within kPutTimeout. A failed
  // put may have taken effect, or may do so later.
  virtual void Put(StoreTable table,
                   const std::string& key,
                   const std::string& value,
                   PutCallback done) = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_KEYED_STORE_H_
