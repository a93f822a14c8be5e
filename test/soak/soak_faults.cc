#include "soak_faults.h"

#include <signal.h>

#include "absl/strings/str_cat.h"

namespace egretswitch::soak {
namespace {

// A process is in main() this long after its start, also on a busy machine.
constexpr absl::Duration kInMain = absl::Milliseconds(300);

}  // namespace

SoakFaults::SoakFaults(internal::EventLoop& loop,
                       SoakDeployment& deployment,
                       RunLedger& ledger,
                       const SoakFaultsOptions& options)
    : m_loop(loop),
      m_deployment(deployment),
      m_ledger(ledger),
      m_options(options),
      m_random(options.seed),
      m_evacuation_random(options.seed),
      m_silence_random(options.seed),
      m_loss_random(options.seed),
      m_reset_random(options.seed) {}

int SoakFaults::Draw(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(m_random);
}

absl::Duration SoakFaults::DrawMs(int least, int most) {
  return absl::Milliseconds(Draw(least, most));
}

SoakProcess& SoakFaults::DrawProcess() {
  auto& all = m_deployment.processes();
  return all[static_cast<size_t>(Draw(0, static_cast<int>(all.size()) - 1))];
}

void SoakFaults::Note(const std::string& what) {
  ++m_count;
  m_ledger.Note(what);
}

void SoakFaults::Begin(absl::Duration duration) {
  m_end = internal::EventLoop::MonoNow() + duration;
  Next();
  Evacuate();
  if (!m_options.calm) {
    SilenceStore();
    // Workers that are lost together would end the long tasks.
    m_options.entry_resets ? BeginResetSeries() : LoseWorkers();
  }
}

// A series may overlap the next one, and any signal or restart.
void SoakFaults::BeginResetSeries() {
  if (internal::EventLoop::MonoNow() >= m_end) {
    return;
  }
  const auto draw = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_reset_random);
  };
  const auto entries = static_cast<int>(m_deployment.CallerAddresses().size());
  ResetEntry(absl::StrCat("entry-", draw(0, entries - 1)), draw(1, 5));
  m_loop.RunAfter(absl::Milliseconds(draw(500, 2500)),
                  [this] { BeginResetSeries(); });
}

// The links of all entries to agents are reset: they share the agents' proxies.
void SoakFaults::ResetEntry(const std::string& name, int more) {
  Note(absl::StrCat("reset ", name, " with callers and agents"));
  for (SoakProcess& process : m_deployment.processes()) {
    if (process.name == name) {
      process.callers->ResetAll();
    } else if (process.callers == nullptr) {
      process.links->ResetAll();
    }
  }
  if (more > 0 && internal::EventLoop::MonoNow() < m_end) {
    const int pause_ms =
        std::uniform_int_distribution<int>(20, 600)(m_reset_random);
    m_loop.RunAfter(absl::Milliseconds(pause_ms),
                    [this, name, more] { ResetEntry(name, more - 1); });
  }
}

// Series of moments at which several workers crash, at times two within a
// second: then some are lost again before all are back.
void SoakFaults::LoseWorkers() {
  if (internal::EventLoop::MonoNow() >= m_end) {
    return;
  }
  const auto draw = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_loss_random);
  };
  CrashTogether();
  if (draw(0, 1) == 0) {
    m_loop.RunAfter(absl::Milliseconds(draw(50, 950)),
                    [this] { CrashTogether(); });
  }
  m_loop.RunAfter(absl::Milliseconds(draw(1000, 5000)),
                  [this] { LoseWorkers(); });
}

// From a third of the workers to all; each is back at a moment of its own.
void SoakFaults::CrashTogether() {
  if (internal::EventLoop::MonoNow() >= m_end) {
    return;
  }
  using CrashMode = platform::WorkerStandIn::CrashMode;
  const auto draw = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_loss_random);
  };
  const auto& workers = m_deployment.workers();
  const int percent = draw(33, 100);
  const CrashMode away =
      draw(0, 2) == 0 ? CrashMode::kUnresponsive : CrashMode::kResetConnections;
  std::string names;
  for (size_t i = 0; i < workers.size(); ++i) {
    const absl::Duration duration = absl::Milliseconds(draw(100, 1000));
    if (draw(1, 100) <= percent && !workers[i]->crashed()) {
      absl::StrAppend(&names, " ", workers[i]->incarnation(), " for ",
                      absl::FormatDuration(duration));
      m_deployment.CrashWorker(i, away, duration);
    }
  }
  Note(absl::StrCat(
      away == CrashMode::kUnresponsive ? "crash unseen:" : "crash together:",
      names));
}

// Series of silences, each with a change of the configuration beside it.
void SoakFaults::SilenceStore() {
  if (internal::EventLoop::MonoNow() >= m_end) {
    return;
  }
  const auto draw = [this](int least, int most) {
    return absl::Milliseconds(
        std::uniform_int_distribution<int>(least, most)(m_silence_random));
  };
  Note("connections to the store fall silent");
  m_deployment.store_proxy().SilenceAll();
  m_loop.RunAfter(draw(0, 500), [this] { m_deployment.PublishConfig(); });
  m_loop.RunAfter(draw(300, 5000), [this] { SilenceStore(); });
}

