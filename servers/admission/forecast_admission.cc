// Refuses a job that by an optimistic forecast would end without value for its caller. The forecast
// is optimistic so that only certain losses are refused: a refused job that would have ended in
// time is lost in any case, while an accepted job that ends late costs others at most its work.
#include <algorithm>

#include "servers/admission/admission_policy.h"
#include "servers/admission/return_schedule.h"

namespace turmericshift::admission {
namespace {

// A planner that has just taken over has not read all runs yet, and its expected run times are
// callers' estimates.
constexpr Duration kMinPlannerAge = std::chrono::seconds(5);
// With fewer known agents, the capacity would be underestimated.
constexpr double kMinKnownAgents = 0.9;
// An older load says nothing about the present one. Planning rounds are at most 0.1 s apart.
constexpr Duration kMaxLoadAge = std::chrono::seconds(2);
// Between two runs a worker's room is unused for some 0.1 s. Without this factor on the work times,
// callers return before the pool is ready for them.
constexpr double kReturnMargin = 1.1;
// Priority of the jobs that guarantees apply to.
constexpr int kGuaranteedPriority = 0;

// Work that the planner does before a new job of the priority. Without the exception for overdue
// work, jobs that could be on time would be refused for jobs that are lost already.
Work WorkAhead(const WorkspaceLoad& workspace, int priority) {
  Work ahead;
  for (const auto& [level, work] : workspace.by_priority) {
    if (level <= priority) ahead += work;
  }
  const auto overdue = workspace.overdue.find(priority);
  if (overdue != workspace.overdue.end()) ahead -= overdue->second;
  return ahead;
}

class ForecastAdmission : public AdmissionPolicy {
 public:
  std::optional<Refusal> Decide(const AdmissionRequest& request, const PoolLoad& load,
                                Time now) override;
  bool needs_load() const override { return true; }
  size_t refused_jobs() const override { return returns_.size(); }

 private:
  // Work ahead of a job, in the whole pool and in its workspace, and the workspace's share.
  struct Queue {
    Work all;
    Work own;
    double share = 1;
  };
  static Queue QueueAheadOf(const AdmissionRequest& request, const PoolLoad& load);
  static bool IsCovered(const AdmissionRequest& request, const PoolLoad& load);
  static bool KnowsPool(const PoolLoad& load, Time now);
  static RefusalReason ReasonFor(const Queue& queue, const Capacity& capacity, Duration limit);

  ReturnSchedule returns_;
};

std::optional<Refusal> ForecastAdmission::Decide(const AdmissionRequest& request,
                                                 const PoolLoad& load, Time now) {
  if (request.exempt || !KnowsPool(load, now) || IsCovered(request, load)) {
    returns_.Remove(request.id);
    return std::nullopt;
  }
  returns_.RemoveExpired(now);
  const Queue queue = QueueAheadOf(request, load);
  // A workspace gets its share however much the others have submitted, and more if the others leave
  // some. Since the load was computed, the pool has done some of it.
  const Duration wait = std::min(TimeFor(queue.all, load.capacity, 1),
                                 TimeFor(queue.own, load.capacity, queue.share)) -
                        (now - load.at);
  const Duration forecast = std::max(wait, Duration::zero()) + request.critical_path;
  // A returning job was submitted first when it was refused first.
  const Duration waited = now - returns_.FirstRefusal(request.id).value_or(now);
  const Duration limit = request.until_worthless - waited;
  // Once the pool serves new jobs in time, no job is refused because it was refused before.
  if (forecast <= std::max(limit, request.until_due) || request.has_free_room()) {
    returns_.Remove(request.id);
    return std::nullopt;
  }
  const Duration work_time = Scaled(TimeFor(request.work, load.capacity, 1), kReturnMargin);
  // Time passes for the job while it waits to return, as it would in the queue, so returning when
  // it would just not be worthless is in vain. It returns when the work ahead of it is done.
  const Time earliest = now + std::max(wait, Duration::zero());
  const Time back =
      returns_.Assign({request.id, request.service, request.priority, earliest, work_time}, now);
  Refusal refusal;
  refusal.reason = ReasonFor(queue, load.capacity, limit - request.critical_path);
  refusal.retry_after = std::max<Duration>(back - now, std::chrono::seconds(1));
  refusal.forecast = forecast;
  refusal.limit = limit;
  return refusal;
}

bool ForecastAdmission::KnowsPool(const PoolLoad& load, Time now) {
  const bool has_capacity = load.capacity.processors > 0 || load.capacity.accelerators > 0;
  return has_capacity && load.planner_age >= kMinPlannerAge &&
         load.known_agents >= kMinKnownAgents && now - load.at <= kMaxLoadAge;
}

bool ForecastAdmission::IsCovered(const AdmissionRequest& request, const PoolLoad& load) {
  if (request.priority != kGuaranteedPriority) return false;
  const auto found = load.workspaces.find(request.workspace);
  if (found == load.workspaces.end()) return false;
  const WorkspaceLoad& workspace = found->second;
  return workspace.guaranteed_accelerators > 0 &&
         workspace.urgent_accelerators + request.accelerators <= workspace.guaranteed_accelerators;
}

ForecastAdmission::Queue ForecastAdmission::QueueAheadOf(const AdmissionRequest& request,
                                                         const PoolLoad& load) {
  Queue queue;
  // Workspaces that compete for the capacity.
  int competing = 1;
  double guaranteed = 0;
  for (const auto& [name, workspace] : load.workspaces) {
    const Work ahead = WorkAhead(workspace, request.priority);
    queue.all += ahead;
    if (name == request.workspace) {
      queue.own = ahead;
      guaranteed = static_cast<double>(workspace.guaranteed_accelerators);
    } else if (ahead.core_seconds() > 0) {
      ++competing;
    }
  }
  queue.share = 1.0 / competing;
  if (load.capacity.accelerators > 0) {
    queue.share = std::max(queue.share, std::min(guaranteed / load.capacity.accelerators, 1.0));
  }
  return queue;
}

// The pool is overloaded if the other workspaces' work, too, exceeds what the rest of the capacity
// can do in the time.
RefusalReason ForecastAdmission::ReasonFor(const Queue& queue, const Capacity& capacity,
                                           Duration limit) {
  Work others = queue.all;
  others -= queue.own;
  const bool others_overloaded =
      queue.share < 1 && TimeFor(others, capacity, 1 - queue.share) > limit;
  return others_overloaded ? RefusalReason::kPoolOverloaded : RefusalReason::kWorkspaceOverloaded;
}

}  // namespace

std::unique_ptr<AdmissionPolicy> MakeForecastAdmission() {
  return std::make_unique<ForecastAdmission>();
}

}  // namespace turmericshift::admission
