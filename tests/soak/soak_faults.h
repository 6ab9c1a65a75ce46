// Draws overlapping faults and series of faults from a seed, and injects each at its time for its
// duration.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/soak_system.h"

namespace turmericshift::soak {

enum class FaultKind {
  kKillEntry,
  kTermEntry,
  kPauseEntry,
  kKillAgent,
  kTermAgent,
  kPauseAgent,
  kEntryStoreRelay,
  kAgentStoreRelay,
  kSessionRelay,
  kWorkerRelay,
  kCallerRelay,
  kStoreRefuses,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreForgets,
  kWorkerCrash,
  kWorkerRestart,
  kWorkerDrains,
  kZoneOut,
  kDocument,
  kRollEntries,
  kKillAll,
  // Series of signals and changes; see DrawSeries.
  kTermEntryTwice,
  kPauseEntryInStop,
  kKillEntryInStop,
  kReloadEntry,
  kRollAgents,
  kDocuments,
  // Cuts around all processes of a zone; see DrawCuts.
  kCutSessions,
  kCutStore,
  kCutZone,
  // A zone's workers restart under their IDs and are cut off; see DrawRestarts.
  kRestartAndCut,
};
const char* FaultKindName(FaultKind kind);

struct Fault {
  Duration at{};
  Duration lasts{};
  FaultKind kind = FaultKind::kKillEntry;
  // Index of the affected entry or worker node, taken modulo their number.
  uint32_t target = 0;
  RelayFault relay_fault = RelayFault::kSilent;
};

// Draws faults for a soak of `length`, sorted by time; a seed always yields the same faults.
std::vector<Fault> DrawFaults(uint64_t seed, Duration length);
// Draws signals, restarts and changes that each begin before the previous one has ended. They are
// played in addition to the faults of DrawFaults, which do not change.
std::vector<Fault> DrawSeries(uint64_t seed, Duration length);
// Draws cuts between the processes of one zone and the rest. They are played in addition as well.
std::vector<Fault> DrawCuts(uint64_t seed, Duration length);

// Draws zones whose workers restart under their IDs, execute late calls for their former
// incarnations and are cut off soon after, half of them beside a change of planner. One ends before
// the next one begins. They are played in addition as well.
std::vector<Fault> DrawRestarts(uint64_t seed, Duration length);

class FaultPlayer {
 public:
  // `system` and `history` must outlive the player.
  FaultPlayer(SoakSystem* system, SoakHistory* history) : system_(system), history_(history) {}
  // Plays the faults in real time and returns when the last one is over.
  void Play(const std::vector<Fault>& faults);

 private:
  struct Step {
    Duration at{};
    std::function<void()> act;
  };

  // The steps that start the fault and, if it has a duration, end it.
  std::vector<Step> StepsOf(const Fault& fault);
  static std::vector<Step> SignalSteps(const Fault& fault, SoakProcess* process, int first,
                                       int last);
  std::vector<Step> StoreSteps(const Fault& fault, const platform::StoreFaults& faults);
  std::vector<Step> WorkerSteps(const Fault& fault);
  // Stops the processes gracefully, the next one after each `gap`.
  std::vector<Step> RollSteps(const Fault& fault, const std::vector<SoakProcess*>& processes,
                              Duration gap);
  std::vector<Step> DocumentsSteps(const Fault& fault);
  // A graceful stop during which another signal arrives.
  std::vector<Step> InterruptedStopSteps(const Fault& fault);
  // A graceful stop, which must end the process within the platform's grace period.
  std::vector<Step> TermSteps(const Fault& fault, SoakProcess* process);
  std::vector<Step> RestartAndCutSteps(const Fault& fault);
  // Signals to the entry that plans at the time: kill, pause, stop or in half of the cases none.
  std::vector<Step> PlannerSteps(Duration at, Duration lasts, uint64_t choice);
  TcpRelay* RelayOf(const Fault& fault) const;
  // The relays between the processes of the fault's zone and the others, as far as its kind goes.
  std::vector<TcpRelay*> RelaysAround(const Fault& fault) const;
  static std::vector<Step> RelaySteps(const Fault& fault, const std::vector<TcpRelay*>& relays);
  SoakEntry* EntryOf(const Fault& fault) const;
  SoakWorkerNode* WorkerNodeOf(const Fault& fault) const;

  SoakSystem* const system_;
  SoakHistory* const history_;
};

}  // namespace turmericshift::soak