// Evacuations overlap: a data centre may be evacuated again before it is taken
// back, and two of the three at once.
void SoakFaults::Evacuate() {
  if (internal::EventLoop::MonoNow() >= m_end) {
    return;
  }
  const auto draw = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_evacuation_random);
  };
  const std::string data_centre = SoakDeployment::DataCentreOf(2 * draw(0, 1));
  Note(absl::StrCat("evacuate ", data_centre));
  m_deployment.store().PutEvacuation(data_centre);
  m_loop.RunAfter(absl::Milliseconds(draw(200, 4000)), [this, data_centre] {
    m_ledger.Note(absl::StrCat("take back ", data_centre));
    m_deployment.store().RemoveEvacuation(data_centre);
  });
  m_loop.RunAfter(absl::Milliseconds(draw(500, 5000)), [this] { Evacuate(); });
}

void SoakFaults::Next() {
  if (internal::EventLoop::MonoNow() >= m_end) {
    m_ledger.Note("healed");
    m_deployment.Heal();
    return;
  }
  const bool planned = m_options.calm || Draw(0, 4) == 0;
  planned ? Planned() : Unplanned();
  // Short pauses and long ones, so that faults come alone and in clusters.
  const absl::Duration pause =
      Draw(0, 2) == 0 ? DrawMs(20, 200) : DrawMs(200, 1200);
  m_loop.RunAfter(pause, [this] { Next(); });
}

void SoakFaults::Planned() {
  SoakProcess& process = DrawProcess();
  switch (Draw(0, 3)) {
    case 0:
      // Before main() a process has no say in what a signal does.
      if (internal::EventLoop::MonoNow() - process.child->started_at() >
          kInMain) {
        Note(absl::StrCat("SIGHUP to ", process.name));
        process.child->Signal(SIGHUP);
      }
      return;
    case 1:
      Note("new configuration");
      m_deployment.PublishConfig();
      return;
    default:
      Note(absl::StrCat("SIGTERM to ", process.name));
      m_deployment.Stop(process, DrawMs(100, 1500));
  }
}

void SoakFaults::Unplanned() {
  SoakProcess& process = DrawProcess();
  switch (Draw(0, 8)) {
    case 0:
    case 1:
      Note(absl::StrCat("kill ", process.name));
      m_deployment.Kill(process, DrawMs(100, 2500));
      return;
    case 2:
    case 3: {
      const absl::Duration duration = DrawMs(200, 3000);
      Note(absl::StrCat("freeze ", process.name, " for ",
                        absl::FormatDuration(duration)));
      m_deployment.Freeze(process, duration);
      return;
    }
    case 4:
    case 5:
      HarmProxy(*process.links, absl::StrCat("links of ", process.name));
      return;
    case 6:
      if (process.callers != nullptr) {
        HarmProxy(*process.callers, absl::StrCat("callers of ", process.name));
        return;
      }
      [[fallthrough]];
    case 7:
      HarmWorker();
      return;
    default:
      HarmStore();
  }
}

void SoakFaults::HarmProxy(LoopbackProxy& proxy, const std::string& name) {
  const absl::Duration duration = DrawMs(200, 3500);
  const int kind = Draw(0, 4);
  if (kind == 0) {
    Note(absl::StrCat("reset ", name));
    proxy.ResetAll();
    return;
  }
  const absl::Duration delay =
      kind == 4 ? DrawMs(5, 250) : absl::ZeroDuration();
  Note(absl::StrCat("harm ", name, " kind ", kind, " for ",
                    absl::FormatDuration(duration)));
  proxy.SetHarm({.hold_to_server = kind == 1 || kind == 3,
                 .hold_to_client = kind == 2 || kind == 3,
                 .delay = delay});
  m_loop.RunAfter(duration, [&proxy] { proxy.SetHarm({}); });
}

void SoakFaults::HarmStore() {
  platform::StoreStandIn& store = m_deployment.store();
  const absl::Duration duration = DrawMs(500, 5000);
  switch (Draw(0, 3)) {
    case 0:
      Note("store refuses");
      store.FailWith(503);
      m_loop.RunAfter(duration, [&store] { store.FailWith(0); });
      return;
    case 1:
      Note("store loses answers");
      store.LoseAnswers(true);
      m_loop.RunAfter(duration, [&store] { store.LoseAnswers(false); });
      return;
    case 2:
      Note("store forgets its history");
      store.TruncateHistory();
      return;
    default:
      HarmProxy(m_deployment.store_proxy(), "the store");
  }
}

void SoakFaults::HarmWorker() {
  const auto& workers = m_deployment.workers();
  const auto number =
      static_cast<size_t>(Draw(0, static_cast<int>(workers.size()) - 1));
  platform::WorkerStandIn& worker = *workers[number];
  if (Draw(0, 1) == 0) {
    Note(absl::StrCat("crash ", worker.incarnation()));
    m_deployment.CrashWorker(number);
    return;
  }
  const int percent = Draw(5, 60);
  Note(absl::StrCat("harm ", percent, "% of the calls to ",
                    worker.incarnation()));
  worker.LoseCalls(percent);
  m_loop.RunAfter(DrawMs(500, 4000), [&worker] { worker.LoseCalls(0); });
}

}  // namespace egretswitch::soak
