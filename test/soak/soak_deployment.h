// A deployment of real processes on this machine: entries and agents as started
// by their settings, workers and the store as stand-ins in this process, and a
// proxy before each port that one process has for others.
//
//   SoakDeployment deployment(loop, {.daemon = "build/egretswitchd",
//                                    .directory = "soak-7"});
//   deployment.Start();
//   deployment.Kill(deployment.processes()[0], absl::Seconds(1));
#ifndef EGRETSWITCH_TEST_SOAK_SOAK_DEPLOYMENT_H_
#define EGRETSWITCH_TEST_SOAK_SOAK_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "event_loop.h"
#include "http_client.h"
#include "loopback_proxy.h"
#include "platform/test/store_stand_in.h"
#include "platform/test/worker_stand_in.h"

namespace egretswitch::soak {

struct SoakDeploymentOptions {
  std::string daemon;     // path of egretswitchd
  std::string directory;  // for settings and logs; exists
  int entries = 3;
  int agents = 6;
  uint64_t seed = 1;
};

struct SoakProcess {
  std::string name;
  std::unique_ptr<ChildProcess> child;
  std::unique_ptr<LoopbackProxy> links;    // where the others dial it
  std::unique_ptr<LoopbackProxy> callers;  // entries only
  std::string announcements;               // agents only: direct address
  MonoTime start_at = absl::InfiniteDuration();
  MonoTime frozen_until = absl::ZeroDuration();
};

class SoakDeployment {
 public:
  SoakDeployment(internal::EventLoop& loop,
                 const SoakDeploymentOptions& options);

  void Start();

  // Entries and agents are in data centres by turns: agent-4 in dc-1.
  static std::string DataCentreOf(int number);

  // Entries first, then agents; agent i stands beside worker i.
  std::vector<SoakProcess>& processes() { return m_processes; }
  const std::vector<std::unique_ptr<platform::WorkerStandIn>>& workers() const {
    return m_workers;
  }
  std::vector<std::string> CallerAddresses() const;
  platform::StoreStandIn& store() { return m_store; }
  LoopbackProxy& store_proxy() { return *m_store_proxy; }

  void Kill(SoakProcess& process, absl::Duration away);
  // A planned stop; it starts again `away` after its end.
  void Stop(SoakProcess& process, absl::Duration away);
  void Freeze(SoakProcess& process, absl::Duration duration);
  // The next incarnation is there at once.
  void CrashWorker(size_t worker);
  // It is there after `duration`, at the same address.
  void CrashWorker(size_t worker,
                   platform::WorkerStandIn::CrashMode away,
                   absl::Duration duration);
  void PublishConfig();
  // Where a GET succeeds once the newest configuration is in force.
  std::string NewestPath() const;

  // Nothing is harmed, stopped or frozen any more.
  void Heal();

  // Ends of processes that nobody asked for.
  std::vector<std::string> Faults() const;

 private:
  void AddEntry(int number);
  void AddAgent(int number, const platform::WorkerStandIn& worker);
  SoakProcess& Add(const std::string& name,
                   const std::string& settings,
                   uint16_t link_port);
  std::string CommonSettings(const std::string& role,
                             const std::string& name,
                             int number,
                             uint16_t link_port) const;
  void Supervise();
  void ReplaceWorker(size_t worker);
  void AnnounceWorkers();

  internal::EventLoop& m_loop;
  const SoakDeploymentOptions m_options;
  platform::StoreStandIn m_store;
  std::unique_ptr<LoopbackProxy> m_store_proxy;
  std::vector<std::unique_ptr<platform::WorkerStandIn>> m_workers;
  std::vector<SoakProcess> m_processes;
  std::vector<std::string> m_faults;
  uint64_t m_config_version = 0;
  uint64_t m_incarnations = 0;
  internal::HttpClient m_http;
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_SOAK_DEPLOYMENT_H_
