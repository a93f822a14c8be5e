#include "shard_release.h"

#include <algorithm>
#include <string>

namespace egretswitch::internal {
namespace {

// Not less than what the codec makes of it.
size_t BytesOf(const ReleasedJob& job) {
  size_t bytes = 64 + job.key.team.size() + job.key.id.size();
  for (const StartedTasks& tasks : job.started) {
    bytes += 24 + tasks.agent.size() + 5 * tasks.indexes.size();
  }
  return bytes;
}

}  // namespace

void AddStarted(std::string_view agent,
                uint64_t incarnation,
                uint32_t index,
                std::vector<StartedTasks>* started) {
  auto it =
      std::find_if(started->begin(), started->end(), [&](const auto& tasks) {
        return tasks.agent == agent && tasks.incarnation == incarnation;
      });
  if (it == started->end()) {
    it = started->insert(it, {std::string(agent), incarnation, {}});
  }
  it->indexes.push_back(index);
}

std::vector<ShardsReleased> SplitReleases(std::vector<ShardRelease> releases,
                                          size_t most_bytes) {
  std::vector<ShardsReleased> messages(1);
  for (const ShardRelease& release : releases) {
    messages.front().shards.push_back(release.released);
    if (release.known) {
      messages.front().known.push_back(*release.known);
    }
  }
  size_t bytes = 0;
  for (ShardRelease& release : releases) {
    for (ReleasedJob& job : release.jobs) {
      const size_t more = BytesOf(job);
      if (bytes > 0 && bytes + more > most_bytes) {
        messages.emplace_back();
        bytes = 0;
      }
      bytes += more;
      messages.back().jobs.push_back(std::move(job));
    }
  }
  return messages;
}

void ReleaseOutbox::Add(const EntryId& owner, ShardRelease release) {
  m_releases[owner].push_back(std::move(release));
}

void ReleaseOutbox::Send(const PeerTable& peers,
                         const std::function<Epoch(ShardId)>& epoch_of,
                         NodeContext* context) {
  for (auto it = m_releases.begin(); it != m_releases.end();) {
    auto& [owner, releases] = *it;
    std::erase_if(releases, [&](const ShardRelease& release) {
      return epoch_of(release.released.shard) != release.released.epoch;
    });
    if (!releases.empty() && peers.IsLinked(owner)) {
      for (ShardsReleased& part : SplitReleases(std::move(releases))) {
        context->Send(owner.name, std::move(part));
      }
      releases.clear();
    }
    it = releases.empty() ? m_releases.erase(it) : std::next(it);
  }
}

// Jobs without the knowledge that they belong to came too late to be of use.
void ReleaseInbox::Take(const EntryId& from,
                        const ShardsReleased& released,
                        MonoTime now) {
  for (const ShardEpoch& shard : released.shards) {
    Stopped& stopped = m_stopped[{shard.shard, from}];
    if (shard.epoch > stopped.epoch) {
      stopped = Stopped{shard.epoch, now};
    }
  }
  for (const ShardKnowledge& known : released.known) {
    m_received.try_emplace({known.shard, known.held_epoch},
                           Received{known, {}});
  }
  for (const ReleasedJob& job : released.jobs) {
    const auto it = m_received.find({job.shard, job.held_epoch});
    if (it != m_received.end()) {
      it->second.jobs.emplace(job.key, job);
    }
  }
}

std::optional<MonoTime> ReleaseInbox::StoppedSince(ShardId shard,
                                                   const EntryId& former,
                                                   Epoch epoch) const {
  const auto it = m_stopped.find({shard, former});
  if (it == m_stopped.end() || it->second.epoch < epoch) {
    return std::nullopt;
  }
  return it->second.since;
}

bool ReleaseInbox::Expects(ShardId shard, Epoch held_epoch) const {
  return m_received.contains({shard, held_epoch});
}

const ShardKnowledge* ReleaseInbox::FindWhole(ShardId shard,
                                              Epoch held_epoch) const {
  const auto it = m_received.find({shard, held_epoch});
  const bool is_whole = it != m_received.end() &&
                        it->second.jobs.size() == it->second.known.job_count;
  return is_whole ? &it->second.known : nullptr;
}

std::vector<ReleasedJob> ReleaseInbox::TakeJobs(ShardId shard,
                                                Epoch held_epoch) {
  std::vector<ReleasedJob> jobs;
  if (FindWhole(shard, held_epoch) == nullptr) {
    return jobs;
  }
  auto received = m_received.extract({shard, held_epoch});
  for (auto& [key, job] : received.mapped().jobs) {
    jobs.push_back(std::move(job));
  }
  return jobs;
}

void ReleaseInbox::EraseKnowledgeIf(
    const std::function<bool(ShardId, Epoch)>& is_useless) {
  std::erase_if(m_received, [&](const auto& item) {
    return is_useless(item.first.first, item.first.second);
  });
}

void ReleaseInbox::ErasePassed(const std::function<Epoch(ShardId)>& epoch_of) {
  std::erase_if(m_stopped, [&](const auto& item) {
    return item.second.epoch < epoch_of(item.first.first);
  });
}

}  // namespace egretswitch::internal
