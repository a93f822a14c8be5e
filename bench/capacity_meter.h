// What a bench run measures: processor time of this thread, live heap bytes,
// and the messages that a node sends and receives, as encoded for a link.
//
//   CpuMeter meter;
//   { const CpuMeter::Span span(meter); node.Handle(event, now); }
//   meter.ns()
#ifndef EGRETSWITCH_BENCH_CAPACITY_METER_H_
#define EGRETSWITCH_BENCH_CAPACITY_METER_H_

#include <malloc.h>
#include <time.h>

#include <cstdint>
#include <string>

#include "wire_codec.h"

namespace egretswitch::internal {

inline int64_t ThreadCpuNs() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<int64_t>(now.tv_sec) * 1'000'000'000 + now.tv_nsec;
}

// Bytes handed out by malloc and not freed, rounding of blocks included.
inline double LiveHeapBytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

class CpuMeter {
 public:
  class Span {
   public:
    explicit Span(CpuMeter& meter) : m_meter(meter), m_begin(ThreadCpuNs()) {}
    ~Span() { m_meter.m_ns += ThreadCpuNs() - m_begin; }
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

   private:
    CpuMeter& m_meter;
    const int64_t m_begin;
  };

  double ns() const { return static_cast<double>(m_ns); }
  void Reset() { m_ns = 0; }

 private:
  int64_t m_ns = 0;
};

// Frames of one direction: msgpack body and the 4-byte length before it.
struct Traffic {
  double messages = 0;
  double bytes = 0;

  void Add(const Message& message) {
    std::string frame;
    EncodeMessage(message, &frame);
    ++messages;
    bytes += 4 + static_cast<double>(frame.size());
  }
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_CAPACITY_METER_H_
