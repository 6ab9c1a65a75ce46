// Faults of a simulated pool between agents, workers and planners: calls without an answer, late
// messages, restarts. PoolSimulation asks for each event whether a fault happens.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

// A kind of fault that RandomFaults draws.
enum class FaultKind {
  // Calls to a worker stay unanswered and are executed seconds later or never.
  kLateCalls,
  // Calls to a worker are executed, but their answers are lost.
  kLostAnswers,
  // Workers restart more often, and every second time under the ID that they had.
  kKeptIds,
  // Reports, orders and calls to workers are in transit for some time.
  kSlowMessages,
  // Agents are replaced together with their workers' restarts and while calls are in transit.
  kReplacedAgents,
  // An agent cannot reach its worker.
  kCutWorkers,
  // Workers' clocks run 2% slow.
  kSlowClocks,
  // Announcements and departures arrive late, also in the worker's next life.
  kLateAnnouncements,
  // A start of a worker's former life is executed before the first call of an agent that knows the
  // new life. Nothing that a scheduler sends can prevent it.
  kStartsBeforeTheFirst,
  // Workers list one end at a time.
  kShortLists,
  // Agents hear announcements of writers that are no workers.
  kOtherWriters,
  // Agents learn late that their workers have restarted, and are then cut off from the planner.
  kUnnoticedRestarts,
  // Planners hand over to their successors, also when an agent is cut off.
  kHandovers,
  // Workers take as long as a stop may take to end the runs of an expired lease.
  kSlowLapses,
  // Workers refuse their agents' connections for seconds and run on.
  kRefusedConnections,
  // Workers execute their agents' calls, but all answers are lost for many seconds, and then the
  // agent is also cut off from the planner.
  kOldReadings,
  // One worker is lost for good, and mostly its agent has a new process within seconds.
  kLostWorkers,
  // Workers restart under their IDs shortly before or after a change of planner, agents learn of it
  // by their next hold, and soon after that a connection is cut for seconds.
  kRestartsBesidePlannerChanges,
  // The same as kStartsBeforeTheFirst for stops and for holds.
  kStopsBeforeTheFirst,
  kHoldsBeforeTheFirst,
  // The clocks of restarted workers begin at any value, also above that of the former life.
  kClocksAhead,
};
const char* FaultKindName(FaultKind kind);
// The faults under which a scheduler can keep its rules: all kinds but kStartsBeforeTheFirst.
// Leaves out kShortLists and the kinds after it too, so that histories which do not name them draw
// the same faults as before.
std::set<FaultKind> ToleratedFaultKinds();
// The tolerated kinds that occur together in the history of `seed`.
std::set<FaultKind> DrawFaultKinds(unsigned seed);

enum class WorkerCall { kStart, kStop, kHold };

// What happens to a call of an agent to its worker.
struct CallFate {
  // When the worker executes the call, counted from when it is sent; unset: never.
  std::optional<Duration> executed_after = Duration::zero();
  bool answered = true;
  // The worker refuses the connection and receives nothing.
  bool refused = false;
};

// An agent gets no answers of its worker for some time, and is then also cut off from the planner.
struct LostAnswers {
  Duration before_isolation{};
  Duration isolation{};
};

// The workers of a rack restart under their IDs, the planner changes, and a connection of each of
// their agents is cut.
struct RestartBesidePlannerChange {
  // Times from now on.
  Duration restart{};
  Duration planner_change{};
  // When the agents reach the new planner.
  Duration reconnect{};
  Duration cut{};
  // How long the cut lasts.
  Duration cut_length{};
  // How long the new incarnations take to announce themselves.
  Duration unannounced{};
  // Whether the planner hands over.
  bool hands_over = false;
  // Whether the agents are cut off from their workers; otherwise from the planner.
  bool cuts_worker = false;
};

// Times in transit of an agent's report and of the planner's answer.
struct ExchangeDelays {
  Duration report{};
  Duration answer{};
};

// No faults. Derived classes override what they change.
class PoolFaults {
 public:
  virtual ~PoolFaults() = default;

