// A load of callers against the entries, bounded in time, with a record of what
// each caller saw.
//
//   load --entries 127.0.0.1:8080,127.0.0.1:8081 --profile order_desk
//        --utilisation 0.5 --seconds 20 --seed 1 --record callers.jsonl
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "caller.h"
#include "event_loop.h"
#include "job_plan.h"

namespace egretswitch::load {
namespace {

constexpr int kExitUserError = 2;
constexpr absl::Duration kProgressPeriod = absl::Seconds(5);

struct LoadOptions {
  CallerOptions caller;
  Profile profile = Profile::kOrderDesk;
  double utilisation = 0.5;
  double jobs_per_second = 0;  // 0: from the utilisation
  double seconds = 10;
  uint32_t bursts = 0;
  uint32_t no_op_tasks = 100;
  uint32_t in_flight = 0;  // closed loop with this many jobs; 0: open loop
  uint64_t seed = 1;
  std::string record;
};

class Load {
 public:
  Load(internal::EventLoop& loop, const LoadOptions& options)
      : m_loop(loop),
        m_options(options),
        m_plan(options.profile, options.seed, options.no_op_tasks),
        m_random(options.seed + 1),
        m_record(options.record),
        m_caller(loop,
                 options.caller,
                 options.seed + 2,
                 [this](const CallerRecord& record) { OnDone(record); }) {}

  void Start() {
    m_end = internal::EventLoop::MonoNow() + absl::Seconds(m_options.seconds);
    if (m_options.in_flight > 0) {
      for (uint32_t i = 0; i < m_options.in_flight; ++i) {
        SubmitNext();
      }
    } else {
      ScheduleArrival();
    }
    for (uint32_t i = 0; i < m_options.bursts; ++i) {
      ScheduleBurst((i + 1.0) / (m_options.bursts + 1.0));
    }
    ScheduleProgress();
  }

 private:
  bool Over() const { return internal::EventLoop::MonoNow() >= m_end; }

  double JobsPerSecond() const {
    if (m_options.jobs_per_second > 0) {
      return m_options.jobs_per_second;
    }
    const double slot_ms_per_second = 1000.0 * m_options.caller.slots;
    return m_options.utilisation * slot_ms_per_second / m_plan.MeanWorkMs();
  }

  void SubmitNext() {
    ++m_submitted;
    m_caller.Submit(m_plan.Next());
  }

  // Arrivals of independent callers: exponential times between them. They are
  // due at planned moments, so that a slow turn of the loop drops none.
  void ScheduleArrival() {
    std::exponential_distribution<double> pause(m_rate);
    m_next_arrival += absl::Seconds(pause(m_random));
    const absl::Duration wait = m_next_arrival - internal::EventLoop::MonoNow();
    m_loop.RunAfter(std::max(wait, absl::ZeroDuration()), [this] {
      if (Over()) {
        StopWhenDone();
        return;
      }
      SubmitNext();
      ScheduleArrival();
    });
  }

  void ScheduleBurst(double fraction) {
    m_loop.RunAfter(absl::Seconds(m_options.seconds * fraction), [this] {
      constexpr int kJobsOfBurst = 3;
      for (int i = 0; i < kJobsOfBurst; ++i) {
        ++m_submitted;
        m_caller.Submit(m_plan.NextOfBurst());
      }
    });
  }

  void ScheduleProgress() {
    m_loop.RunAfter(kProgressPeriod, [this] {
      std::cerr << "load: submitted=" << m_submitted
                << " finished=" << m_finished
                << " open=" << m_caller.jobs_open() << "\n";
      ScheduleProgress();
    });
  }

  void OnDone(const CallerRecord& record) {
    ++m_finished;
    m_tasks_answered += record.outcome == kComplete ? record.tasks : 0;
    if (m_record.is_open()) {
      m_record << nlohmann::json(record).dump() << "\n";
    }
    if (m_options.in_flight > 0 && !Over()) {
      // In a later turn: a caller that answers itself must not recurse.
      m_loop.RunAfter(absl::ZeroDuration(), [this] { SubmitNext(); });
      return;
    }
    StopWhenDone();
  }

