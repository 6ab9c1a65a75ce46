// What stands beyond the decisions in a replay: workers with their room, and attempts that run for
// their true time. Holds only what the trace's events say; no network, no machines.
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

// Names one attempt of one job.
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
  // Members that run; those on a lost worker are gone.
  std::vector<TaskOnWorker> tasks;
  bool borrowed = false;
  Time started{};
  // Work kept from earlier attempts.
  Duration saved{};
  // When it ends, and how.
  Time end_time{};
  AttemptEnd end = AttemptEnd::kDone;
  // The work is saved at its end.
  bool saves = false;
  // Workers at which a task fails, for kFailed.
  std::vector<std::string> failed_on;

  int accelerators() const { return spec.shape.accelerators * static_cast<int>(tasks.size()); }
};

class ReplayPlatform {
 public:
  // The workers of `environment`, all up: "ZONE-0", "ZONE-1"... in racks "ZONE-r0"...
  ReplayPlatform(const Environment& environment, const Trace& trace);

  // Throws Error(kInvalidInput) for a worker that the document does not have.
  ReplayWorker& Worker(const std::string& name);
  const std::map<std::string, ReplayWorker>& workers() const { return workers_; }
  const std::map<AttemptKey, ReplayAttempt>& attempts() const { return attempts_; }
  // Null if it does not run.
  const ReplayAttempt* Attempt(const AttemptKey& key) const;

  // Why an agent would refuse the start; "" if none does.
  std::string StartRefusal(const StartDecision& start, const JobSpec& spec) const;
  void Start(const std::string& zone, const StartDecision& start, const TracedJob& job, Time now);
  // The attempt ends at `at` at the latest, as `end`; its work is saved if `saves`.
  void StopBy(const AttemptKey& key, Time at, AttemptEnd end, bool saves);
  // What ran there is gone. Whether it still runs can't be known before its `lease` has run out, so
  // its gangs end then.
  // Returns the attempts that lost a member, as they were.
  std::vector<ReplayAttempt> LoseWorker(const std::string& worker, Duration lease, Time now);
  // Attempts of the zone that have ended by `now`, removed, in order of job.
  std::vector<ReplayAttempt> RemoveEnded(const std::string& zone, Time now);
  // When the next attempt ends; none if none runs.
  std::optional<Time> NextEndTime() const;

  // Share of the job's work that is done at `now`, 0 to 1.
  double ProgressOf(const ReplayAttempt& attempt, Time now) const;
  // Work saved by earlier attempts.
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
