// The planning state of one zone: processes events, maintains the view, asks the policy for a plan
// and reserves the room that the plan uses. Used by ZonePlannerService in production and by replay,
// in the same way.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "servers/planner/feasibility.h"
#include "servers/planner/placement_policy.h"
#include "servers/planner/worker_health.h"
#include "servers/planner/zone_view.h"
#include "servers/state/replicated_jobs.h"

namespace turmericshift {

enum class AttemptEnd { kDone, kFailed, kStopped, kWorkerLost, kNotStarted };

class ZonePlanner {
 public:
  ZonePlanner(const std::string& zone, std::unique_ptr<PlacementPolicy> policy);

  void SetEnvironment(std::shared_ptr<const Environment> environment);
  // Adds the worker with nothing running on it. A worker that is already known only becomes
  // reachable again.
  void WorkerUp(const std::string& name, const std::string& rack, const TaskShape& capacity);
  void WorkerUsable(const std::string& name, bool usable);
  // Removes the worker. All attempts with tasks on it have ended.
  void WorkerLost(const std::string& name, Time now);

  void JobAccepted(const JobRecord& job, Time now);
  // Requests that the job be cancelled. Takes effect with the next Decide.
  void RequestCancel(const std::string& job);
  // Removes a job that has ended or now belongs to another planner.
  void RemoveJob(const std::string& job);
  // Adds a job that was found running after a change of planner.
  void FoundRunning(const JobRecord& job, int64_t attempt, const std::vector<TaskOnWorker>& tasks,
                    bool borrowed, Time now);
  void Progress(const std::string& job, double progress, Time now);
  void Checkpointed(const std::string& job, const std::string& checkpoint, Time now);
  // Frees the attempt's room. The job waits again unless the attempt is done or failed.
  void AttemptEnded(const std::string& job, int64_t attempt, AttemptEnd end, Time now);

  // Must be called before AttemptEnded when tasks failed on `workers`. The verdict is kJobAtFault
  // if the job failed (then pass AttemptEnd::kFailed), or kTryElsewhere if the job should be tried
  // on other workers (pass kStopped). A job that may not be repeated is at fault immediately.
  FailureVerdict AttemptFailedOn(const std::string& job, const std::vector<std::string>& workers,
                                 Time now);

  // Asks the policy for a plan and checks each of its starts again: the zone must be in, the room
  // free, the workspace's cap respected and every guarantee still attainable. A start that fails a
  // check is dropped and logged. A start beyond its workspace's guaranteed cells is marked as
  // borrowed.
  //
  // Takes the room of each start immediately. The caller carries out the plan and reports a failed
  // start with AttemptEnded(kNotStarted).
  Plan Decide(Time now);

  const ZoneView& view() const { return view_; }
  // Why the job waits; "" if it does not wait.
  std::string WaitReasonFor(const std::string& job) const;

 private:
  WorkerView* FindWorker(const std::string& name);
  RunningJob* FindRunning(const std::string& job);
  void AllocateRoom(const TaskShape& shape, const TaskOnWorker& task);
  void ReleaseRoom(const TaskShape& shape, const TaskOnWorker& task);
  void UpdatePositions(std::vector<TaskOnWorker>* tasks) const;
  // Binds running jobs to the cells of the current document. A job that no longer gets a cell is
  // marked as borrowed if it can be stopped.
  void RebindCells();
  void UpdateQuarantine(Time now);
  // Determines which waiting jobs can't run in this zone, and refuses jobs that can't run in any
  // zone.
  void CheckFeasibility(Plan* plan);
  void AddWaitReasons(const Plan& plan);
  // Binds borrowed jobs, on the room where they run now, to cells that their workspace does not
  // use.
  void BindBorrowed();
  void DropUnsafeStarts(Plan* plan);
  void ApplyStart(const StartDecision& start, Time now);
  void ApplyCancels(Plan* plan);

  ZoneView view_;
  WorkerHealth health_;
  bool rebind_needed_ = false;
  std::unique_ptr<Feasibility> feasibility_;
  // Waiting jobs that were checked against the current document.
  std::unordered_set<std::string> checked_jobs_;
  std::unordered_map<std::string, std::string> refused_jobs_;
  std::unordered_map<std::string, size_t> worker_index_;
  std::unordered_set<std::string> waiting_ids_;
  // Positions in view_.running; rebuilt after a removal.
  std::unordered_map<std::string, size_t> running_index_;
  bool running_index_stale_ = false;
  const std::unique_ptr<PlacementPolicy> policy_;
  std::map<std::string, bool> cancel_requested_;
  std::map<std::string, std::string> checkpoints_;
  std::map<std::string, std::string> wait_reasons_;
};

}  // namespace turmericshift