  virtual CallFate FateOfCall(const std::string& /*node*/, WorkerCall /*call*/) { return {}; }
  // The fate of a call while the agent is cut off from its worker.
  virtual CallFate FateOfCallInCut(const std::string& /*node*/) { return {std::nullopt, false}; }
  // Whether reports and answers take time. If so, DelaysOfExchange is called for each of them.
  virtual bool ExchangesTakeTime() { return false; }
  virtual ExchangeDelays DelaysOfExchange(const std::string& /*node*/) { return {}; }
  // Unset: the agent always knows the worker's newest announcement.
  virtual std::optional<Duration> DelayOfAnnouncement(const std::string& /*node*/) { return {}; }
  // Called when a worker restarts: how late its departure from the former life arrives, if ever.
  virtual std::optional<Duration> DelayOfDeparture(const std::string& /*node*/) { return {}; }
  // Whether a worker that restarts keeps its ID.
  virtual bool KeepsId(const std::string& /*node*/) { return false; }
  // Called for each tick: whether the agent hears an announcement of another writer.
  virtual bool AnotherWriterAnnounces(const std::string& /*node*/) { return false; }
  // Called when a worker restarts: for how long its agent does not learn of it, if at all.
  virtual std::optional<Duration> GoesUnnoticedFor(const std::string& /*node*/) { return {}; }
  // Called after an unnoticed restart: for how long the agent is cut off from the planner from some
  // time before it learns of the restart.
  virtual Duration IsolationAfterRestart(const std::string& /*node*/) { return {}; }
  // Called when the planner is replaced, and when an agent is isolated after an unnoticed restart:
  // whether the planner hands over.
  virtual bool HandsOver() { return false; }
  // Called for each tick: whether the worker is lost for good.
  virtual bool LosesWorker(const std::string& /*node*/) { return false; }
  // Called when a worker is lost: after what time its agent's process is replaced, if at all.
  virtual std::optional<Duration> ReplacesAgentAfterLoss(const std::string& /*node*/) { return {}; }
  // Called for each tick: whether the worker restarts.
  virtual bool RestartsWorker(const std::string& /*node*/) { return false; }
  // Called for each tick: whether the workers of the node's rack restart beside a change of
  // planner.
  virtual std::optional<RestartBesidePlannerChange> RestartsBesidePlannerChange(
      const std::string& /*node*/) {
    return {};
  }
  // Whether the agent's process is replaced when its worker restarts, or while a call that is not
  // answered promptly is in transit.
  virtual bool ReplacesAgentAtRestart(const std::string& /*node*/) { return false; }
  virtual bool ReplacesAgentInCall(const std::string& /*node*/) { return false; }
  // Called for each tick: for how long the agent is cut off from its worker from now on, if at all.
  virtual std::optional<Duration> CutOff(const std::string& /*node*/) { return {}; }
  // Called for each tick: for how long the worker refuses connections from now on, if at all.
  virtual std::optional<Duration> RefusesConnectionsFor(const std::string& /*node*/) { return {}; }
  // Called for each tick: whether the worker's answers are lost from now on, and for how long.
  virtual std::optional<LostAnswers> LosesAnswers(const std::string& /*node*/) { return {}; }
  // How long the worker takes to end the runs of an expired lease. `longest`: the bound on stops.
  virtual Duration LapseTime(const std::string& /*node*/, Duration /*longest*/) { return {}; }
  // Called when a worker restarts: what its clock shows. `former`: what the former one showed.
  virtual Duration ClockAtRestart(const std::string& /*node*/, Duration /*former*/) { return {}; }
  virtual double ClockRate(const std::string& /*node*/) { return 1.0; }
  // Most ends that the worker lists at a time, if fewer than real workers list.
  virtual std::optional<size_t> MaxListedEnds(const std::string& /*node*/) { return {}; }
  // Called when a call of a former life would be executed before the first call of an agent that
  // knows the worker's life. Returns whether it is executed; otherwise it waits for that first
  // call.
  virtual bool ExecutesBeforeTheFirst(const std::string& /*node*/, WorkerCall /*call*/) {
    return false;
  }
};

// Draws faults of the given kinds from a seed.
class RandomFaults : public PoolFaults {
 public:
  RandomFaults(unsigned seed, const std::set<FaultKind>& kinds) : random_(seed), kinds_(kinds) {}

  // From now on only what is already in transit happens.
  void Stop() { kinds_.clear(); }
  // How often each kind of fault has happened.
  const std::map<FaultKind, int>& counts() const { return counts_; }

  CallFate FateOfCall(const std::string& node, WorkerCall call) override;
  CallFate FateOfCallInCut(const std::string& node) override;
  bool ExchangesTakeTime() override { return kinds_.count(FaultKind::kSlowMessages) > 0; }
  ExchangeDelays DelaysOfExchange(const std::string& node) override;
  std::optional<Duration> DelayOfAnnouncement(const std::string& node) override;
  std::optional<Duration> DelayOfDeparture(const std::string& node) override;
  bool KeepsId(const std::string& node) override;
  bool AnotherWriterAnnounces(const std::string& node) override;
  std::optional<Duration> GoesUnnoticedFor(const std::string& node) override;
  Duration IsolationAfterRestart(const std::string& node) override;
  bool LosesWorker(const std::string& node) override;
  std::optional<Duration> ReplacesAgentAfterLoss(const std::string& node) override;
  bool RestartsWorker(const std::string& node) override;
  std::optional<RestartBesidePlannerChange> RestartsBesidePlannerChange(
      const std::string& node) override;
  bool HandsOver() override { return Happens(FaultKind::kHandovers, 2); }
  bool ReplacesAgentAtRestart(const std::string& node) override;
  bool ReplacesAgentInCall(const std::string& node) override;
  std::optional<Duration> CutOff(const std::string& node) override;
  std::optional<Duration> RefusesConnectionsFor(const std::string& node) override;
  std::optional<LostAnswers> LosesAnswers(const std::string& node) override;
  Duration LapseTime(const std::string& node, Duration longest) override;
  Duration ClockAtRestart(const std::string& node, Duration former) override;
  double ClockRate(const std::string& node) override;
  std::optional<size_t> MaxListedEnds(const std::string& node) override;
  bool ExecutesBeforeTheFirst(const std::string& node, WorkerCall call) override;

 private:
  // Draws whether a fault of this kind happens, and counts it.
  bool Happens(FaultKind kind, int one_in);
  Duration Between(int low_ms, int high_ms);
  // Short times are more likely.
  Duration UpTo(int most_ms);

  std::mt19937 random_;
  std::set<FaultKind> kinds_;
  std::map<FaultKind, int> counts_;
};

}  // namespace turmericshift::pool
