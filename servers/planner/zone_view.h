// What a planner knows about its availability zone, and what it can decide. Plain data: placement
// policies read a view and return a plan, which production and replay apply in the same way.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/config/environment.h"
#include "servers/jobs/job.h"
#include "servers/state/record.h"

namespace turmericshift {

struct GuaranteeSplit;

struct WorkerView {
  std::string name;
  std::string rack;
  TaskShape capacity;
  // Resources that no task uses or reserves. Bit i of the mask is set if accelerator i is free.
  int free_processors = 0;
  int64_t free_memory_bytes = 0;
  uint32_t free_accelerators = 0;
  // New tasks may start here: the worker is reachable and not in quarantine.
  bool usable = true;
  // As `usable`, but regardless of a quarantine after failures. False while the worker's agent is
  // silent or leaving.
  bool reachable = true;
};

struct TaskOnWorker {
  int task = 0;
  std::string worker;
  uint32_t accelerators = 0;
  // The guaranteed cell that the task is bound to; none on borrowed room.
  std::optional<CellLevel> cell = std::nullopt;
  // The accelerators of that cell's block, which include the task's accelerators.
  uint32_t cell_mask = 0;
  // The index of the worker in ZoneView::workers, or -1. Only a hint that saves a look-up by name.
  int position = -1;
};

struct WaitingJob {
  std::string id;
  JobSpec spec;
  // Order of submission.
  Sequence sequence = kNoSequence;
  Time waiting_since{};
  // When this planner first saw the job. Does not change when the job restarts.
  Time accepted{};
  int64_t last_attempt = 0;
  // Attempts that ended without the job's success or fault, as when a worker was lost or the job
  // was preempted.
  int restarts = 0;
  std::string checkpoint;
  // The share of the work that the checkpoint contains.
  double progress = 0;
  // The caller has cancelled the job, so it must not be started.
  bool cancel_asked = false;
  // Why the job can't run in this zone under the current document; "" if it can.
  std::string obstacle;
};

struct RunningJob {
  std::string id;
  JobSpec spec;
  Sequence sequence = kNoSequence;
  int64_t attempt = 0;
  Time started{};
  Time accepted{};
  int restarts = 0;
  // The progress at which this attempt started, and the progress in its newest checkpoint.
  double started_progress = 0;
  double saved_progress = 0;
  // Work since this time is lost if the job is stopped now.
  Time last_checkpoint{};
  // Runs on room that the guarantee of another workspace may reclaim.
  bool borrowed = false;
  // A stop was requested, so the job's room will become free.
  bool stopping = false;
  // The lowest progress among the job's tasks, as last reported.
  double progress = 0;
  std::vector<TaskOnWorker> tasks;
};

struct ZoneView {
  std::string zone;
  // False while operators have taken the zone out.
  bool in = true;
  std::shared_ptr<const Environment> environment;
  // The split of `environment`. If null, users of the view compute it.
  std::shared_ptr<const GuaranteeSplit> split;
  std::vector<WorkerView> workers;
  std::vector<WaitingJob> waiting;
  std::vector<RunningJob> running;
};

// Starts a gang: either all of `tasks` or none.
struct StartDecision {
  std::string job;
  int64_t attempt = 0;
  bool borrowed = false;
  std::vector<TaskOnWorker> tasks;
};

enum class StopReason { kCancelled, kReclaim, kDefragment, kZoneOut };
const char* StopReasonName(StopReason reason);

struct StopDecision {
  std::string job;
  int64_t attempt = 0;
  bool checkpoint = false;
  StopReason reason = StopReason::kReclaim;
};

// Refuses a job that can never run in any zone.
struct RefuseDecision {
  std::string job;
  std::string reason;
};

// Explains to users why a job is still waiting.
struct WaitReason {
  std::string job;
  std::string reason;
};

struct Plan {
  std::vector<StartDecision> starts;
  std::vector<StopDecision> stops;
  std::vector<RefuseDecision> refusals;
  std::vector<WaitReason> waits;
};

}  // namespace turmericshift
