#include "job_owner.h"

#include <utility>

#include "node_limits.h"
#include "retry_after.h"

namespace egretswitch::internal {
namespace {

constexpr double kIsolatedRetryMs = 1000;

}  // namespace

JobOwner::JobOwner(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_queue(kernel.Find<DispatchQueue>("queue")),
      m_store(kernel.Find<JobStore>("store")),
      m_shares(kernel.Find<OwnerShares>("shares")),
      m_wants(kernel.Find<SlotWants>("wants")),
      m_closer(kernel.Find<JobCloser>("closer")),
      m_dispatcher(kernel.Find<TaskDispatcher>("dispatch")),
      m_intake(kernel.Find<JobIntake>("intake")),
      m_progress(kernel.Find<TaskProgress>("progress")) {
  kernel.Register("owner", this);
}

std::optional<JobOutcome> JobOwner::Submit(Submission submission,
                                           uint64_t digest) {
  return m_intake.Submit("", std::move(submission), digest);
}

bool JobOwner::NeverRan(const Submission& submission) {
  const ShardId shard = ShardOf(submission.key, m_entry.shard_count);
  return m_entry.authority.Serves(shard) &&
         m_intake.NeverRan(submission, shard);
}

JobOutcome JobOwner::Cancel(const SubmissionKey& key) {
  if (OwnedJob* job = m_store.Find(key)) {
    return m_closer.Fail(*job, RefusalReason::kCancelled,
                         "cancelled by the caller");
  }
  if (const DoneJob* done = m_store.FindDone(key)) {
    return done->outcome;
  }
  return JobRefusal{RefusalReason::kUnknownPast, RunVerdict::kMayHaveRun, 0,
                    "not cancelled: no job of this id is open or remembered"};
}

void JobOwner::OnCancelJob(std::string_view entry, const SubmissionKey& key) {
  if (!m_entry.authority.Serves(ShardOf(key, m_entry.shard_count))) {
    CancelParked(key);
    return;
  }
  if (OwnedJob* job = m_store.Find(key)) {
    job->fronts.insert(std::string(entry));  // told with all the others
    Cancel(key);
    return;
  }
  const DoneJob* done = m_store.FindDone(key);
  m_entry.context.Send(
      entry, ForwardAnswer{key, done ? done->digest : 0, Cancel(key)});
}

// Its former owner may have run it, so this says no more than that.
void JobOwner::CancelParked(const SubmissionKey& key) {
  const auto it = m_parked.find(ShardOf(key, m_entry.shard_count));
  if (it == m_parked.end()) {
    return;
  }
  std::erase_if(it->second, [&](const ParkedForward& parked) {
    if (parked.submission.key != key) {
      return false;
    }
    m_entry.context.Send(parked.entry,
                         ForwardAnswer{key, parked.digest,
                                       JobRefusal{RefusalReason::kCancelled,
                                                  RunVerdict::kMayHaveRun, 0,
                                                  "cancelled by the caller"}});
    return true;
  });
}

void JobOwner::Take(std::string_view entry,
                    Submission submission,
                    uint64_t digest) {
  const SubmissionKey key = submission.key;
  if (auto outcome = m_intake.Submit(entry, std::move(submission), digest)) {
    m_entry.context.Send(entry, ForwardAnswer{key, digest, *outcome});
  }
}

void JobOwner::OnForward(std::string_view entry, Forward forward) {
  Submission& submission = forward.submission;
  const uint64_t digest = DigestOf(submission);
  const ShardId shard = ShardOf(submission.key, m_entry.shard_count);
  if (m_entry.authority.Serves(shard)) {
    Take(entry, std::move(submission), digest);
    return;
  }
  const std::optional<EntryId> owner = m_entry.authority.OwnerOf(shard);
  if (owner && owner->name == m_entry.self.name) {
    m_parked[shard].push_back({std::string(entry), std::move(submission),
                               digest, m_entry.context.now().mono});
    return;
  }
  m_entry.context.Send(entry, ForwardMoved{submission.key, digest});
}

std::vector<JobOwner::ParkedForward> JobOwner::TakeParked(ShardId shard) {
  const auto node = m_parked.extract(shard);
  return node ? std::move(node.mapped()) : std::vector<ParkedForward>();
}

void JobOwner::SendMoved(const ParkedForward& parked) {
  m_entry.context.Send(parked.entry,
                       ForwardMoved{parked.submission.key, parked.digest});
}

void JobOwner::OnShardServing(ShardId shard) {
  m_shares.OnShardsChanged();
  for (ParkedForward& parked : TakeParked(shard)) {
    Take(parked.entry, std::move(parked.submission), parked.digest);
  }
}

void JobOwner::OnShardLost(ShardId shard) {
  m_shares.OnShardsChanged();
  for (const ParkedForward& parked : TakeParked(shard)) {
    SendMoved(parked);
  }
  std::vector<OwnedJob*> lost;
  for (const auto& [serial, job] : m_store.open()) {
    if (job->shard == shard) {
      lost.push_back(job.get());
    }
  }
  for (OwnedJob* job : lost) {
    m_closer.HandOver(*job);
  }
  m_store.ForgetDone(shard);
}

void JobOwner::OnTick() {
  const Now& now = m_entry.context.now();
  m_store.Expire(now.wall_ms);
  FailDueJobs();
  RefuseWhileIsolated();
  m_intake.RecheckUnplaceable();
  m_progress.OnTick();
  GiveUpParked();
}

void JobOwner::FailDueJobs() {
  for (OwnedJob* job : m_store.DueJobs(m_entry.context.now().wall_ms)) {
    m_closer.Fail(*job, RefusalReason::kDeadlinePassed,
                  "the deadline has passed");
  }
}

// Without authority nothing can start. After a while the jobs that never
// started are told so, instead of being held until their deadlines.
void JobOwner::RefuseWhileIsolated() {
  const MonoTime now = m_entry.context.now().mono;
  if (m_entry.authority.MayStart(now)) {
    m_isolated_since.reset();
    return;
  }
  if (!m_isolated_since) {
    m_isolated_since = now;
  }
  if (now < *m_isolated_since + kOwnerPatience) {
    return;
  }
  std::vector<OwnedJob*> unstarted;
  for (const auto& [serial, job] : m_store.open()) {
    if (!job->MayHaveRun()) {
      unstarted.push_back(job.get());
    }
  }
  for (OwnedJob* job : unstarted) {
    m_closer.Fail(
        *job, RefusalReason::kOwnerIsolated,
        "the owner's authority can't be confirmed now",
        SpreadRetryAfterMs(kIsolatedRetryMs, m_entry.context.random()));
  }
}

// The front then refuses by itself: it knows where else it was sent.
void JobOwner::GiveUpParked() {
  const MonoTime now = m_entry.context.now().mono;
  for (auto it = m_parked.begin(); it != m_parked.end();) {
    std::erase_if(it->second, [&](const ParkedForward& parked) {
      if (now < parked.since + kOwnerPatience) {
        return false;
      }
      SendMoved(parked);
      return true;
    });
    it = it->second.empty() ? m_parked.erase(it) : std::next(it);
  }
}

void JobOwner::Dispatch() {
  m_shares.Update();
  m_dispatcher.RunPass();
  if (m_dispatcher.short_of_slots()) {
    m_wants.KeepOffers();
  } else {
    m_wants.DeclineUnused();
  }
}

}  // namespace egretswitch::internal
