// Tables of the platform's store in which the newest record of each key lasts.
// The adapter of the platform makes the calls; nothing here retries or waits.
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
  uint64_t offset = 0;  // rises with each record of the table
};

struct KeyedPage {
  std::vector<KeyedRecord> records;
  uint64_t next_offset = 0;  // to follow from
  uint64_t end = 0;  // of the table as it was read; beyond next_offset: a part
  uint32_t unreadable = 0;  // records left out: another writer wrote them
  // Of these, the keys that could be read.
  std::vector<std::string> unreadable_keys;
  // Every key of the table is here, or among the unreadable ones.
  bool whole = false;
};

// How long a put waits for its answer. The store takes the appends to a table
// one after the other, and refuses one that would wait for over 2 s. Giving up
// sooner sends again what the store is about to take, and when many processes
// start at once it then never gets through with them.
inline constexpr absl::Duration kPutTimeout = absl::Seconds(3);

// How long a read waits for its answer to begin, beyond the wait that it asks
// for, and between two bytes of it. The store answers in some 4 ms; a slow one
// in up to 60 times that. Not for a whole answer: a configuration of 260 kB
// takes over a second on a link of 2 Mbit/s.
inline constexpr absl::Duration kReadTimeout = absl::Milliseconds(800);

class KeyedStore {
 public:
  using PageCallback = std::function<void(absl::StatusOr<KeyedPage>)>;
  using PutCallback = std::function<void(absl::Status)>;

  virtual ~KeyedStore() = default;

  // The newest record of each key.
  virtual void ReadAll(StoreTable table, PageCallback done) = 0;

  // Records from `offset` on; waits up to `wait` while there are none. Fails
  // when no byte has come for kReadTimeout after that. The status is
  // kOutOfRange when the history no longer goes back that far.
  virtual void Follow(StoreTable table,
                      uint64_t offset,
                      absl::Duration wait,
                      PageCallback done) = 0;

  // As Follow() without a wait, beside a read that waits.
  virtual void ReadNow(StoreTable table,
                       uint64_t offset,
                       PageCallback done) = 0;

  // Fails when there is no answer for kPutTimeout. A failed put may have taken
  // effect, or may do so later.
  virtual void Put(StoreTable table,
                   const std::string& key,
                   const std::string& value,
                   PutCallback done) = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_KEYED_STORE_H_
