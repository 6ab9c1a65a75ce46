// Draws faults from a seed and brings them about, each at its time and over after a while. They
// overlap and come in series.
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
};
const char* FaultKindName(FaultKind kind);

struct Fault {
  Duration at{};
  Duration lasts{};
  FaultKind kind = FaultKind::kKillEntry;
  // Which of the things that fit; taken modulo their number.
  uint32_t target = 0;
  RelayFault relay_fault = RelayFault::kSilent;
};

// Faults over `length`, in the order of time; the same for the same seed.
std::vector<Fault> DrawFaults(uint64_t seed, Duration length);
// Signals, restarts and changes of which each comes before the one before it is over. To be played
// beside DrawFaults, whose faults stay as they are.
std::vector<Fault> DrawSeries(uint64_t seed, Duration length);

class FaultPlayer {
 public:
  // Both must outlive the player.
  FaultPlayer(SoakSystem* system, SoakHistory* history) : system_(system), history_(history) {}
  // Plays the faults in real time and returns when the last one is over.
  void Play(const std::vector<Fault>& faults);

 private:
  struct Step {
    Duration at{};
    std::function<void()> act;
  };

  // What the fault does and, if it lasts, what ends it.
  std::vector<Step> StepsOf(const Fault& fault);
  static std::vector<Step> SignalSteps(const Fault& fault, SoakProcess* process, int first,
                                       int last);
  std::vector<Step> StoreSteps(const Fault& fault, const platform::StoreFaults& faults);
  std::vector<Step> WorkerSteps(const Fault& fault);
  // Ordered stops of all, one after the other.
  std::vector<Step> RollSteps(const Fault& fault, const std::vector<SoakProcess*>& processes,
                              Duration gap);
  std::vector<Step> DocumentsSteps(const Fault& fault);
  // A stop in order into which another signal comes.
  std::vector<Step> InterruptedStopSteps(const Fault& fault);
  // A stop in order has to end the process within the platform's grace.
  std::vector<Step> TermSteps(const Fault& fault, SoakProcess* process);
  TcpRelay* RelayOf(const Fault& fault) const;
  SoakEntry* EntryOf(const Fault& fault) const;
  SoakWorkerNode* WorkerNodeOf(const Fault& fault) const;

  SoakSystem* const system_;
  SoakHistory* const history_;
};

}  // namespace turmericshift::soak
