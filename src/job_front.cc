#include "job_front.h"

#include <utility>

#include "node_limits.h"
#include "past_knowledge.h"
#include "retry_after.h"
#include "submission_check.h"

namespace egretswitch::internal {
namespace {

// When to come back if a shard has no owner: a takeover takes about so long.
constexpr double kNoOwnerRetryMs = 1000;
constexpr double kDrainingRetryMs = 50;

}  // namespace

JobFront::JobFront(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_owner(kernel.Find<JobOwner>("owner")),
      m_cancels(kernel.Find<CancelCalls>("cancels")) {
  kernel.Find<JobCloser>("closer").SetSink(this);
  kernel.Register("front", this);
}

JobFront::Request* JobFront::FindBySerial(uint64_t serial) {
  const auto it = m_requests.find(serial);
  return it == m_requests.end() ? nullptr : &it->second;
}

JobFront::Request* JobFront::Find(const RequestId& id) {
  const auto it = m_by_id.find(id);
  return it == m_by_id.end() ? nullptr : FindBySerial(it->second);
}

bool JobFront::IsLinked(const EntryId& entry) const {
  const auto it = m_linked.find(entry.name);
  return it != m_linked.end() && it->second == entry.incarnation;
}

// A frozen owner keeps its link. While there is a log another entry takes its
// shards over; without one, its requests would wait until their deadlines.
bool JobFront::IsGivenUp(ShardId shard) const {
  return !m_entry.authority.TakeoversPossible() &&
         m_entry.authority.OwnerSilentFor(shard) >= kOwnerPatience;
}

void JobFront::GiveUpForwarded() {
  std::vector<uint64_t> serials;
  for (const auto& [serial, request] : m_requests) {
    if (request.place == Place::kForwarded && IsGivenUp(request.shard)) {
      serials.push_back(serial);
    }
  }
  for (const uint64_t serial : serials) {
    Requeue(*FindBySerial(serial));
  }
}

// Other fronts may have had the same submission, so it is not enough that this
// one sent it nowhere. While no entry has the log no shard changes its owner:
// what was submitted after its owner had ended went to nobody.
bool JobFront::NeverRan(const Request& request) const {
  const auto it = m_ownerless_since_ms.find(request.shard);
  return !request.ever_sent && !m_entry.authority.TakeoversPossible() &&
         KnowsPast(m_entry) && it != m_ownerless_since_ms.end() &&
         request.submission.submitted_ms > it->second + kWallSkewMs;
}

void JobFront::Submit(CallerToken token, Submission submission) {
  m_entry.context.counters().Add(Counter::kJobsSubmitted);
  RequestId id{submission.key, DigestOf(submission)};
  if (Request* open = Find(id)) {
    open->tokens.push_back(token);
    m_by_token[token] = open->serial;
    return;
  }
  const int64_t wall_ms = m_entry.context.now().wall_ms;
  // An earlier sending may have run before the deadline passed.
  const RunVerdict past = VerdictIf(MayBeRepeat(m_entry, submission) ||
                                    submission.deadline_ms <= wall_ms);
  auto refusal = CheckSubmission(submission, m_entry.control, wall_ms, past);
  // Our table may be behind, or not read yet: the owner decides.
  const bool table_unsure = refusal &&
                            refusal->reason == RefusalReason::kUnknownKind &&
                            !KnowsPast(m_entry);
  if (refusal && !table_unsure) {
    AnswerToken(m_entry.context, token, *refusal);
    return;
  }
  if (m_draining) {
    AnswerToken(m_entry.context, token, RefuseDraining(submission));
    return;
  }
  const uint64_t serial = m_next_serial++;
  Request& request = m_requests[serial];
  request.serial = serial;
  request.shard = ShardOf(submission.key, m_entry.shard_count);
  request.tokens.push_back(token);
  m_by_id[id] = serial;
  m_by_token[token] = serial;
  m_deadlines.insert({submission.deadline_ms + kDeadlineGraceMs, serial});
  request.id = std::move(id);
  request.submission = std::move(submission);
  Route(request);
}

// Only the owner of the shard knows whether a repeated sending ran.
JobRefusal JobFront::RefuseDraining(const Submission& submission) {
  return JobRefusal{
      RefusalReason::kDraining, VerdictIf(!m_owner.NeverRan(submission)),
      SpreadRetryAfterMs(kDrainingRetryMs, m_entry.context.random()),
      "this entry is shutting down"};
}

void JobFront::Route(Request& request) {
  if (m_entry.authority.Serves(request.shard)) {
    request.place = Place::kHere;
    request.ever_sent = true;
    m_unsent.erase(request.serial);
    if (auto outcome = m_owner.Submit(request.submission, request.id.digest)) {
      Answer(request, std::move(*outcome));
    }
    return;
  }
  if (IsGivenUp(request.shard)) {
    Answer(request, OwnRefusal(request, RefusalReason::kNoOwner,
                               "the owner of the id's shard doesn't answer"));
    return;
  }
  const auto owner = m_entry.authority.OwnerOf(request.shard);
  if (owner && owner->name != m_entry.self.name && IsLinked(*owner)) {
    SendToOwner(request, *owner);
    return;
  }
  const bool hopeless =
      !m_entry.authority.TakeoversPossible() && !(owner && request.ever_sent);
  if (hopeless) {
    Answer(request, OwnRefusal(request, RefusalReason::kNoOwner,
                               "the shard of the id has no owner now"));
    return;
  }
  Keep(request);
}

void JobFront::SendToOwner(Request& request, const EntryId& owner) {
  if (m_entry.context.now().mono < request.not_before) {
    Keep(request);
    return;
  }
  request.place = Place::kForwarded;
  request.owner = owner;
  request.ever_sent = true;
  m_unsent.erase(request.serial);
  m_entry.context.Send(owner.name, Forward{request.submission});
}

void JobFront::Keep(Request& request) {
  request.place = Place::kUnsent;
  if (!request.unsent_since) {
    request.unsent_since = m_entry.context.now().mono;
  }
  m_unsent.insert(request.serial);
}

void JobFront::Requeue(Request& request) {
  request.place = Place::kUnsent;
  Route(request);
}

JobRefusal JobFront::OwnRefusal(const Request& request,
                                RefusalReason reason,
                                const char* why) {
  const bool come_back = reason == RefusalReason::kNoOwner;
  return JobRefusal{
      reason, VerdictIf(!NeverRan(request)),
      come_back ? SpreadRetryAfterMs(kNoOwnerRetryMs, m_entry.context.random())
                : 0,
      why};
}

void JobFront::Answer(Request& request, JobOutcome outcome) {
  for (const CallerToken token : request.tokens) {
    m_by_token.erase(token);
    AnswerToken(m_entry.context, token, outcome);
  }
  m_cancels.Resolve(request.id.key, outcome);
  Drop(request);
}

void JobFront::Drop(const Request& request) {
  m_unsent.erase(request.serial);
  m_deadlines.erase(
      {request.submission.deadline_ms + kDeadlineGraceMs, request.serial});
  m_by_id.erase(request.id);
  m_requests.erase(request.serial);
}

void JobFront::OnOwnOutcome(const SubmissionKey& key,
                            uint64_t digest,
                            const JobOutcome& outcome) {
  Request* request = Find({key, digest});
  if (request && request->place == Place::kHere) {
    Answer(*request, outcome);
  }
}

// A whole answer is the truth whoever sends it. A refusal counts only from the
// owner that has the request now: a former one can't know what its successor
// does.
void JobFront::OnForwardAnswer(std::string_view entry,
                               const ForwardAnswer& answer) {
  Request* request = Find({answer.key, answer.digest});
  if (!request) {
    m_cancels.Resolve(answer.key, answer.outcome);
    return;
  }
  const bool from_owner =
      request->place == Place::kForwarded && request->owner.name == entry;
  if (from_owner || std::holds_alternative<JobAnswer>(answer.outcome)) {
    Answer(*request, answer.outcome);
  }
}

void JobFront::OnForwardMoved(std::string_view entry,
                              const ForwardMoved& moved) {
  Request* request = Find({moved.key, moved.digest});
  if (!request || request->place != Place::kForwarded ||
      request->owner.name != entry) {
    return;
  }
  const auto owner = m_entry.authority.OwnerOf(request->shard);
  if (owner && *owner == request->owner) {
    request->not_before = m_entry.context.now().mono + kMovedRetryPeriod;
  } else {
    request->unsent_since.reset();
  }
  Requeue(*request);
}

void JobFront::RouteUnsent(ShardId shard) {
  const std::set<uint64_t> serials = m_unsent;
  for (const uint64_t serial : serials) {
    Request* request = FindBySerial(serial);
    if (request && request->shard == shard) {
      Route(*request);
    }
  }
}

void JobFront::RequeueForwarded(std::string_view owner, uint64_t incarnation) {
  std::vector<uint64_t> serials;
  for (const auto& [serial, request] : m_requests) {
    if (request.place == Place::kForwarded && request.owner.name == owner &&
        request.owner.incarnation == incarnation) {
      serials.push_back(serial);
    }
  }
  for (const uint64_t serial : serials) {
    Request& request = *FindBySerial(serial);
    request.unsent_since.reset();
    Requeue(request);
  }
}

void JobFront::OnEntryLinkUp(const Hello& entry) {
  m_linked[entry.name] = entry.incarnation;
  const std::set<uint64_t> serials = m_unsent;
  for (const uint64_t serial : serials) {
    if (Request* request = FindBySerial(serial)) {
      Route(*request);
    }
  }
}

void JobFront::OnEntryLinkDown(std::string_view name, uint64_t incarnation) {
  const auto it = m_linked.find(name);
  if (it != m_linked.end() && it->second == incarnation) {
    m_linked.erase(it);
  }
  RequeueForwarded(name, incarnation);
}

void JobFront::OnEntryEnded(std::string_view name, uint64_t incarnation) {
  OnEntryLinkDown(name, incarnation);
}

void JobFront::OnShardChanged(ShardId shard) {
  std::vector<uint64_t> serials;
  for (const auto& [serial, request] : m_requests) {
    if (request.shard == shard && request.place == Place::kForwarded) {
      serials.push_back(serial);
    }
  }
  const auto owner = m_entry.authority.OwnerOf(shard);
  if (owner) {
    m_ownerless_since_ms.erase(shard);
  } else {
    m_ownerless_since_ms.emplace(shard, m_entry.context.now().wall_ms);
  }
  for (const uint64_t serial : serials) {
    Request& request = *FindBySerial(serial);
    if (!owner || *owner != request.owner) {
      request.unsent_since.reset();
      request.not_before = MonoTime();
      Requeue(request);
    }
  }
  RouteUnsent(shard);
}

void JobFront::OnShardLost(ShardId shard) {
  std::vector<uint64_t> serials;
  for (const auto& [serial, request] : m_requests) {
    if (request.shard == shard && request.place == Place::kHere) {
      serials.push_back(serial);
    }
  }
  for (const uint64_t serial : serials) {
    Request& request = *FindBySerial(serial);
    request.unsent_since.reset();
    Requeue(request);
  }
}

void JobFront::OnTick() {
  m_cancels.OnTick();
  const Now& now = m_entry.context.now();
  while (!m_deadlines.empty() && m_deadlines.begin()->at_ms <= now.wall_ms) {
    Request& request = *FindBySerial(m_deadlines.begin()->serial);
    Answer(request, OwnRefusal(request, RefusalReason::kDeadlinePassed,
                               "the deadline has passed"));
  }
  if (!m_entry.authority.TakeoversPossible()) {
    GiveUpForwarded();
  }
  const std::set<uint64_t> serials = m_unsent;
  for (const uint64_t serial : serials) {
    Request& request = *FindBySerial(serial);
    if (now.mono >= *request.unsent_since + kOwnerPatience) {
      Answer(request, OwnRefusal(request, RefusalReason::kNoOwner,
                                 "the shard of the id has no owner now"));
    } else {
      Route(request);
    }
  }
}

std::vector<uint64_t> JobFront::SerialsOf(const SubmissionKey& key) const {
  std::vector<uint64_t> serials;
  for (auto it = m_by_id.lower_bound({key, 0});
       it != m_by_id.end() && it->first.key == key; ++it) {
    serials.push_back(it->second);
  }
  return serials;
}

void JobFront::CancelUnsent(const SubmissionKey& key) {
  for (const uint64_t serial : SerialsOf(key)) {
    Request& request = *FindBySerial(serial);
    if (request.place == Place::kUnsent) {
      Answer(request, OwnRefusal(request, RefusalReason::kCancelled,
                                 "cancelled by the caller"));
    }
  }
}

// Also for a job that came through another front: its owner knows.
void JobFront::Cancel(CallerToken token, const SubmissionKey& key) {
  if (!m_by_token.contains(token)) {
    m_cancels.Open(token, key);
  }
  CancelUnsent(key);
  const ShardId shard = ShardOf(key, m_entry.shard_count);
  if (m_entry.authority.Serves(shard)) {
    m_cancels.Resolve(key, m_owner.Cancel(key));
    return;
  }
  const auto owner = m_entry.authority.OwnerOf(shard);
  if (owner && IsLinked(*owner)) {
    m_entry.context.Send(owner->name, CancelJob{key});
  } else {
    m_cancels.Refuse(key);
  }
}

void JobFront::CallerGone(CallerToken token) {
  m_cancels.CallerGone(token);
  const auto it = m_by_token.find(token);
  if (it == m_by_token.end()) {
    return;
  }
  Request& request = *FindBySerial(it->second);
  std::erase(request.tokens, token);
  m_by_token.erase(it);
  if (request.tokens.empty()) {
    Drop(request);  // the job goes on
  }
}

}  // namespace egretswitch::internal
