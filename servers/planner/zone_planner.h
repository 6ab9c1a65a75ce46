// The state of one zone's planning: takes events, keeps the view, asks the policy, and marks what
// it decided as taken. Used by the planner's duty in production and by replay, in the same way.
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
#include "servers/state/job_fold.h"

namespace turmericshift {

// Why an attempt ended.
enum class AttemptEnd { kDone, kFailed, kStopped, kWorkerLost, kNotStarted };

class ZonePlanner {
 public:
  ZonePlanner(const std::string& zone, std::unique_ptr<PlacementPolicy> policy);

  void SetEnvironment(std::shared_ptr<const Environment> environment);
  // The worker is there with nothing running; a known worker only becomes usable again.
  void WorkerUp(const std::string& name, const std::string& rack, const TaskShape& capacity);
  void WorkerUsable(const std::string& name, bool usable);
  // What ran there is lost: its jobs' attempts have ended.
  void WorkerLost(const std::string& name, Time now);

  void JobAccepted(const JobRecord& job, Time now);
  // Takes effect with the next Decide.
  void CancelAsked(const std::string& job);
  // The job has ended or belongs to another planner; forgets it.
  void JobGone(const std::string& job);
  // A job that was found running after a change of planner.
  void FoundRunning(const JobRecord& job, int64_t attempt, const std::vector<TaskOnWorker>& tasks,
                    bool borrowed, Time now);
  void Progress(const std::string& job, double progress, Time now);
  void Checkpointed(const std::string& job, const std::string& checkpoint, Time now);
  // Frees its room. The job waits again unless it is done, failed or cancelled.
  void AttemptEnded(const std::string& job, int64_t attempt, AttemptEnd end, Time now);

  // To be asked before AttemptEnded when tasks failed on `workers`: whether the job is at fault
  // (kFailed) or should be tried on other workers (kStopped). Work that may not be repeated is at
  // fault at once.
  FailureVerdict AttemptFailedOn(const std::string& job, const std::vector<std::string>& workers,
                                 Time now);

  // Whether a start that a policy planned may go ahead is checked here once more, whatever the
  // policy: zone in, room free, cap kept, every guarantee still within reach. One that may not is
  // dropped and logged. Work beyond its workspace's cells is marked as borrowed.
  //
  // Decides and takes the room of each start at once. The caller carries the plan out and reports
  // a start that failed with AttemptEnded(kNotStarted).
  Plan Decide(Time now);

  const ZoneView& view() const { return view_; }
  // Why the job waits; "" if it does not.
  std::string WaitReasonFor(const std::string& job) const;

 private:
  WorkerView* FindWorker(const std::string& name);
  RunningJob* FindRunning(const std::string& job);
  void Take(const TaskShape& shape, const TaskOnWorker& task);
  void GiveBack(const TaskShape& shape, const TaskOnWorker& task);
  void NotePositions(std::vector<TaskOnWorker>* tasks) const;
  // Binds what runs to the cells of the present document; work that no longer has one is borrowed.
  void Rebind();
  void HoldOutWorkers(Time now);
  // Notes which waiting jobs can't run here, and refuses those that can't run anywhere.
  void CheckFeasibility(Plan* plan);
  void AddWaitReasons(const Plan& plan);
  // Binds borrowed work to cells that its workspace does not use otherwise, where it runs now.
  void BindBorrowed();
  void DropUnsafeStarts(Plan* plan);
  void ApplyStart(const StartDecision& start, Time now);
  void ApplyCancels(Plan* plan);

  ZoneView view_;
  WorkerHealth health_;
  bool rebind_ = false;
  std::unique_ptr<Feasibility> feasibility_;
  // Waiting jobs that were checked against the present document.
  std::unordered_set<std::string> checked_;
  std::unordered_map<std::string, std::string> refused_;
  std::unordered_map<std::string, size_t> worker_index_;
  std::unordered_set<std::string> waiting_ids_;
  // Positions in view_.running; made anew after a removal.
  std::unordered_map<std::string, size_t> running_index_;
  bool running_index_stale_ = false;
  const std::unique_ptr<PlacementPolicy> policy_;
  std::map<std::string, bool> cancel_asked_;
  std::map<std::string, std::string> checkpoints_;
  std::map<std::string, std::string> wait_reasons_;
};

}  // namespace turmericshift
