#include "log_streams.h"

#include <algorithm>
#include <utility>

namespace egretswitch::stand_ins {

std::optional<uint64_t> LogStreams::Append(const std::string& name,
                                           std::string data,
                                           TimePoint now) {
  const bool is_new = m_streams.count(name) == 0;
  if (is_new && m_streams.size() >= m_retention.streams) {
    return std::nullopt;
  }
  Stream& stream = m_streams[name];
  const uint64_t offset = stream.first_kept + stream.records.size();
  stream.bytes += data.size();
  stream.records.push_back({std::move(data), now});
  DropOld(stream, now);
  return offset;
}

StreamPage LogStreams::Read(const std::string& name,
                            uint64_t from,
                            size_t max) const {
  StreamPage page;
  const auto it = m_streams.find(name);
  if (it == m_streams.end()) {
    return page;
  }
  const Stream& stream = it->second;
  page.first_kept = stream.first_kept;
  page.head = stream.first_kept + stream.records.size();
  const uint64_t begin = std::max(from, page.first_kept);
  for (uint64_t offset = begin; offset < page.head && page.records.size() < max;
       ++offset) {
    page.records.push_back(
        {offset, stream.records[offset - stream.first_kept].data});
  }
  return page;
}

// The newest record always stays, so that the head can be told from it.
void LogStreams::DropOld(Stream& stream, TimePoint now) const {
  while (stream.records.size() > 1 &&
         (stream.records.size() > m_retention.records ||
          stream.bytes > m_retention.bytes ||
          now - stream.records.front().appended > m_retention.age)) {
    stream.bytes -= stream.records.front().data.size();
    stream.records.pop_front();
    ++stream.first_kept;
  }
}

}  // namespace egretswitch::stand_ins
