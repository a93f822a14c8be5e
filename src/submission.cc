#include "submission.h"

#include <xxhash.h>

namespace egretswitch {
namespace {

// Packs `value` and hashes the bytes: every field counts, and the length
// prefixes of the packing keep ("ab","c") apart from ("a","bc").
template <typename T>
uint64_t HashPacked(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return XXH3_64bits(buffer.data(), buffer.size());
}

}  // namespace

ShardId ShardOf(const SubmissionKey& key, uint32_t shard_count) {
  return static_cast<ShardId>(HashPacked(key) % shard_count);
}

uint64_t DigestOf(const Submission& submission) {
  return HashPacked(submission);
}

}  // namespace egretswitch
