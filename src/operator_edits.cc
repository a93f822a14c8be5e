#include "operator_edits.h"

#include <utility>
#include <vector>

#include "control_state.h"

namespace egretswitch::internal {
namespace {

// How long an operator waits for a change to be read back.
constexpr absl::Duration kEditPatience = absl::Seconds(5);

OperatorOutcome OutcomeOf(AppendResult result) {
  switch (result) {
    case AppendResult::kAccepted:
      return OperatorOutcome::kAccepted;
    case AppendResult::kSuperseded:
      return OperatorOutcome::kSuperseded;
    case AppendResult::kInvalid:
      return OperatorOutcome::kInvalid;
    case AppendResult::kNotAppended:
      return OperatorOutcome::kNotAppended;
    case AppendResult::kUnknown:
      return OperatorOutcome::kUnknown;
  }
  return OperatorOutcome::kUnknown;
}

const char* DetailOf(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kAccepted:
      return "";
    case OperatorOutcome::kSuperseded:
      return "it was changed by another operator first";
    case OperatorOutcome::kInvalid:
      return "a value is out of range";
    case OperatorOutcome::kNotAppended:
      return "the log service does not answer: nothing was changed";
    case OperatorOutcome::kUnknown:
      return "the log service gave no word: the change may yet take effect";
    case OperatorOutcome::kUnknownEntry:
      return "no entry of that name is a member";
  }
  return "";
}

}  // namespace

OperatorEdits::OperatorEdits(const EntryId& self,
                             LogFollower* log,
                             const PeerTable* peers,
                             NodeContext* context)
    : m_self(self), m_log(*log), m_peers(*peers), m_context(*context) {}

void OperatorEdits::OnEdited(const OperatorEdited& edited) {
  const TableRow& row = edited.edit.row;
  const absl::Status valid = ValidateRow(row);
  if (!valid.ok()) {
    const auto message = valid.message();
    Answer(edited.token, OperatorOutcome::kInvalid, row.kind,
           std::string(message.data(), message.size()));
    return;
  }
  if (!RefuseWithoutLog(edited.token, row.kind)) {
    Submit(edited.token, row.kind, edited.edit);
  }
}

// A declaration about a process that answers would let two owners act: refuses
// it for any entry that was heard lately.
void OperatorEdits::OnDeclaredEnded(const OperatorDeclaredEnded& declared) {
  const auto& entries = m_log.control().entries();
  const auto it = entries.find(declared.entry_name);
  if (it == entries.end()) {
    Answer(declared.token, OperatorOutcome::kUnknownEntry, "",
           DetailOf(OperatorOutcome::kUnknownEntry));
    return;
  }
  const EntryId id{declared.entry_name, it->second.joined.incarnation};
  if (id == m_self || m_peers.IsAlive(id)) {
    Answer(declared.token, OperatorOutcome::kInvalid, "",
           "user error: entry " + id.name + " was heard just now: it lives");
    return;
  }
  if (!RefuseWithoutLog(declared.token, "")) {
    Submit(declared.token, "", EntryLeft{id.name, id.incarnation});
  }
}

bool OperatorEdits::RefuseWithoutLog(OperatorToken token,
                                     std::string_view kind) {
  if (m_log.complete() && m_log.Answers()) {
    return false;
  }
  Answer(token, OperatorOutcome::kNotAppended, kind,
         DetailOf(OperatorOutcome::kNotAppended));
  return true;
}

void OperatorEdits::Submit(OperatorToken token,
                           std::string_view kind,
                           RecordBody body) {
  const std::string id = m_log.Append(std::move(body));
  m_open[id] =
      Open{token, std::string(kind), m_context.now().mono + kEditPatience};
}

void OperatorEdits::OnAppendSettled(std::string_view append_id,
                                    AppendResult result) {
  const auto it = m_open.find(append_id);
  if (it == m_open.end()) {
    return;
  }
  const Open open = std::move(it->second);
  m_open.erase(it);
  const OperatorOutcome outcome = OutcomeOf(result);
  Answer(open.token, outcome, open.kind, DetailOf(outcome));
}

void OperatorEdits::OnTick() {
  std::vector<Open> late;
  std::erase_if(m_open, [this, &late](const auto& item) {
    const bool is_late = m_context.now().mono >= item.second.answer_by;
    if (is_late) {
      late.push_back(item.second);
    }
    return is_late;
  });
  for (const Open& open : late) {
    Answer(open.token, OperatorOutcome::kUnknown, open.kind,
           DetailOf(OperatorOutcome::kUnknown));
  }
}

void OperatorEdits::Answer(OperatorToken token,
                           OperatorOutcome outcome,
                           std::string_view kind,
                           std::string detail) {
  m_context.counters().Add(outcome == OperatorOutcome::kAccepted
                               ? Counter::kTableEditsAccepted
                               : Counter::kTableEditsRefused);
  m_context.Do(
      AnswerOperator{token, outcome, VersionOf(kind), std::move(detail)});
}

uint64_t OperatorEdits::VersionOf(std::string_view kind) const {
  const auto& rows = m_log.control().rows();
  const auto it = rows.find(std::string(kind));
  return it == rows.end() ? 0 : it->second.version;
}

}  // namespace egretswitch::internal
