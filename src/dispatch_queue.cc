#include "dispatch_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace egretswitch::internal {

uint32_t DispatchQueue::RowOf(std::string_view kind) {
  const auto it = m_row_by_kind.find(kind);
  if (it != m_row_by_kind.end()) {
    return it->second;
  }
  const uint32_t number = row_count();
  m_rows.emplace_back().row.kind = std::string(kind);
  m_row_by_kind.emplace(std::string(kind), number);
  return number;
}

void DispatchQueue::Advance(MonoTime now, uint32_t slots) {
  const double passed_ms = absl::ToDoubleMilliseconds(now - m_advanced_at);
  m_ageing_clock += passed_ms * std::max(1.0, kAgeingShare * slots);
  m_advanced_at = now;
}

double DispatchQueue::WorkMsOf(const OwnedJob& job) const {
  const RunTimeEstimate& estimate = m_rows[job.row].row.estimate;
  return estimate.TaskMs(job.mean_declared_ms) *
         static_cast<double>(job.waiting.size());
}

int DispatchQueue::BucketOf(double work_ms) {
  const int bucket = static_cast<int>(std::log2(std::max(work_ms, 1.0)));
  return std::min(bucket, kWorkBuckets - 1);
}

void DispatchQueue::Put(OwnedJob& job) {
  Remove(job);
  if (job.waiting.empty() || job.fenced || job.unplaceable) {
    return;
  }
  Row& row = m_rows[job.row];
  if (row.jobs.empty()) {
    // A row that was idle starts now: it has no claim on the past.
    row.start_tag = std::max(row.start_tag, m_virtual_time);
    m_backlogged.insert(job.row);
  }
  QueuePlace& place = job.place;
  place.queued = true;
  place.row = job.row;
  place.work_ms = WorkMsOf(job);
  place.tasks = static_cast<uint32_t>(job.waiting.size());
  place.key = place.work_ms + job.ageing_at_entry;
  row.jobs.insert({place.key, job.serial, &job});
  row.work_by_size[BucketOf(place.work_ms)] += place.work_ms;
  row.row.work_ms += place.work_ms;
  row.row.waiting += place.tasks;
  m_waiting += place.tasks;
}

void DispatchQueue::Remove(OwnedJob& job) {
  QueuePlace& place = job.place;
  if (!place.queued) {
    return;
  }
  Row& row = m_rows[place.row];
  row.jobs.erase({place.key, job.serial, &job});
  row.work_by_size[BucketOf(place.work_ms)] -= place.work_ms;
  row.row.work_ms -= place.work_ms;
  row.row.waiting -= place.tasks;
  m_waiting -= place.tasks;
  place.queued = false;
  if (row.jobs.empty()) {
    m_backlogged.erase(place.row);
    // Sums of differences keep rounding errors: an empty row has none.
    row.work_by_size.fill(0);
    row.row.work_ms = 0;
  }
}

double DispatchQueue::WorkAheadMs(uint32_t row, double work_ms) const {
  const auto& work_by_size = m_rows[row].work_by_size;
  double ahead = 0;
  for (int bucket = 0; bucket <= BucketOf(work_ms); ++bucket) {
    ahead += work_by_size[bucket];
  }
  return ahead;
}

uint32_t DispatchQueue::BackloggedWeight() const {
  uint32_t weight = 0;
  for (const uint32_t number : m_backlogged) {
    weight += m_rows[number].row.weight;
  }
  return weight;
}

void DispatchQueue::BeginPass() {
  for (const uint32_t number : m_backlogged) {
    m_rows[number].passed_over = 0;
  }
}

bool DispatchQueue::MayStart(const Row& row) const {
  return row.row.running < row.row.running_limit &&
         row.passed_over < std::min<size_t>(row.jobs.size(), kMostTried);
}

OwnedJob* DispatchQueue::Head() {
  Row* best = nullptr;
  for (const uint32_t number : m_backlogged) {
    Row& row = m_rows[number];
    if (MayStart(row) && (!best || row.start_tag < best->start_tag)) {
      best = &row;
    }
  }
  if (!best) {
    return nullptr;
  }
  return std::next(best->jobs.begin(), best->passed_over)->job;
}

void DispatchQueue::PassOver(const OwnedJob& job) {
  ++m_rows[job.row].passed_over;
}

void DispatchQueue::Charge(const OwnedJob& job, uint32_t tasks) {
  Row& row = m_rows[job.row];
  m_virtual_time = std::max(m_virtual_time, row.start_tag);
  const double cost = row.row.estimate.TaskMs(job.mean_declared_ms) * tasks;
  row.start_tag += cost / row.row.weight;
}

}  // namespace egretswitch::internal
