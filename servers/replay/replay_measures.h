// The measures of a replay: job completion time, fragmentation, the work done while zones are out
// and come back, and further figures that explain these.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/replay/replay_platform.h"

namespace turmericshift {

// The outcome of one job of the trace.
struct ReplayJob {
  std::string id;
  TracedJob job;
  std::string zone;
  // Times since the start of the trace. `submitted` is the first attempt to submit, even if the log
  // was down then.
  Duration submitted{};
  std::optional<Duration> started;
  std::optional<Duration> ended;
  JobState state = JobState::kWaiting;
  int attempts = 0;
  // The number of attempts that were preempted to meet a guarantee.
  int reclaims = 0;
  // Work that was done and lost, in accelerator-seconds.
  double lost_work = 0;

  int accelerators() const { return job.spec.shape.accelerators * job.spec.tasks; }
};

// One named measure. Times are in seconds.
struct Measure {
  std::string name;
  double value = 0;
};

// Accumulates free room and work over time, from which the measures of fragmentation and of work
// are computed. The state is constant between events.
class TimeIntegrals {
 public:
  // Adds a period of length `span` without changes. `requested_accelerators`: the sum over all jobs
  // that have not ended.
  void Add(const std::vector<const ZoneView*>& zones, const ReplayPlatform& platform,
           int requested_accelerators, Duration span);
  // Records that a zone was taken out or brought back in. Work counts for the zone-change measure
  // from the first change until kZoneChangeWindow after the last change.
  void ZoneChanged(Time now);
  void AddLostWork(double accelerator_seconds);
  void SetTime(Time now) { now_ = now; }

  double fragmentation() const;
  double work_share() const;
  // None if no zone changed.
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

// The free accelerators of a zone, and how many of them are unusable: neither a waiting job nor a
// gang on one whole worker can use them.
struct FreeRoom {
  int free = 0;
  int unusable = 0;
};
FreeRoom FreeRoomOf(const ZoneView& zone);

// Returns all measures in the order of the report, for the jobs of `workspace` or for all jobs if
// it is "".
std::vector<Measure> MeasuresOf(const std::map<std::string, ReplayJob>& jobs,
                                const std::string& workspace);

}  // namespace turmericshift
