#include "policy_node_driver.h"

#include <cstdlib>
#include <type_traits>
#include <variant>

#include "node_limits.h"

namespace egretswitch::bench {
namespace {

using internal::AgentEvent;
using internal::EntryEvent;

constexpr int64_t kWallStartMs = 1'700'000'000'000;
constexpr VirtualUs kToWorker = 100;  // one way, agent and worker side by side
constexpr VirtualUs kToLog = 500;     // one way
const char* const kTeam = "bench";

template <typename Event, typename Variant>
struct IsAlternative;
template <typename Event, typename... Alternatives>
struct IsAlternative<Event, std::variant<Alternatives...>>
    : std::disjunction<std::is_same<Event, Alternatives>...> {};

const char* KindOf(const internal::Message& message) {
  static constexpr const char* kKinds[] = {
      "hello",           "peer_ping",      "peer_pong",     "log_relay",
      "forward",         "forward_answer", "forward_moved", "cancel_job",
      "shards_released", "start",          "cancel_tasks",  "fence",
      "fence_reply",     "want",           "agent_status",  "reports",
      "run_message"};
  static_assert(std::size(kKinds) == std::variant_size_v<internal::Message>);
  return kKinds[message.index()];
}

internal::Hello HelloOf(const std::string& name,
                        uint32_t number,
                        const Deployment& deployment) {
  internal::Hello hello;
  hello.name = name;
  hello.incarnation = 1000 + number;
  hello.data_centre = "dc-" + std::to_string(number % deployment.data_centres);
  hello.region = "region";
  return hello;
}

}  // namespace

NodeDriver::NodeDriver(const Workload& workload, uint64_t seed)
    : m_workload(workload),
      m_time(seed),
      m_log(m_time, internal::kDefaultShardCount) {
  m_run.jobs.resize(workload.jobs.size());
  m_run.work_ms_by_row.resize(workload.rows.size());
  PutRows();
  for (uint32_t i = 0; i < workload.deployment.entries; ++i) {
    AddEntry(i);
  }
  for (uint32_t i = 0; i < workload.deployment.workers; ++i) {
    AddAgent(i);
  }
}

void NodeDriver::PutRows() {
  for (const WorkloadRow& row : m_workload.rows) {
    internal::RowEdited edit;
    edit.edit_id = "first-" + row.kind;
    edit.row.kind = row.kind;
    edit.row.weight = row.weight;
    m_log.Put({edit.edit_id, edit});
  }
}

void NodeDriver::AddEntry(uint32_t number) {
  internal::EntryOptions options;
  options.self =
      HelloOf("entry-" + std::to_string(number), number, m_workload.deployment);
  options.address = options.self.name;
  options.random_seed = static_cast<uint64_t>(m_time.Random(1, 1LL << 60));
  Node node;
  node.hello = options.self;
  node.entry = std::make_unique<internal::EntryNode>(options);
  m_numbers[node.hello.name] = static_cast<uint32_t>(m_nodes.size());
  m_nodes.push_back(std::move(node));
}

void NodeDriver::AddAgent(uint32_t number) {
  internal::AgentOptions options;
  options.self =
      HelloOf("agent-" + std::to_string(number), number, m_workload.deployment);
  options.self.role = internal::ProcessRole::kAgent;
  options.self.slots = m_workload.deployment.slots_per_worker;
  options.self.memory_since_ms = kWallStartMs;
  options.address = options.self.name;
  Node node;
  node.hello = options.self;
  node.agent = std::make_unique<internal::AgentNode>(options);
  m_numbers[node.hello.name] = static_cast<uint32_t>(m_nodes.size());
  m_nodes.push_back(std::move(node));
}

PolicyRun NodeDriver::Run() {
  for (uint32_t node = 0; node < m_nodes.size(); ++node) {
    ScheduleTick(node);
    if (m_nodes[node].agent) {
      m_time.After(kToWorker, [this, node] {
        Handle(node, internal::WorkerTasksListed{});
      });
    }
  }
  ScheduleNextJob(0);
  m_time.RunUntil(m_workload.end);
  return std::move(m_run);
}

// The nodes' ticks are spread over the period, as those of real processes.
void NodeDriver::ScheduleTick(uint32_t node) {
  const VirtualUs period = absl::ToInt64Microseconds(internal::kTickPeriod);
  const VirtualUs next = (m_time.now() / period + 1) * period +
                         node * period / static_cast<VirtualUs>(m_nodes.size());
  m_time.At(next, [this, node] {
    Handle(node, internal::Tick{});
    ScheduleTick(node);
  });
}

// ---- Callers ----------------------------------------------------------------

void NodeDriver::ScheduleNextJob(size_t job) {
  if (job < m_workload.jobs.size()) {
    m_time.At(m_workload.jobs[job].at, [this, job] {
      Submit(job);
      ScheduleNextJob(job + 1);
    });
  }
}

void NodeDriver::Submit(size_t number) {
  const ArrivingJob& job = m_workload.jobs[number];
  Submission submission;
  submission.key = {kTeam, std::to_string(number)};
  submission.kind = m_workload.rows[job.row].kind;
  submission.submitted_ms = kWallStartMs + job.at / 1000;
  submission.deadline_ms = kWallStartMs + job.deadline / 1000;
  submission.repeatable = job.repeatable;
  for (size_t i = 0; i < job.run_ms.size(); ++i) {
    submission.tasks.push_back(
        {std::to_string(job.run_ms[i]), job.declared_ms[i], {}});
  }
  if (IsMeasured()) {
    ++m_run.jobs_sent;
  }
  Count("caller");
  m_time.After(
      m_workload.deployment.to_caller,
      [this, number, entry = job.entry, submission = std::move(submission)] {
        Handle(entry, internal::CallerSubmitted{number, submission});
      });
}

void NodeDriver::Do(uint32_t, const internal::AnswerCaller& answer) {
  Count("caller");
  JobResult& result = m_run.jobs[answer.token];
  result.answered = m_time.now() + m_workload.deployment.to_caller;
  const auto* refusal = std::get_if<JobRefusal>(&answer.outcome);
  if (refusal == nullptr) {
    result.end = JobEnd::kServed;
    return;
  }
  result.end = refusal->verdict == RunVerdict::kNotRun ? JobEnd::kRefused
                                                       : JobEnd::kFailed;
  result.reason = RefusalReasonName(refusal->reason);
  result.retry_after_ms = refusal->retry_after_ms;
}

// ---- Events and actions -----------------------------------------------------

Now NodeDriver::Clocks() const {
  return {absl::Microseconds(m_time.now()), kWallStartMs + m_time.now() / 1000};
}

bool NodeDriver::IsMeasured() const {
  return m_time.now() >= m_workload.measured_from &&
         m_time.now() < m_workload.measured_until;
}

void NodeDriver::Count(const char* kind) {
  if (IsMeasured()) {
    ++m_run.messages[kind];
  }
}

uint32_t NodeDriver::NumberOf(const std::string& name) const {
  return m_numbers.at(name);
}

VirtualUs NodeDriver::DelayBetween(uint32_t a, uint32_t b) const {
  return m_nodes[a].hello.data_centre == m_nodes[b].hello.data_centre
             ? m_workload.deployment.within_centre
             : m_workload.deployment.between_centres;
}

template <typename Event>
void NodeDriver::Handle(uint32_t number, const Event& event) {
  Node& node = m_nodes[number];
  internal::Actions actions;
  if constexpr (IsAlternative<Event, EntryEvent>::value) {
    if (node.entry) {
      actions = node.entry->Handle(EntryEvent(event), Clocks());
    }
  }
  if constexpr (IsAlternative<Event, AgentEvent>::value) {
    if (node.agent) {
      actions = node.agent->Handle(AgentEvent(event), Clocks());
    }
  }
  for (internal::Action& action : actions) {
    std::visit([&](auto& typed) { Do(number, std::move(typed)); }, action);
  }
}

void NodeDriver::Do(uint32_t from, internal::Send send) {
  const uint32_t to = NumberOf(send.peer);
  if (!m_nodes[from].linked.contains(to)) {
    return;
  }
  Count(KindOf(send.message));
  internal::MessageArrived arrived{m_nodes[from].hello.name,
                                   m_nodes[from].hello.incarnation,
                                   std::move(send.message)};
  m_time.After(
      DelayBetween(from, to),
      [this, to, arrived = std::move(arrived)] { Handle(to, arrived); });
}

// Each wanted link comes up at both ends after one round trip.
void NodeDriver::Do(uint32_t from, const internal::SetDialTargets& targets) {
  for (const internal::PeerAddress& target : targets.peers) {
    const uint32_t to = NumberOf(target.name);
    m_time.After(2 * DelayBetween(from, to), [this, from, to] {
      if (!m_nodes[from].linked.insert(to).second) {
        return;
      }
      m_nodes[to].linked.insert(from);
      Handle(from, internal::LinkUp{m_nodes[to].hello});
      Handle(to, internal::LinkUp{m_nodes[from].hello});
    });
  }
}

internal::LogReplyTo NodeDriver::ReplyTo(uint32_t node) {
  return [this, node](const internal::LogReply& reply) {
    m_time.After(kToLog, [this, node, reply] {
      std::visit([&](const auto& typed) { Handle(node, typed); }, reply);
    });
  };
}

void NodeDriver::Do(uint32_t node, const internal::ReadLog& read) {
  m_time.After(kToLog, [this, node, read] { m_log.Read(read, ReplyTo(node)); });
}

void NodeDriver::Do(uint32_t node, const internal::AppendLog& append) {
  m_time.After(kToLog, [this, node, append] {
    m_log.Append(append.record, ReplyTo(node));
  });
}

// ---- Workers ----------------------------------------------------------------

void NodeDriver::Do(uint32_t node, const internal::StartOnWorker& start) {
  const bool in_trouble = node == m_workload.deployment.entries;
  const Trouble trouble = m_workload.condition.trouble;
  const bool fails = in_trouble && trouble == Trouble::kFailingWorker;
  int64_t run_ms = std::strtoll(start.spec.payload.c_str(), nullptr, 10);
  if (IsMeasured()) {
    ++m_run.tasks_started;
    const size_t job = std::strtoull(start.key.id.c_str(), nullptr, 10);
    m_run.work_ms_by_row[m_workload.jobs[job].row] +=
        static_cast<double>(run_ms);
  }
  if (fails) {
    run_ms = kFailAfter / 1000;
  } else if (in_trouble && trouble == Trouble::kStraggler) {
    run_ms *= kStraggleFactor;
  }
  internal::WorkerTaskEnded ended{
      start.lease,
      fails ? internal::TaskStatus::kFailed : internal::TaskStatus::kFinished,
      "done", static_cast<uint32_t>(run_ms)};
  m_time.After(2 * kToWorker + Ms(run_ms),
               [this, node, ended = std::move(ended)] { Handle(node, ended); });
}

}  // namespace egretswitch::bench
