#include "policy_queue_models.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <vector>

namespace egretswitch::bench {
namespace {

using internal::VirtualTime;

// What the three models share: arrivals, ends of tasks and answers.
class QueueModel {
 public:
  QueueModel(const Workload& workload, uint64_t seed)
      : m_workload(workload),
        m_time(seed),
        m_random(seed),
        m_left(workload.jobs.size()) {
    m_run.jobs.resize(workload.jobs.size());
    m_run.work_ms_by_row.resize(workload.rows.size());
  }
  virtual ~QueueModel() = default;
  QueueModel(const QueueModel&) = delete;
  QueueModel& operator=(const QueueModel&) = delete;

  PolicyRun Run() {
    for (size_t job = 0; job < m_workload.jobs.size(); ++job) {
      const ArrivingJob& arriving = m_workload.jobs[job];
      m_left[job] = static_cast<uint32_t>(arriving.run_ms.size());
      m_time.At(arriving.at + m_workload.deployment.to_caller,
                [this, job] { OnArrival(job); });
    }
    m_time.RunUntil(m_workload.end);
    return std::move(m_run);
  }

 protected:
  virtual void OnArrival(size_t job) = 0;

  const ArrivingJob& JobAt(size_t job) const { return m_workload.jobs[job]; }
  VirtualUs hop() const { return m_workload.deployment.between_centres; }
  bool InTrouble(uint32_t worker, Trouble trouble) const {
    return worker == 0 && m_workload.condition.trouble == trouble;
  }
  bool IsMeasured() const {
    return m_time.now() >= m_workload.measured_from &&
           m_time.now() < m_workload.measured_until;
  }

  void Count(const char* kind, uint64_t messages) {
    if (IsMeasured()) {
      m_run.messages[kind] += messages;
    }
  }

  void CountJob() {
    if (IsMeasured()) {
      ++m_run.jobs_sent;
    }
    Count("caller", 2);
  }

  // Time from the start of a task at the worker to its end there.
  VirtualUs StartTask(size_t job, uint32_t task, uint32_t worker) {
    const uint32_t run_ms = JobAt(job).run_ms[task];
    if (IsMeasured()) {
      ++m_run.tasks_started;
      m_run.work_ms_by_row[JobAt(job).row] += run_ms;
    }
    Count("start", 2);
    if (InTrouble(worker, Trouble::kFailingWorker)) {
      return kFailAfter;
    }
    return Ms(run_ms) *
           (InTrouble(worker, Trouble::kStraggler) ? kStraggleFactor : 1);
  }

  void End(size_t job, JobEnd end) {
    JobResult& result = m_run.jobs[job];
    if (result.end == JobEnd::kOpen) {
      result.end = end;
      result.answered = m_time.now() + m_workload.deployment.to_caller;
    }
  }

  // The entry has heard of the end of one task.
  void OnTaskEnded(size_t job, uint32_t worker) {
    if (InTrouble(worker, Trouble::kFailingWorker)) {
      End(job, JobEnd::kFailed);
    } else if (--m_left[job] == 0) {
      End(job, JobEnd::kServed);
    }
  }

  uint32_t DrawWorker() {
    return static_cast<uint32_t>(m_random() % m_workload.deployment.workers);
  }

  const Workload& m_workload;
  VirtualTime m_time;
  std::mt19937_64 m_random;
  std::vector<uint32_t> m_left;  // tasks without a result, of each job
  PolicyRun m_run;
};

class RandomWorker : public QueueModel {
 public:
  RandomWorker(const Workload& workload, uint64_t seed)
      : QueueModel(workload, seed), m_running(workload.deployment.workers) {}

 private:
  void OnArrival(size_t job) override {
    CountJob();
    for (uint32_t task = 0; task < JobAt(job).run_ms.size(); ++task) {
      m_time.After(hop(), [this, job, task, worker = DrawWorker()] {
        OnTask(job, task, worker);
      });
    }
  }

  void OnTask(size_t job, uint32_t task, uint32_t worker) {
    if (m_running[worker] == m_workload.deployment.slots_per_worker) {
      Count("start", 2);
      m_time.After(hop(), [this, job] { End(job, JobEnd::kRefused); });
      return;
    }
    ++m_running[worker];
    const VirtualUs run = StartTask(job, task, worker);
    m_time.After(run, [this, worker] { --m_running[worker]; });
    m_time.After(run + hop(),
                 [this, job, worker] { OnTaskEnded(job, worker); });
  }

