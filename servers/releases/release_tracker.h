// Which workers will soon be replaced because their service is being released in a new version.
//
// Load pattern: the workers of a service are replaced one after the other by ones of a newer
// version. A run that cannot be saved and is placed on a worker that has yet to be replaced is lost
// with it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::releases {

// Why a release is no longer in progress.
enum class ReleaseEnd {
  // No worker of an older version is left.
  kAllReplaced,
  // No worker has been replaced for some time.
  kStopped,
  // Workers of the new version were replaced by ones of an older version.
  kRolledBack,
};
const char* ReleaseEndName(ReleaseEnd end);

// What shows that a release has begun.
enum class ReleaseSign {
  // A worker started in a version that was not seen before.
  kNewVersion,
  // Additional workers of the same version start while others leave, one after the other.
  kReplacement,
};
const char* ReleaseSignName(ReleaseSign sign);

// The begin of a release, or its end.
struct ReleaseChange {
  std::string service;
  // The version that is being released.
  std::string version;
  bool began = false;
  ReleaseSign sign = ReleaseSign::kNewVersion;
  // Unused if the release began.
  ReleaseEnd end = ReleaseEnd::kStopped;
  // Workers of the service that are outdated, and those of the new version.
  int outdated = 0;
  int updated = 0;
  // Time since the last event that showed the release: the start of a worker of the new version, or
  // the departure of an outdated one.
  Duration evidence_age{};
};

// A release of a service is in progress while workers of its newest version start in short
// intervals and workers of older versions are left. A version is newer if it was first seen later;
// the versions that were seen while the planner learned the pool count as one. Workers that
// announce the same version before and after count as replaced from the first additional one on,
// once two such starts have each been followed by the departure of another worker.
class ReleaseTracker {
 public:
  virtual ~ReleaseTracker() = default;

  // The worker runs as the incarnation that started at `start_time_ms` (milliseconds since 1970,
  // by the worker's clock). `version`: empty if the worker has not announced one. Calls that change
  // nothing are ignored.
  virtual void RecordWorker(const std::string& node, const std::string& service,
                            const std::string& version, int64_t start_time_ms, Time now) = 0;
  // The worker leaves or has left. It counts again once another incarnation is recorded.
  virtual void RecordGone(const std::string& node, Time now) = 0;

  // Whether a release of the worker's service is in progress and the worker has an older version.
  virtual bool IsOutdated(const std::string& node, Time now) const = 0;
  // Number of outdated workers, as of the last Update.
  virtual int outdated_workers() const = 0;
  // Returns the releases that began or ended since the last call. Cheap if nothing has changed.
  virtual std::vector<ReleaseChange> Update(Time now) = 0;
};

// Learns the versions of the pool until 3 s after `now`.
std::unique_ptr<ReleaseTracker> MakeReleaseTracker(Time now);
// Knows no release.
std::unique_ptr<ReleaseTracker> MakeNoReleases();

}  // namespace turmericshift::releases
