// Runs the zone planners of one entry: a ZonePlannerService on a thread of its own for each
// availability zone of the document. Every entry can plan every zone, so a zone whose own entries
// have failed still gets a planner.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/metrics.h"
#include "core/thread.h"
#include "servers/planner/gang_runner.h"
#include "servers/planner/zone_planner_service.h"

namespace turmericshift {

struct ZonePlannerManagerOptions {
  // The name and the zone of this entry.
  std::string process;
  std::string own_zone;
  std::string policy = "first_fit";
};

class ZonePlannerManager {
 public:
  // All pointers must outlive the manager.
  ZonePlannerManager(const ZonePlannerManagerOptions& options, AgentDirectory* directory,
                     RecordWriter* jobs, const ReplicatedJobs* replicated_jobs,
                     const ReplicatedConfig* replicated_config, MetricsRegistry* metrics);
  ~ZonePlannerManager();
  ZonePlannerManager(const ZonePlannerManager&) = delete;
  ZonePlannerManager& operator=(const ZonePlannerManager&) = delete;

  // Returns whether this entry is the zone's active planner and its planning thread makes progress.
  bool Active(const std::string& zone) const;
  // Why the job waits, as far as this entry knows; "" if the job does not wait.
  std::string WaitReasonFor(const JobRecord& job) const;
  // The number of the job's running attempt, as known to this entry's planner or else as reported
  // by agents; 0 if no attempt runs.
  int64_t RunningAttempt(const JobRecord& job) const;

  // Steps down from all zones. Returns whether this was completed within `limit`.
  bool Leave(Duration limit);

 private:
  struct ManagedZone;

  void Run();
  // Starts planners for the zones of the document that have none. Throws Error(kUnavailable) if a
  // planner's thread can't be started.
  void StartMissingZones();
  void RunZone(ManagedZone* zone);
  // Null if the zone has no planner here.
  const ManagedZone* Find(const std::string& zone) const;

  const ZonePlannerManagerOptions options_;
  AgentDirectory* const directory_;
  RecordWriter* const jobs_;
  const ReplicatedJobs* const replicated_jobs_;
  const ReplicatedConfig* const replicated_config_;
  MetricsRegistry* const metrics_;
  GangRunner runner_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  // Elements with a running thread are never removed, so pointers that Find returns stay valid.
  std::map<std::string, std::unique_ptr<ManagedZone>> zones_;
  Thread thread_;
};

}  // namespace turmericshift
