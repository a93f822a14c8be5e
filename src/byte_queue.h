// A queue of bytes: appended at the back, consumed from the front, without
// moving the rest on every step.
//
//   queue.back() += "hello"; queue.Consume(2); queue.front()  // "llo"
#ifndef EGRETSWITCH_SRC_BYTE_QUEUE_H_
#define EGRETSWITCH_SRC_BYTE_QUEUE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace egretswitch::internal {

class ByteQueue {
 public:
  // Where to append. Bytes before front() must not be touched.
  std::string& back() { return m_bytes; }

  std::string_view front() const {
    return std::string_view(m_bytes).substr(m_head);
  }
  size_t size() const { return m_bytes.size() - m_head; }
  bool empty() const { return size() == 0; }

  void Consume(size_t count) {
    m_head += count;
    if (m_head == m_bytes.size()) {
      Clear();
    } else if (m_head >= kKeptBytes && m_head >= size()) {
      m_bytes.erase(0, m_head);
      m_head = 0;
    }
  }

  // Gives back the memory that a rare large burst took.
  void Clear() {
    m_head = 0;
    m_bytes.clear();
    if (m_bytes.capacity() > kKeptBytes) {
      m_bytes.shrink_to_fit();
    }
  }

 private:
  static constexpr size_t kKeptBytes = 1u << 20;

  std::string m_bytes;
  size_t m_head = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_BYTE_QUEUE_H_
