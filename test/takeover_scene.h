// The scene most takeover tests begin with: entry-a is a member, and entry-b
// owns and serves every shard, with two agents registered.
#ifndef EGRETSWITCH_TEST_TAKEOVER_SCENE_H_
#define EGRETSWITCH_TEST_TAKEOVER_SCENE_H_

#include "control_harness.h"

namespace egretswitch::internal {

struct TakeoverScene {
  // entry-b answers pings and knows entry-a; both agents are linked.
  TakeoverScene() : TakeoverScene(TestPeer{}) {}

  explicit TakeoverScene(const TestPeer& owner_b) : a("entry-a") {
    a.PutEntry("entry-b");
    a.RegisterAgents({"agent-1", "agent-2"});
    a.PutClaim(b);
    a.Advance(absl::Milliseconds(50));
    a.LinkEntry("entry-b", owner_b);
    a.LinkAgent("agent-1");
    a.LinkAgent("agent-2");
    a.Advance(absl::Milliseconds(500));
    a.sent.clear();
  }

  // entry-b's process is gone and its host says so.
  void KillB() {
    a.Unlink("entry-b");
    a.Refuse("entry-b");
  }

  // entry-b goes silent with its link up.
  void FreezeB() { a.peers["entry-b"].answers = false; }

  // Lets time pass until entry-a has claimed the shards, by 10 ms.
  void AdvanceToClaim() {
    for (int step = 0; step < 500 && a.control.Status(a.now).shards_owned == 0;
         ++step) {
      a.Advance(absl::Milliseconds(10));
    }
  }

  const EntryId b{"entry-b", 1};
  ControlHarness a;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_TAKEOVER_SCENE_H_