  void StopWhenDone() {
    if (Over() && m_caller.jobs_open() == 0) {
      std::cout << "load: jobs=" << m_finished
                << " tasks_answered=" << m_tasks_answered
                << " tasks_per_second=" << m_tasks_answered / m_options.seconds
                << "\n";
      m_loop.Stop();
    }
  }

  internal::EventLoop& m_loop;
  const LoadOptions m_options;
  JobPlan m_plan;
  std::mt19937_64 m_random;
  std::ofstream m_record;
  Caller m_caller;
  const double m_rate = JobsPerSecond();
  absl::Duration m_end;
  absl::Duration m_next_arrival = internal::EventLoop::MonoNow();
  uint64_t m_submitted = 0;
  uint64_t m_finished = 0;
  uint64_t m_tasks_answered = 0;
};

cxxopts::Options MakeArguments() {
  cxxopts::Options options("load", "Callers that send jobs and check answers.");
  options.add_options()("entries", "callers' addresses, comma separated",
                        cxxopts::value<std::vector<std::string>>())(
      "profile", "order_desk, listings or no_op",
      cxxopts::value<std::string>()->default_value("order_desk"))(
      "team", "", cxxopts::value<std::string>()->default_value("desk"))(
      "utilisation", "share of the slots' time",
      cxxopts::value<double>()->default_value("0.5"))(
      "jobs-per-second", "instead of a utilisation",
      cxxopts::value<double>()->default_value("0"))(
      "in-flight", "closed loop with this many jobs",
      cxxopts::value<uint32_t>()->default_value("0"))(
      "tasks", "tasks of a no_op job",
      cxxopts::value<uint32_t>()->default_value("100"))(
      "slots", "slots of all workers",
      cxxopts::value<uint32_t>()->default_value("88"))(
      "duplicates", "share of jobs sent twice",
      cxxopts::value<double>()->default_value("0.02"))(
      "bursts", "", cxxopts::value<uint32_t>()->default_value("0"))(
      "seconds", "", cxxopts::value<double>()->default_value("10"))(
      "seed", "", cxxopts::value<uint64_t>()->default_value("1"))(
      "record", "file for the callers' records",
      cxxopts::value<std::string>()->default_value(""))("help", "");
  return options;
}

int Main(int argc, char** argv) {
  cxxopts::Options definition = MakeArguments();
  LoadOptions options;
  try {
    const auto arguments = definition.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << definition.help();
      return EXIT_SUCCESS;
    }
    if (arguments.count("entries") == 0 ||
        !ParseProfile(arguments["profile"].as<std::string>(),
                      &options.profile)) {
      std::cerr << "user error: --entries is missing or --profile is unknown\n";
      return kExitUserError;
    }
    options.caller.entries =
        arguments["entries"].as<std::vector<std::string>>();
    options.caller.team = arguments["team"].as<std::string>();
    options.caller.slots = arguments["slots"].as<uint32_t>();
    options.caller.duplicate_share = arguments["duplicates"].as<double>();
    options.utilisation = arguments["utilisation"].as<double>();
    options.jobs_per_second = arguments["jobs-per-second"].as<double>();
    options.in_flight = arguments["in-flight"].as<uint32_t>();
    options.no_op_tasks = arguments["tasks"].as<uint32_t>();
    options.bursts = arguments["bursts"].as<uint32_t>();
    options.seconds = arguments["seconds"].as<double>();
    options.seed = arguments["seed"].as<uint64_t>();
    options.record = arguments["record"].as<std::string>();
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return kExitUserError;
  }
  options.caller.id_prefix = std::to_string(options.seed) + "-" +
                             std::to_string(internal::EventLoop::WallNowMs());
  internal::EventLoop loop;
  Load load(loop, options);
  load.Start();
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace egretswitch::load

int main(int argc, char** argv) {
  return egretswitch::load::Main(argc, argv);
}
