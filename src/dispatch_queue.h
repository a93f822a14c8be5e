// The order in which waiting tasks are started.
//
// Between rows: start-time fair queueing by weight. Within a row: the job with
// the least estimated work left first, with ageing:
//
//   key = work left (ms) + ageing clock when the job came (ms)
//
// The ageing clock runs kAgeingShare * slots times as fast as time. A job that
// comes later overtakes only while it is less work by what the clock has gained
// in between, so a job of W ms of work is overtaken at most for
// W / (kAgeingShare * slots) ms: ten times its ideal run time on all slots.
//
//   job of 100 x 200 ms at t = 0; job of 1 x 200 ms at t = 1 s, 88 slots:
//   keys 20000 and 200 + 8800: the small one goes first
#ifndef EGRETSWITCH_SRC_DISPATCH_QUEUE_H_
#define EGRETSWITCH_SRC_DISPATCH_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "clock.h"
#include "owned_job.h"
#include "run_time_estimate.h"

namespace egretswitch::internal {

// One kind of work at this owner.
struct QueueRow {
  static constexpr uint32_t kNoLimit = UINT32_MAX;

  std::string kind;
  uint32_t weight = 1;
  uint32_t running_limit = kNoLimit;  // this owner's share of max_running
  uint32_t queued_limit = kNoLimit;   // this owner's share of max_queued
  uint32_t running = 0;               // tasks sent and without a result
  uint32_t waiting = 0;               // tasks
  double work_ms = 0;                 // estimated, of the waiting tasks
  RunTimeEstimate estimate;
};

class DispatchQueue {
 public:
  static constexpr double kAgeingShare = 0.1;
  // Jobs of one row that a pass tries to place before it gives the row up.
  static constexpr uint32_t kMostTried = 16;

  // Number of the row of `kind`, made when it is new.
  uint32_t RowOf(std::string_view kind);
  QueueRow& row(uint32_t row) { return m_rows[row].row; }
  const QueueRow& row(uint32_t row) const { return m_rows[row].row; }
  uint32_t row_count() const { return static_cast<uint32_t>(m_rows.size()); }

  // Lets the ageing clock go on; `slots` are those of all linked workers.
  void Advance(MonoTime now, uint32_t slots);
  double ageing_clock() const { return m_ageing_clock; }

  // Puts the job where its waiting tasks belong now; out when none waits or
  // may start.
  void Put(OwnedJob& job);
  void Remove(OwnedJob& job);

  bool empty() const { return m_backlogged.empty(); }
  uint32_t waiting() const { return m_waiting; }

  // Estimated work of the job's waiting tasks.
  double WorkMsOf(const OwnedJob& job) const;

  // Estimated work in the row that goes before a new job of `work_ms`.
  double WorkAheadMs(uint32_t row, double work_ms) const;

  // Sum of the weights of the rows that have waiting tasks.
  uint32_t BackloggedWeight() const;

  // ---- One pass: Head() until it is null ----
  void BeginPass();

  // The job to start next, or null when no row may start anything.
  OwnedJob* Head();

  // No free worker fits this head: look at the next job of its row.
  void PassOver(const OwnedJob& job);

  // `tasks` of the job were started: its row has had its turn.
  void Charge(const OwnedJob& job, uint32_t tasks);

 private:
  static constexpr int kWorkBuckets = 40;

  struct OrderedJob {
    double key;
    uint64_t serial;
    OwnedJob* job;
    bool operator<(const OrderedJob& other) const {
      return key != other.key ? key < other.key : serial < other.serial;
    }
  };

  struct Row {
    QueueRow row;
    double start_tag = 0;  // virtual time of its next start
    uint32_t passed_over = 0;
    std::set<OrderedJob> jobs;
    std::array<double, kWorkBuckets> work_by_size{};
  };

  static int BucketOf(double work_ms);
  bool MayStart(const Row& row) const;

  std::deque<Row> m_rows;
  std::map<std::string, uint32_t, std::less<>> m_row_by_kind;
  std::set<uint32_t> m_backlogged;
  double m_virtual_time = 0;
  double m_ageing_clock = 0;
  MonoTime m_advanced_at = absl::ZeroDuration();
  uint32_t m_waiting = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DISPATCH_QUEUE_H_
