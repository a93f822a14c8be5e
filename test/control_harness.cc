#include "control_harness.h"

#include <algorithm>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

EntryOptions OptionsFor(const std::string& name) {
  EntryOptions options;
  options.self.name = name;
  options.self.incarnation = ControlHarness::kIncarnation;
  options.address = "127.0.0.1:7000";
  options.shard_count = ControlHarness::kShards;
  return options;
}

}  // namespace

ControlHarness::ControlHarness(std::string entry_name)
    : name(std::move(entry_name)),
      control(OptionsFor(name), &context, &directory, &kernel) {
  control.SetObserver(this);
  control.SetIdle([this] { return idle; });
}

uint64_t ControlHarness::Put(RecordBody body, std::string append_id) {
  log.push_back({head(), {std::move(append_id), std::move(body)}});
  return log.back().offset;
}

void ControlHarness::PutEntry(const std::string& entry, uint64_t incarnation) {
  Put(EntryJoined{entry, incarnation, "127.0.0.1:7001", "dc", "region"});
}

void ControlHarness::RegisterAgents(const std::vector<std::string>& names) {
  for (const std::string& agent : names) {
    Put(SlotRegistered{agent, "127.0.0.1:7100", "dc", "region"});
  }
}

void ControlHarness::PutClaim(const EntryId& owner) {
  for (ShardId shard = 0; shard < kShards; ++shard) {
    PutClaim(owner, shard);
  }
}

void ControlHarness::PutClaim(const EntryId& owner, ShardId shard) {
  uint64_t epoch = 0;
  for (const ShardsClaimed& claimed : Logged<ShardsClaimed>()) {
    for (const ShardClaim& claim : claimed.claims) {
      if (claim.shard == shard) {
        epoch = std::max(epoch, claim.expected_epoch + 1);
      }
    }
  }
  Put(ShardsClaimed{owner, {{shard, epoch}}});
}

void ControlHarness::LinkEntry(const std::string& peer_name,
                               const TestPeer& peer) {
  peers[peer_name] = peer;
  Hello hello;
  hello.name = peer_name;
  hello.incarnation = peer.incarnation;
  Do([&] { control.OnLinkUp(hello); });
}

void ControlHarness::LinkAgent(const std::string& agent_name,
                               const TestAgent& agent) {
  agents[agent_name] = agent;
  Hello hello;
  hello.name = agent_name;
  hello.incarnation = agent.incarnation;
  hello.role = ProcessRole::kAgent;
  hello.memory_since_ms = agent.memory_since_ms;
  Do([&] { control.OnLinkUp(hello); });
}

void ControlHarness::Unlink(const std::string& peer) {
  const uint64_t incarnation =
      peers.contains(peer) ? peers[peer].incarnation : agents[peer].incarnation;
  peers.erase(peer);
  agents.erase(peer);
  Do([&] { control.OnLinkDown({peer, incarnation}); });
}

void ControlHarness::Refuse(const std::string& peer, MonoTime dialled_at) {
  Do([&] { control.OnRefused({peer, dialled_at}); });
}

void ControlHarness::Arrive(const std::string& peer,
                            uint64_t incarnation,
                            Message message) {
  Do([&] { control.OnMessage({peer, incarnation, std::move(message)}); });
}

void ControlHarness::Advance(absl::Duration by) {
  const MonoTime until = now.mono + by;
  while (now.mono < until) {
    const absl::Duration step = std::min(kTickPeriod, until - now.mono);
    now.mono += step;
    now.wall_ms += absl::ToInt64Milliseconds(step);
    Do([&] { control.OnTick(); });
    AnswerRead();
  }
}

std::vector<ReleasedJob> ControlHarness::StartedJobs(ShardId shard) const {
  const auto jobs = started.find(shard);
  return jobs == started.end() ? std::vector<ReleasedJob>() : jobs->second;
}

void ControlHarness::OnShardLost(ShardId shard) {
  lost.push_back(shard);
  for (const Send& send : sent) {
    released_before_lost |=
        std::holds_alternative<ShardsReleased>(send.message);
  }
}

void ControlHarness::Carry(const Actions& actions) {
  for (const Action& action : actions) {
    std::visit([this](const auto& typed) { CarryOne(typed); }, action);
  }
}

void ControlHarness::CarryOne(const Send& send) {
  sent.push_back(send);
  if (const auto* ping = std::get_if<PeerPing>(&send.message)) {
    const auto peer = peers.find(send.peer);
    if (peer != peers.end() && peer->second.answers) {
      PeerStatus status;
      status.fold_offset =
          peer->second.fold_offset.value_or(control.control().next_offset());
      status.lacks_log = peer->second.lacks_log;
      status.draining = peer->second.draining;
      Arrive(send.peer, peer->second.incarnation,
             PeerPong{ping->sequence, status});
    }
  } else if (const auto* fence = std::get_if<FenceShards>(&send.message)) {
    const auto agent = agents.find(send.peer);
    if (agent != agents.end() && agent->second.answers) {
      Arrive(send.peer, agent->second.incarnation,
             FenceReply{fence->shards, agent->second.memory_since_ms,
                        agent->second.holdings});
    }
  }
}

void ControlHarness::CarryOne(const ReadLog& read) {
  reads.push_back(read);
  if (log_mode == TestLogMode::kDown) {
    Do([&] { control.log().OnReadFailed({read.asked_at}); });
  } else if (log_mode != TestLogMode::kSilent) {
    m_read = read;
    AnswerRead();
  }
}

// Answers the waiting read when there are records, or its wait is over.
void ControlHarness::AnswerRead() {
  if (!m_read) {
    return;
  }
  if (log_mode == TestLogMode::kSilent) {
    m_read.reset();
    return;
  }
  const ReadLog read = *m_read;
  if (log_mode == TestLogMode::kDown) {
    m_read.reset();
    Do([&] { control.log().OnReadFailed({read.asked_at}); });
    return;
  }
  if (head() <= read.from && now.mono < read.asked_at + read.wait) {
    return;
  }
  m_read.reset();
  LogReadDone done{read.asked_at, first_kept, head(), {}};
  for (const LogEntry& entry : log) {
    if (entry.offset >= read.from) {
      done.entries.push_back(entry);
    }
  }
  Do([&] { control.log().OnReadDone(done); });
}

void ControlHarness::CarryOne(const AppendLog& append) {
  const std::string id = append.record.append_id;
  if (log_mode == TestLogMode::kSilent) {
    return;
  }
  if (log_mode == TestLogMode::kUp || log_mode == TestLogMode::kLoseReply) {
    const uint64_t offset = Put(append.record.body, id);
    if (log_mode == TestLogMode::kUp) {
      Do([&] { control.log().OnAppendDone({id, offset}); });
      return;
    }
  }
  const bool unknown = log_mode != TestLogMode::kDown;
  Do([&] { control.log().OnAppendFailed({id, unknown}); });
}

}  // namespace egretswitch::internal