  std::vector<uint32_t> m_running;  // of each worker
};

class TwoChoices : public QueueModel {
 public:
  TwoChoices(const Workload& workload, uint64_t seed)
      : QueueModel(workload, seed), m_workers(workload.deployment.workers) {}

 private:
  struct Task {
    size_t job = 0;
    uint32_t task = 0;
  };
  struct Worker {
    uint32_t running = 0;
    std::deque<Task> queue;
    size_t length() const { return running + queue.size(); }
  };

  void OnArrival(size_t job) override {
    CountJob();
    for (uint32_t task = 0; task < JobAt(job).run_ms.size(); ++task) {
      const uint32_t first = DrawWorker();
      const uint32_t second = DrawWorker();
      Count("probe", 4);
      m_time.After(2 * hop(), [this, job, task, first, second] {
        const uint32_t worker =
            m_workers[second].length() < m_workers[first].length() ? second
                                                                   : first;
        m_time.After(hop(), [this, job, task, worker] {
          m_workers[worker].queue.push_back({job, task});
          StartNext(worker);
        });
      });
    }
  }

  void StartNext(uint32_t number) {
    Worker& worker = m_workers[number];
    while (!worker.queue.empty() &&
           worker.running < m_workload.deployment.slots_per_worker) {
      const Task next = worker.queue.front();
      worker.queue.pop_front();
      if (m_time.now() > JobAt(next.job).deadline) {
        End(next.job, JobEnd::kRefused);
        continue;
      }
      ++worker.running;
      const VirtualUs run = StartTask(next.job, next.task, number);
      m_time.After(run, [this, number] {
        --m_workers[number].running;
        StartNext(number);
      });
      m_time.After(run + hop(), [this, job = next.job, number] {
        OnTaskEnded(job, number);
      });
    }
  }

  std::vector<Worker> m_workers;
};

class CentralQueue : public QueueModel {
 public:
  explicit CentralQueue(const Workload& workload)
      : QueueModel(workload, 1),
        m_waiting(workload.jobs.size()),
        m_free(workload.deployment.slots()) {
    if (InTrouble(0, Trouble::kStraggler) ||
        InTrouble(0, Trouble::kFailingWorker)) {
      m_free -= workload.deployment.slots_per_worker;
    }
  }

 private:
  static constexpr uint32_t kSoundWorker = 1;

  struct Waiting {
    double work_ms = 0;
    std::vector<uint32_t> tasks;  // the longest last
  };
  struct Place {
    double work_ms = 0;
    size_t job = 0;
    auto operator<=>(const Place&) const = default;
  };

  void OnArrival(size_t job) override {
    CountJob();
    Waiting& waiting = m_waiting[job];
    const std::vector<uint32_t>& run_ms = JobAt(job).run_ms;
    waiting.work_ms = JobAt(job).WorkMs();
    for (uint32_t task = 0; task < run_ms.size(); ++task) {
      waiting.tasks.push_back(task);
    }
    std::sort(waiting.tasks.begin(), waiting.tasks.end(),
              [&](uint32_t a, uint32_t b) { return run_ms[a] < run_ms[b]; });
    m_queue.insert({waiting.work_ms, job});
    StartMore();
  }

  void StartMore() {
    while (m_free > 0 && !m_queue.empty()) {
      const size_t job = m_queue.begin()->job;
      m_queue.erase(m_queue.begin());
      if (m_time.now() > JobAt(job).deadline) {
        End(job, JobEnd::kRefused);
        continue;
      }
      StartOne(job);
    }
  }

  void StartOne(size_t job) {
    Waiting& waiting = m_waiting[job];
    const uint32_t task = waiting.tasks.back();
    waiting.tasks.pop_back();
    waiting.work_ms -= JobAt(job).run_ms[task];
    if (!waiting.tasks.empty()) {
      m_queue.insert({waiting.work_ms, job});
    }
    --m_free;
    const VirtualUs run = StartTask(job, task, kSoundWorker);
    m_time.After(run, [this] {
      ++m_free;
      StartMore();
    });
    m_time.After(run + 2 * hop(),
                 [this, job] { OnTaskEnded(job, kSoundWorker); });
  }

  std::vector<Waiting> m_waiting;
  std::set<Place> m_queue;
  uint32_t m_free;
};

}  // namespace

PolicyRun RunRandomWorker(const Workload& workload, uint64_t seed) {
  return RandomWorker(workload, seed).Run();
}

PolicyRun RunTwoChoices(const Workload& workload, uint64_t seed) {
  return TwoChoices(workload, seed).Run();
}

PolicyRun RunCentralQueue(const Workload& workload) {
  return CentralQueue(workload).Run();
}

}  // namespace egretswitch::bench
