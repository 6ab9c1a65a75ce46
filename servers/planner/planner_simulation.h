// A simulation of entries, agents and a log under a manual clock, with the faults that occur in
// production. A run is determined by its seed. For tests only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "modules/stand_ins/fake_worker.h"
#include "modules/stand_ins/manual_clock.h"
#include "modules/stand_ins/memory_log.h"
#include "servers/agent/gang_host.h"
#include "servers/planner/zone_planner_service.h"

namespace turmericshift {

// Defects that a test injects to verify that the checks detect them.
struct InjectedFaults {
  // Agents accept calls of any epoch.
  bool no_fencing = false;
};

class PlannerSimulation {
 public:
  PlannerSimulation(uint64_t seed, const InjectedFaults& injected);
  ~PlannerSimulation();

  // Submit and Cancel first end any outage of the log.
  std::string Submit(const JobSpec& spec);
  void Cancel(const std::string& job);
  // Advances the simulation by `time`, with or without random faults.
  void Run(Duration time, bool faults);
  // Ends all faults and restarts all stopped entries and agents.
  void RecoverAll();

  // Descriptions of the violated invariants; empty if none was violated.
  const std::vector<std::string>& violations() const { return violations_; }
  std::optional<JobRecord> Job(const std::string& id) const;
  // The entry that acts as the active planner; "" if none.
  std::string planner() const;
  void KillEntry(const std::string& name);
  void SetLogDown(bool down);
  // While set, the entries' executors refuse work.
  void SetThreadsShort(bool threads_short) { threads_short_ = threads_short; }
  // The next write of a record fails with an exception that is no Error.
  void BreakNextWrite() { break_next_write_ = true; }
  // Interrupts the connections between the agent and these entries for `time`.
  void PartitionAgent(const std::string& agent, const std::set<std::string>& entries,
                      Duration time);
  // Pauses the entry that makes the next call for `time` before it sends the call.
  void PauseNextCall(Duration time) { pause_next_call_ = time; }
  void SetZoneIn(bool in);
  // The number of attempts of the job whose tasks were released (allowed to run) on at least one
  // worker.
  size_t AttemptsReleased(const std::string& job) const;
  bool Runs(const std::string& job) const;

 private:
  class Port;
  class Writer;
  struct Entry;
  struct Agent;

  void Tick(bool faults);
  void ReadLog(Entry* entry);
  void SendHeartbeat(Entry* entry, Agent* agent);
  void StartEntry(Entry* entry);
  void StartAgent(Agent* agent);
  void MaybeFault();
  void PublishDocument();
  void Check();
  void CheckDone(const std::map<std::string, std::map<int64_t, int>>& ended);
  bool Chance(double share);
  template <typename Each>
  Each* Pick(const std::vector<std::unique_ptr<Each>>& all);

  const InjectedFaults injected_;
  std::mt19937_64 random_;
  ManualClock clock_;
  MemoryLog log_;
  MetricsRegistry metrics_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Agent>> agents_;
  // Actions that are due later, such as the delivery of a delayed call.
  std::vector<std::pair<Time, std::function<void()>>> delayed_actions_;
  bool faults_ = false;
  Duration pause_next_call_{};
  bool log_down_ = false;
  bool threads_short_ = false;
  bool break_next_write_ = false;
  int nested_pauses_ = 0;
  bool zone_in_ = true;
  Time zone_out_at_{};
  int64_t version_ = 0;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, std::set<int64_t>> released_;
  std::map<std::string, std::set<int64_t>> done_;
  // Jobs whose result was unreachable or lost before it could be recorded. A repeatable job of this
  // kind may be done twice.
  std::set<std::string> result_lost_;
  std::map<std::string, Time> partial_since_;
  std::vector<std::string> violations_;
};

}  // namespace turmericshift
