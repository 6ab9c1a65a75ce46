// Decides whether a new job is accepted.
//
// Load pattern: for a while, callers submit more work than the pool can do in time. A job that is
// accepted although it can only end worthless uses capacity that other jobs need, and its caller
// learns too late that it must look elsewhere. Such jobs are refused at once, those of the
// workspace that causes the overload first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"

namespace turmericshift::admission {

// Work to be done, by resource: an accelerator-bound pool has idle processors, so one sum of both
// would overstate its capacity.
struct Work {
  // Core-seconds, and accelerator-seconds.
  double processors = 0;
  double accelerators = 0;

  // With an accelerator counted as 8 cores.
  double core_seconds() const;
  Work& operator+=(const Work& other);
  Work& operator-=(const Work& other);
};

// Cores and accelerators of a pool.
struct Capacity {
  double processors = 0;
  double accelerators = 0;
};

// Shortest time in which `share` (0 to 1) of the capacity does the work; at most a day. Work on a
// resource that the pool has none of at the moment counts as none, since nothing is known of it.
Duration TimeFor(const Work& work, const Capacity& capacity, double share);

struct WorkspaceLoad {
  // Accepted work that is still to be done.
  std::map<int, Work> by_priority;
  // The part of it that a new job of the same priority overtakes: it has not begun, and its jobs
  // can no longer be on time.
  std::map<int, Work> overdue;
  int64_t guaranteed_accelerators = 0;
  // Accelerators that all unfinished jobs of priority 0 need.
  int64_t urgent_accelerators = 0;
};

// Load of the workers of one service.
struct PoolLoad {
  // When the load was computed.
  Time at{};
  Capacity capacity;
  std::map<std::string, WorkspaceLoad> workspaces;
  // How long the planner has been active.
  Duration planner_age{};
  // Share of the listed agents that report to the planner.
  double known_agents = 0;

  // Time for all accepted work.
  Duration backlog() const;
};

struct AdmissionRequest {
  std::string id;
  std::string workspace;
  std::string queue;
  std::string service;
  int priority = 0;
  Work work;
  // Accelerators that the job needs at a time.
  int64_t accelerators = 0;
  // Expected time from the first start to the end.
  Duration critical_path{};
  // Time from the first submission until the job is due, and until it has no value.
  Duration until_due{};
  Duration until_worthless{};
  // The job's steps run at set times, or without end, so that waiting has another meaning for it.
  bool exempt = false;
  // Whether the job could start on free room. Called at most once.
  std::function<bool()> has_free_room;
};

enum class RefusalReason { kPoolOverloaded, kWorkspaceOverloaded };
const char* RefusalReasonName(RefusalReason reason);

struct Refusal {
  RefusalReason reason = RefusalReason::kPoolOverloaded;
  Duration retry_after{};
  // Inputs of the decision: expected time until the job ends, and the time that was left for it.
  Duration forecast{};
  Duration limit{};
};

class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  // Returns why the job is refused; empty if it is admitted. Must not be called for a job that has
  // been accepted.
  virtual std::optional<Refusal> Decide(const AdmissionRequest& request, const PoolLoad& load,
                                        Time now) = 0;
  // Whether decisions depend on the load, so that it has to be computed.
  virtual bool needs_load() const = 0;
  // Number of refused jobs whose time to return is kept.
  virtual size_t refused_jobs() const = 0;
};

std::unique_ptr<AdmissionPolicy> MakeAdmitAll();
std::unique_ptr<AdmissionPolicy> MakeForecastAdmission();

}  // namespace turmericshift::admission
