// The planner's duties of one entry: one ZonePlannerService on a thread of its own for every
// availability zone of the document, so that a zone whose own entries are gone still gets a
// planner.
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
  // This entry's name and zone.
  std::string process;
  std::string own_zone;
  std::string policy = "first_fit";
};

class ZonePlannerManager {
 public:
  // All pointers must outlive the duties.
  ZonePlannerManager(const ZonePlannerManagerOptions& options, AgentDirectory* directory,
                     RecordWriter* jobs, const JobFold* job_fold, const ConfigFold* config_fold,
                     MetricsRegistry* metrics);
  ~ZonePlannerManager();
  ZonePlannerManager(const ZonePlannerManager&) = delete;
  ZonePlannerManager& operator=(const ZonePlannerManager&) = delete;

  // This entry holds the zone's duty and its planner is at work.
  bool Active(const std::string& zone) const;
  // Why the job waits, as far as this entry knows; "" if it does not.
  std::string WaitReasonFor(const JobRecord& job) const;
  // The attempt that runs now, by the planner or by what agents report; 0 if none.
  int64_t RunningAttempt(const JobRecord& job) const;

  // Hands every duty over. Returns whether all are, within `limit`.
  bool Leave(Duration limit);

 private:
  struct ZoneDuty;

  void Run();
  void RunZone(ZoneDuty* zone);
  // Null when there is none.
  const ZoneDuty* Find(const std::string& zone) const;

  const ZonePlannerManagerOptions options_;
  AgentDirectory* const directory_;
  RecordWriter* const jobs_;
  const JobFold* const job_fold_;
  const ConfigFold* const config_fold_;
  MetricsRegistry* const metrics_;
  GangRunner runner_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  // Never removed before the end, so that what Find returns stays.
  std::map<std::string, std::unique_ptr<ZoneDuty>> zones_;
  Thread thread_;
};

}  // namespace turmericshift
