// This worker's part of gangs: what is reserved, held and running here, under which planner epoch.
// The authority over the worker's accelerators.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "servers/agent/start_guard.h"
#include "servers/platform/worker_service.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class GangHost {
 public:
  // `worker` and `guard` must outlive the host.
  // `name` is the worker's, for log lines.
  GangHost(const TaskShape& capacity, WorkerService* worker, const StartGuard* guard,
           const std::string& name = "");

  void Reserve(const GangReserve& reserve, Time now);
  void Start(const GangStart& start, Time now);
  void Release(const GangAction& action, Time now);
  void Renew(const GangAction& action, Time now);
  void Stop(const GangAction& action, Time now);
  void Forget(const GangAction& action, Time now);

  // Drops reservations that were not started in time and stops gangs whose lease has run out.
  // Call it often.
  void Expire(Time now);

  std::vector<TaskReport> reports() const;
  Sequence epoch() const;

 private:
  enum class Phase { kReserved, kHeld, kRunning, kStopping };
  struct Part {
    GangReserve reserve;
    Phase phase = Phase::kReserved;
    // Reserved and held parts lapse, running ones stop, when this passes.
    Time until{};
    Duration lease{};
  };

  void RequireEpoch(Sequence epoch);
  Part& RequirePart(const std::string& job, int64_t attempt);
  void RequireRoom(const GangReserve& reserve) const;
  void StopTasks(const std::string& job, const Part& part, bool checkpoint);
  // One line of the history of a gang's member.
  void LogMember(const char* event, const std::string& job, const Part& part) const;

  const TaskShape capacity_;
  WorkerService* const worker_;
  const StartGuard* const guard_;
  const std::string name_;
  mutable std::mutex mutex_;
  Sequence epoch_ = kNoSequence;
  // By job; a job has one attempt here at a time.
  std::map<std::string, Part> parts_;
};

}  // namespace turmericshift
