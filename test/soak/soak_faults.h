// Draws what happens to a deployment: series of signals, cuts and changes that
// overlap, all from one seed.
//
//   SoakFaults faults(loop, deployment, ledger, {.seed = 7, .calm = false});
//   faults.Begin(absl::Seconds(10));
#ifndef EGRETSWITCH_TEST_SOAK_SOAK_FAULTS_H_
#define EGRETSWITCH_TEST_SOAK_SOAK_FAULTS_H_

#include <cstdint>
#include <random>
#include <string>

#include "event_loop.h"
#include "run_ledger.h"
#include "soak_deployment.h"

namespace egretswitch::soak {

struct SoakFaultsOptions {
  uint64_t seed = 1;
  bool calm = false;  // planned stops and changes only
  // Series of resets of an entry's connections with callers and with agents.
  bool entry_resets = false;
};

class SoakFaults {
 public:
  SoakFaults(internal::EventLoop& loop,
             SoakDeployment& deployment,
             RunLedger& ledger,
             const SoakFaultsOptions& options);

  // Faults until `duration` has passed; then all is healed.
  void Begin(absl::Duration duration);

  int count() const { return m_count; }

 private:
  int Draw(int least, int most);
  absl::Duration DrawMs(int least, int most);
  SoakProcess& DrawProcess();
  void Next();
  void Evacuate();
  void SilenceStore();
  void LoseWorkers();
  void CrashTogether();
  void BeginResetSeries();
  void ResetEntry(const std::string& name, int more);
  void Planned();
  void Unplanned();
  void HarmProxy(LoopbackProxy& proxy, const std::string& name);
  void HarmStore();
  void HarmWorker();
  void Note(const std::string& what);

  internal::EventLoop& m_loop;
  SoakDeployment& m_deployment;
  RunLedger& m_ledger;
  const SoakFaultsOptions m_options;
  std::mt19937_64 m_random;
  // Of its own, so that the other faults of a seed stay as they were.
  std::mt19937_64 m_evacuation_random;
  std::mt19937_64 m_silence_random;
  std::mt19937_64 m_loss_random;
  std::mt19937_64 m_reset_random;
  MonoTime m_end = absl::ZeroDuration();
  int m_count = 0;
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_SOAK_FAULTS_H_
