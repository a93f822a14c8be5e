// Carries operators' changes to the log and answers what became of them, as
// read back from there: a row of the table edited, an entry declared ended.
//
//   OperatorEdited{5, row "search" against version 3}  -> AppendLog
//   folded as the first such edit        -> AnswerOperator{5, kAccepted, 4}
//   folded after another one             -> AnswerOperator{5, kSuperseded, 4}
//   no word for 5 s                      -> AnswerOperator{5, kUnknown, 3}
#ifndef EGRETSWITCH_SRC_OPERATOR_EDITS_H_
#define EGRETSWITCH_SRC_OPERATOR_EDITS_H_

#include <map>
#include <string>
#include <string_view>

#include "log_follower.h"
#include "node_context.h"
#include "node_events.h"
#include "peer_table.h"

namespace egretswitch::internal {

class OperatorEdits : public LogObserver {
 public:
  OperatorEdits(const EntryId& self,
                LogFollower* log,
                const PeerTable* peers,
                NodeContext* context);
  OperatorEdits(const OperatorEdits&) = delete;
  OperatorEdits& operator=(const OperatorEdits&) = delete;

  void OnEdited(const OperatorEdited& edited);
  void OnDeclaredEnded(const OperatorDeclaredEnded& declared);
  void OnTick();

  // LogObserver.
  void OnAppendSettled(std::string_view append_id,
                       AppendResult result) override;

 private:
  struct Open {
    OperatorToken token = 0;
    std::string kind;  // of the row; empty for an entry declared ended
    MonoTime answer_by = absl::ZeroDuration();
  };

  bool RefuseWithoutLog(OperatorToken token, std::string_view kind);
  void Submit(OperatorToken token, std::string_view kind, RecordBody body);
  void Answer(OperatorToken token,
              OperatorOutcome outcome,
              std::string_view kind,
              std::string detail);
  uint64_t VersionOf(std::string_view kind) const;

  const EntryId m_self;
  LogFollower& m_log;
  const PeerTable& m_peers;
  NodeContext& m_context;
  std::map<std::string, Open, std::less<>> m_open;  // by append_id
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OPERATOR_EDITS_H_
