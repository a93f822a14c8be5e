#include "node_event_text.h"

#include <variant>

namespace egretswitch::internal {
namespace {

std::string Number(uint64_t number) {
  return std::to_string(number);
}

std::string KeyText(const SubmissionKey& key) {
  return key.team + "/" + key.id;
}

// Names of the alternatives, in the order of each variant.
constexpr const char* kMessageNames[] = {
    "Hello",          "PeerPing",      "PeerPong",     "LogRelay",
    "Forward",        "ForwardAnswer", "ForwardMoved", "CancelJob",
    "ShardsReleased", "StartTasks",    "CancelTasks",  "FenceShards",
    "FenceReply",     "WantSlots",     "AgentStatus",  "TaskReports",
    "RunMessage"};
constexpr const char* kRecordNames[] = {
    "EntryJoined",   "EntryLeft",    "SlotRegistered", "SlotRemoved",
    "ShardsClaimed", "ShardsServed", "RowEdited",      "Snapshot",
    "Unreadable",    "EntryAlive"};
static_assert(std::size(kMessageNames) == std::variant_size_v<Message>);
static_assert(std::size(kRecordNames) == std::variant_size_v<RecordBody>);

std::string StatusText(const AgentStatus& status) {
  return " permission " + Number(status.permission) + " free " +
         Number(status.free_slots) + " offered " + Number(status.offered) +
         (status.leaving ? " leaving" : "");
}

std::string ShardsText(const std::vector<ShardEpoch>& shards) {
  std::string text;
  for (const ShardEpoch& shard : shards) {
    text += " " + Number(shard.shard) + "@" + Number(shard.epoch);
  }
  return text;
}

// What matters of a message besides its name.
struct MessageDetail {
  std::string operator()(const Forward& m) const {
    return " " + KeyText(m.submission.key);
  }
  std::string operator()(const ForwardAnswer& m) const {
    return " " + KeyText(m.key) + " " + OutcomeText(m.outcome);
  }
  std::string operator()(const ForwardMoved& m) const {
    return " " + KeyText(m.key);
  }
  std::string operator()(const CancelJob& m) const {
    return " " + KeyText(m.key);
  }
  std::string operator()(const CancelTasks& m) const {
    return " " + KeyText(m.key);
  }
  std::string operator()(const StartTasks& m) const {
    std::string text = " " + KeyText(m.key) + " shard " + Number(m.shard) +
                       "@" + Number(m.epoch) + " permission " +
                       Number(m.permission) +
                       (m.attach_only ? " attach_only" : "") + " tasks";
    for (const TaskStart& task : m.tasks) {
      text += " " + Number(task.index);
    }
    return text;
  }
  std::string operator()(const TaskReports& m) const {
    std::string text = StatusText(m.agent);
    for (const TaskReport& report : m.reports) {
      text += " " + KeyText(report.key) + "#" + Number(report.index) + "=" +
              Number(static_cast<uint64_t>(report.status));
    }
    return text;
  }
  std::string operator()(const AgentStatus& m) const { return StatusText(m); }
  std::string operator()(const FenceShards& m) const {
    return ShardsText(m.shards);
  }
  std::string operator()(const ShardsReleased& m) const {
    return ShardsText(m.shards);
  }
  std::string operator()(const FenceReply& m) const {
    std::string text = ShardsText(m.shards) + " holds";
    for (const Holding& holding : m.holdings) {
      text += " " + KeyText(holding.key);
    }
    return text;
  }
  std::string operator()(const PeerPing& m) const {
    return " fold " + Number(m.status.fold_offset) +
           (m.status.lacks_log ? " lacks_log" : "");
  }
  std::string operator()(const PeerPong& m) const {
    return " fold " + Number(m.status.fold_offset) +
           (m.status.lacks_log ? " lacks_log" : "");
  }
  template <typename Other>
  std::string operator()(const Other&) const {
    return "";
  }
};

std::string MessageText(const Message& message) {
  return kMessageNames[message.index()] + std::visit(MessageDetail{}, message);
}

std::string RecordText(const LogRecord& record) {
  std::string text = kRecordNames[record.body.index()];
  if (const auto* joined = std::get_if<EntryJoined>(&record.body)) {
    text += " " + joined->name;
  } else if (const auto* claimed = std::get_if<ShardsClaimed>(&record.body)) {
    text += " for " + claimed->owner.name;
    for (const ShardClaim& claim : claimed->claims) {
      text += " " + Number(claim.shard) + ">" + Number(claim.expected_epoch);
    }
  } else if (const auto* served = std::get_if<ShardsServed>(&record.body)) {
    for (const ServedShard& shard : served->shards) {
      text += " " + Number(shard.shard) + "@" + Number(shard.epoch);
    }
  } else if (const auto* left = std::get_if<EntryLeft>(&record.body)) {
    text += " " + left->name;
  } else if (const auto* alive = std::get_if<EntryAlive>(&record.body)) {
    text += " " + alive->entry.name;
  }
  return text;
}

struct ActionDetail {
  std::string operator()(const Send& a) const {
    return "Send " + a.peer + " " + MessageText(a.message);
  }
  std::string operator()(const SetDialTargets& a) const {
    std::string text = "SetDialTargets";
    for (const PeerAddress& peer : a.peers) {
      text += " " + peer.name;
    }
    return text;
  }
  std::string operator()(const ReadLog& a) const {
    return "ReadLog from " + Number(a.from);
  }
  std::string operator()(const AppendLog& a) const {
    return "AppendLog " + RecordText(a.record);
  }
  std::string operator()(const AnswerCaller& a) const {
    return "AnswerCaller " + Number(a.token) + " " + OutcomeText(a.outcome);
  }
  std::string operator()(const AnswerOperator& a) const {
    return "AnswerOperator " + Number(a.token) + " outcome " +
           Number(static_cast<uint64_t>(a.outcome));
  }
  std::string operator()(const StartOnWorker& a) const {
    return "StartOnWorker " + KeyText(a.key) + "#" + Number(a.index);
  }
  std::string operator()(const StopOnWorker& a) const {
    return "StopOnWorker " + a.lease;
  }
  std::string operator()(const NoteStateChange& a) const {
    std::string text = "Note " + a.what;
    for (const NoteField& field : a.fields) {
      text += " " + field.key + "=" + field.value;
    }
    return text;
  }
  std::string operator()(const Stop&) const { return "Stop"; }
};

}  // namespace

std::string OutcomeText(const JobOutcome& outcome) {
  if (std::holds_alternative<JobAnswer>(outcome)) {
    return "complete";
  }
  const auto& refusal = std::get<JobRefusal>(outcome);
  return std::string(RefusalReasonName(refusal.reason)) + " " +
         std::string(RunVerdictName(refusal.verdict)) + " retry " +
         Number(refusal.retry_after_ms) + " (" + refusal.detail + ")";
}

std::string ActionText(const Action& action) {
  return std::visit(ActionDetail{}, action);
}

std::string EventText(const LinkUp& event) {
  return "LinkUp " + event.peer.name;
}
std::string EventText(const LinkDown& event) {
  return "LinkDown " + event.peer;
}
std::string EventText(const PeerRefusedConnection& event) {
  return "PeerRefusedConnection " + event.peer;
}
std::string EventText(const MessageArrived& event) {
  return "from " + event.peer + " " + MessageText(event.message);
}
std::string EventText(const Tick&) {
  return "Tick";
}
std::string EventText(const BeginDrain&) {
  return "BeginDrain";
}
std::string EventText(const LogReadDone& event) {
  return "LogReadDone " + Number(event.entries.size()) + " records, head " +
         Number(event.head) + ", first kept " + Number(event.first_kept);
}
std::string EventText(const LogReadFailed&) {
  return "LogReadFailed";
}
std::string EventText(const LogAppendDone& event) {
  return "LogAppendDone at " + Number(event.offset);
}
std::string EventText(const LogAppendFailed& event) {
  return std::string("LogAppendFailed") +
         (event.may_have_taken_effect ? ", perhaps with effect" : "");
}
std::string EventText(const CallerSubmitted& event) {
  return "CallerSubmitted " + Number(event.token) + " " +
         KeyText(event.submission.key);
}
std::string EventText(const CallerCancelled& event) {
  return "CallerCancelled " + Number(event.token) + " " + KeyText(event.key);
}
std::string EventText(const CallerGone& event) {
  return "CallerGone " + Number(event.token);
}
std::string EventText(const OperatorEdited& event) {
  return "OperatorEdited " + event.edit.edit_id;
}
std::string EventText(const OperatorDeclaredEnded& event) {
  return "OperatorDeclaredEnded " + event.entry_name;
}
std::string EventText(const WorkerTasksListed& event) {
  return "WorkerTasksListed " + Number(event.running.size());
}
std::string EventText(const WorkerTaskEnded& event) {
  return "WorkerTaskEnded " + event.lease + " status " +
         Number(static_cast<uint64_t>(event.status));
}
std::string EventText(const WorkerLost&) {
  return "WorkerLost";
}

}  // namespace egretswitch::internal
