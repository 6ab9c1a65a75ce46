// How fast workers are, learned from the progress of their runs.
//
// Load pattern: workers of one service differ in speed by factors, and nobody announces it. A gang
// is as slow as its slowest member, so that urgent gangs that are placed without regard to speed
// end late although they hardly wait.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/learned/learned_part.h"

namespace turmericshift::speeds {

enum class SpeedClass { kSlow, kTypical, kFast };
const char* SpeedClassName(SpeedClass speed);

// Identifies a run whose progress is recorded; 0: none.
using RunHandle = int64_t;

struct RunInfo {
  // Identifies the step. The runs of a step do similar work, so they show differences in speed.
  std::string step;
  std::string queue;
  // Only workers of one service are compared with each other.
  std::string service;
  std::string worker;
  // Run time expected on a typical worker.
  Duration expected{};
};

struct SpeedSummary {
  // Workers with at least one measured run.
  int known = 0;
  // Workers that are slow, or fast, beyond doubt.
  int slow = 0;
  int fast = 0;
  // Standard deviation of the logarithms of the time factors.
  double spread = 0;
};

// A worker whose class has changed.
struct SpeedChange {
  std::string worker;
  SpeedClass speed = SpeedClass::kTypical;
  double factor = 1;
  // Standard deviation of the factor's logarithm.
  double deviation = 0;
};

// Speeds as factors on run times: 1 for a typical worker, above 1 for a slow one. Factors are 1
// until workers have been observed to differ so much that speed has to decide where work goes.
class WorkerSpeeds : public learned::LearnedPart {
 public:
  // Workers whose factor exceeds `factor` (above 1) are slow: they use up the slack that the terms
  // of the most urgent queue leave.
  virtual void SetSlowFactor(double factor) = 0;
  virtual double slow_factor() const = 0;
  // The worker runs as the incarnation that started at `start_time_ms` (milliseconds since 1970).
  // What was learned of another incarnation is dropped: it may run on a different VM.
  virtual void BeginIncarnation(const std::string& worker, int64_t start_time_ms) = 0;

  virtual RunHandle BeginRun(const RunInfo& run, Time now) = 0;
  // The worker reported that `percent` (0 to 100) of the run's work was done at `at`.
  virtual void RecordProgress(RunHandle run, int percent, Time at) = 0;
  // The run has done all its work in `elapsed`.
  virtual void RecordDone(RunHandle run, Duration elapsed, Time now) = 0;
  // Updates the estimates from what was recorded, and returns the workers whose class has changed.
  // Cheap if it was called a short time ago.
  virtual std::vector<SpeedChange> Update(Time now) = 0;

  virtual bool uneven() const = 0;
  // Expected factor; 1 for a worker that is not known.
  virtual double TimeFactor(const std::string& worker, Time now) const = 0;
  // A factor that the worker probably does not exceed, higher for less well-known workers.
  virtual double CautiousFactor(const std::string& worker, Time now) const = 0;
  // Whether the worker has lately been several times as slow as before.
  virtual bool IsSlowed(const std::string& worker, Time now) const = 0;
  virtual SpeedSummary summary() const = 0;
};

// All workers count as equally fast.
std::unique_ptr<WorkerSpeeds> MakeEqualSpeeds();
std::unique_ptr<WorkerSpeeds> MakeLearnedSpeeds();

}  // namespace turmericshift::speeds
