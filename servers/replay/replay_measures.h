// The measures of a replay: job completion time, fragmentation, work done while zones leave and
// return, and what explains them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/replay/replay_platform.h"

namespace turmericshift {

// What became of one job of the trace.
struct ReplayJob {
  std::string id;
  TracedJob job;
  std::string zone;
  // All since the trace's start. `asked` is the first try, also while the log was down.
  Duration submitted{};
  std::optional<Duration> started;
  std::optional<Duration> ended;
  JobState state = JobState::kWaiting;
  int attempts = 0;
  // Attempts that were stopped to give a guarantee back.
  int reclaims = 0;
  // Accelerator-seconds of work that was done and thrown away.
  double lost_work = 0;

  int accelerators() const { return job.spec.shape.accelerators * job.spec.tasks; }
};

// One measure by name; times are in seconds.
struct Measure {
  std::string name;
  double value = 0;
};

// Sums over time that need the state between two events.
class TimeIntegrals {
 public:
  // The state held for `span`, ending before the next change. `requested_accelerators`: of all jobs
  // that have not ended.
  void Add(const std::vector<const ZoneView*>& zones, const ReplayPlatform& platform,
           int requested_accelerators, Duration span);
  // From the first zone that leaves until some time after the last return, work counts for the
  // zone-change measure.
  void ZoneChanged(Time now);
  void AddLostWork(double accelerator_seconds);
  void SetTime(Time now) { now_ = now; }

  double fragmentation() const;
  double work_share() const;
  // Absent when no zone changed.
  std::optional<double> zone_change_work_share() const;

 private:
  struct Work {
    double done = 0;
    double attainable = 0;
  };
  bool InZoneChange() const;

  Time now_{};
  std::optional<Time> last_zone_change_;
  double free_ = 0;
  double unusable_ = 0;
  Work all_;
  Work zone_change_;
};

// Free accelerators of the zone, and those of them that neither a waiting job nor a gang on one
// whole worker can use.
struct FreeRoom {
  int free = 0;
  int unusable = 0;
};
FreeRoom FreeRoomOf(const ZoneView& zone);

// All measures, in the order of the report; `workspace` "" for all jobs.
std::vector<Measure> MeasuresOf(const std::map<std::string, ReplayJob>& jobs,
                                const std::string& workspace);

}  // namespace turmericshift
