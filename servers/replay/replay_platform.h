// Simulates the cluster that carries out the decisions in a replay: workers with their resources,
// and attempts that run for the run time that the trace gives. The state changes only by the
// trace's events and the decisions; no network or real VM is involved.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/planner/zone_planner.h"
#include "servers/replay/trace.h"

namespace turmericshift {

struct ReplayWorker {
  std::string name;
  std::string zone;
  std::string rack;
  TaskShape capacity;
  bool up = true;
  bool fails_all = false;
};

// Identifies one attempt of one job.
struct AttemptKey {
  std::string job;
  int64_t attempt = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

// One attempt of a job, from its release until all its members have ended.
struct ReplayAttempt {
  std::string job;
  std::string zone;
  JobSpec spec;
  int64_t attempt = 0;
  // The members that run. Members on a lost worker are removed.
  std::vector<TaskOnWorker> tasks;
  bool borrowed = false;
  Time started{};
  // The work saved by earlier attempts.
  Duration saved{};
  // When and how the attempt ends.
  Time end_time{};
  AttemptEnd end = AttemptEnd::kDone;
  // The attempt saves its work when it ends.
  bool saves = false;
  // The workers on which a task fails, if `end` is kFailed.
  std::vector<std::string> failed_on;

  int accelerators() const { return spec.shape.accelerators * static_cast<int>(tasks.size()); }
};

class ReplayPlatform {
 public:
  // Creates the workers of `environment`, all up: "ZONE-0", "ZONE-1"... in racks "ZONE-r0"...
  ReplayPlatform(const Environment& environment, const Trace& trace);

  // Throws Error(kInvalidInput) if the document does not have the worker.
  ReplayWorker& Worker(const std::string& name);
  const std::map<std::string, ReplayWorker>& workers() const { return workers_; }
  const std::map<AttemptKey, ReplayAttempt>& attempts() const { return attempts_; }
  // Returns null if the attempt does not run.
  const ReplayAttempt* Attempt(const AttemptKey& key) const;

  // Returns why an agent would refuse the start, or "" if all agents would accept it.
  std::string StartRefusal(const StartDecision& start, const JobSpec& spec) const;
  void Start(const std::string& zone, const StartDecision& start, const TracedJob& job, Time now);
  // Makes the attempt end at `at` as `end`, unless it ends earlier anyway. Its work is saved if
  // `saves`.
  void StopBy(const AttemptKey& key, Time at, AttemptEnd end, bool saves);
  // Removes the members that run on the worker. The planner can't know whether they still run
  // before their `lease` has expired, so the affected attempts end at that time. Returns these
  // attempts as they were before.
  std::vector<ReplayAttempt> LoseWorker(const std::string& worker, Duration lease, Time now);
  // Removes and returns the attempts of the zone that have ended by `now`, in order of job.
  std::vector<ReplayAttempt> RemoveEnded(const std::string& zone, Time now);
  // Returns when the next attempt ends, or none if no attempt runs.
  std::optional<Time> NextEndTime() const;

  // Returns the share of the job's work that is done at `now`, from 0 to 1.
  double ProgressOf(const ReplayAttempt& attempt, Time now) const;
  // Returns the work that earlier attempts have saved.
  Duration SavedWork(const std::string& job) const;

 private:
  bool RunsAt(const std::string& worker, const std::string& job) const;
  bool HasRoom(const ReplayWorker& worker, const StartDecision& start, const JobSpec& spec) const;

  const Duration fails_after_;
  std::map<std::string, ReplayWorker> workers_;
  std::map<AttemptKey, ReplayAttempt> attempts_;
  std::map<std::string, Duration> saved_;
  std::map<std::string, Duration> run_times_;
};

}  // namespace turmericshift
