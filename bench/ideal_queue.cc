#include "ideal_queue.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

#include "task_needs.h"

namespace egretswitch::internal {
namespace {

struct Worker {
  TaskNeeds free;
  double slowness = 1;
};

struct Waiting {
  const LoadJob* job = nullptr;
  size_t number = 0;
  size_t started = 0;  // tasks
  VirtualUs last_end = 0;
};

struct End {
  VirtualUs at = 0;
  size_t worker = 0;
  TaskNeeds needs;
  bool operator<(const End& other) const { return at > other.at; }
};

using Key = std::tuple<double, VirtualUs, size_t>;

Key KeyOf(const LoadScenario& scenario,
          const LoadJob& job,
          size_t number,
          IdealOrder order) {
  double rank = 0;
  if (order == IdealOrder::kPriority) {
    rank = scenario.kinds[job.kind].priority;
  } else if (order == IdealOrder::kWorth) {
    rank = -job.worth / job.CoreSeconds();
  }
  return {rank, job.plan.at, number};
}

class IdealQueue {
 public:
  IdealQueue(const LoadScenario& scenario, IdealOrder order)
      : m_scenario(scenario), m_order(order) {
    for (const WorkerPlan& plan : scenario.workers) {
      m_workers.push_back({plan.capacity, plan.slowness});
    }
  }

  std::vector<double> Serve(const std::vector<LoadJob>& jobs) {
    m_worth.assign(jobs.size(), 0);
    for (size_t i = 0; i < jobs.size(); ++i) {
      EndUntil(jobs[i].plan.at);
      m_now = jobs[i].plan.at;
      m_waiting[KeyOf(m_scenario, jobs[i], i, m_order)] = {&jobs[i], i};
      Start();
    }
    EndUntil(m_scenario.lasts * 2);
    return m_worth;
  }

 private:
  void EndUntil(VirtualUs until) {
    while (!m_ends.empty() && m_ends.top().at <= until) {
      const End end = m_ends.top();
      m_ends.pop();
      m_now = end.at;
      TaskNeeds& free = m_workers[end.worker].free;
      free.millicores += end.needs.millicores;
      free.memory_mb += end.needs.memory_mb;
      Start();
    }
  }

  // The current factor on the run time of tasks on the worker.
  double Slowness(size_t worker) const {
    double slowness = m_workers[worker].slowness;
    for (const LoadTrouble& trouble : m_scenario.troubles) {
      const bool now =
          m_now >= trouble.at && m_now < trouble.at + trouble.lasts;
      const bool all = trouble.kind == LoadTrouble::Kind::kPowerLoss;
      const size_t count = m_workers.size();
      const auto hit =
          static_cast<size_t>(trouble.share * static_cast<double>(count) + 0.5);
      for (size_t i = 0; now && i < hit; ++i) {
        if (i * count / hit == worker) {
          slowness *=
              trouble.kind == LoadTrouble::Kind::kSlow ? trouble.factor : 1e6;
        }
      }
      slowness *= now && all ? 1e6 : 1;
    }
    return slowness;
  }

  bool WillBeLate(const Waiting& waiting) const {
    int64_t longest = 0;
    for (size_t i = waiting.started; i < waiting.job->plan.work_ms.size();
         ++i) {
      longest = std::max(longest, waiting.job->plan.work_ms[i]);
    }
    return m_now + Ms(longest) > waiting.job->plan.at + waiting.job->objective;
  }

  void Start() {
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
      Waiting& waiting = it->second;
      const bool dropped = waiting.started == 0 && WillBeLate(waiting);
      const bool done = !dropped && StartTasks(waiting);
      it = dropped || done ? m_waiting.erase(it) : std::next(it);
    }
  }

  // Returns true when the last task of the job has started.
  bool StartTasks(Waiting& waiting) {
    const JobPlan& plan = waiting.job->plan;
    while (waiting.started < plan.work_ms.size()) {
      const size_t worker = FastestWithCapacity(plan.needs);
      if (worker == m_workers.size()) {
        return false;
      }
      Subtract(m_workers[worker].free, plan.needs);
      const auto lasts = static_cast<VirtualUs>(
          Slowness(worker) *
          static_cast<double>(Ms(plan.work_ms[waiting.started])));
      m_ends.push({m_now + lasts, worker, plan.needs});
      waiting.last_end = std::max(waiting.last_end, m_now + lasts);
      ++waiting.started;
    }
    JobOutcome outcome;
    outcome.verdict = JobVerdict::kCompleted;
    outcome.ended_at = waiting.last_end;
    m_worth[waiting.number] = WorthOf(*waiting.job, outcome);
    return true;
  }

  size_t FastestWithCapacity(const TaskNeeds& needs) const {
    size_t best = m_workers.size();
    double least = 1000;  // excludes workers that hang
    for (size_t i = 0; i < m_workers.size(); ++i) {
      if (Fits(needs, m_workers[i].free) && Slowness(i) < least) {
        least = Slowness(i);
        best = i;
      }
    }
    return best;
  }

  const LoadScenario& m_scenario;
  const IdealOrder m_order;
  std::vector<Worker> m_workers;
  VirtualUs m_now = 0;
  std::priority_queue<End> m_ends;
  std::map<Key, Waiting> m_waiting;
  std::vector<double> m_worth;
};

}  // namespace

std::string_view IdealOrderName(IdealOrder order) {
  switch (order) {
    case IdealOrder::kArrival:
      return "arrival";
    case IdealOrder::kPriority:
      return "priority";
    case IdealOrder::kWorth:
      return "worth";
  }
  return "";
}

std::vector<double> ServeIdeally(const LoadScenario& scenario,
                                 const std::vector<LoadJob>& jobs,
                                 IdealOrder order) {
  return IdealQueue(scenario, order).Serve(jobs);
}

}  // namespace egretswitch::internal
