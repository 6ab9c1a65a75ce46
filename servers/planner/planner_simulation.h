// A small world of entries, agents and a log in passed-in time, with the faults that the real ones
// have. Same seed, same run. For tests only.
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

// Faults that a test plants to see that the checks notice.
struct PlantedFaults {
  // Agents obey a call under any epoch.
  bool no_fencing = false;
};

class PlannerSimulation {
 public:
  PlannerSimulation(uint64_t seed, const PlantedFaults& planted);
  ~PlannerSimulation();

  // Both bring the log up first.
  std::string Submit(const JobSpec& spec);
  void Cancel(const std::string& job);
  // Passes time with random faults, or without.
  void Run(Duration time, bool faults);
  // Ends all faults and brings everything back up.
  void Heal();

  // What went wrong, for people; empty if nothing.
  const std::vector<std::string>& violations() const { return violations_; }
  std::optional<JobRecord> Job(const std::string& id) const;
  // The entry that holds the duty by the log; "" if none.
  std::string planner() const;
  void KillEntry(const std::string& name);
  void SetLogDown(bool down);
  // The agent and these entries don't reach each other until then.
  void CutAgent(const std::string& agent, const std::set<std::string>& entries, Duration time);
  // The entry that makes the next call stands still first, for so long.
  void PauseNextCall(Duration time) { pause_next_call_ = time; }
  void SetZoneIn(bool in);
  // Attempts of the job that were ever released somewhere.
  size_t AttemptsReleased(const std::string& job) const;
  bool Runs(const std::string& job) const;

 private:
  class Port;
  class Writer;
  struct Entry;
  struct Agent;

  void Tick(bool faults);
  void Pump(Entry* entry);
  void Beat(Entry* entry, Agent* agent);
  void StartEntry(Entry* entry);
  void StartAgent(Agent* agent);
  void MaybeFault();
  void PublishDocument();
  void Check();
  void CheckDone(const std::map<std::string, std::map<int64_t, int>>& ended);
  bool Chance(double share);
  template <typename Each>
  Each* Pick(const std::vector<std::unique_ptr<Each>>& all);

  const PlantedFaults planted_;
  std::mt19937_64 random_;
  ManualClock clock_;
  MemoryLog log_;
  MetricsRegistry metrics_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Agent>> agents_;
  // Calls that were sent and will arrive later.
  std::vector<std::pair<Time, std::function<void()>>> late_calls_;
  bool faults_ = false;
  Duration pause_next_call_{};
  bool log_down_ = false;
  int nested_ = 0;
  bool zone_in_ = true;
  Time zone_out_at_{};
  int64_t version_ = 0;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, std::set<int64_t>> released_;
  std::map<std::string, std::set<int64_t>> done_;
  // Jobs whose result was out of reach or lost before it could be recorded: the attempt may be
  // repeated if the job may.
  std::set<std::string> result_lost_;
  std::map<std::string, Time> partial_since_;
  std::vector<std::string> violations_;
};

}  // namespace turmericshift
