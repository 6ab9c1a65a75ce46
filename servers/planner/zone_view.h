// What a planner knows about its availability zone, and what it may decide. Plain data: placement
// policies read a view and return a plan; production and replay apply it in the same way.
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
  // What no task holds or reserves. Bit i of the mask: accelerator i is free.
  int free_processors = 0;
  int64_t free_memory_bytes = 0;
  uint32_t free_accelerators = 0;
  // Reached, not held out, not leaving: new tasks may start here.
  bool usable = true;
  // As `usable`, but for being held out after failures.
  bool reachable = true;
};

struct TaskOnWorker {
  int task = 0;
  std::string worker;
  uint32_t accelerators = 0;
  // The guaranteed cell that the task is bound to; none on borrowed room.
  std::optional<CellLevel> cell = std::nullopt;
  // The accelerators of that cell's block; those of the task are among them.
  uint32_t cell_mask = 0;
  // Where the worker stands in ZoneView::workers, if known; only a hint that saves looking up its
  // name.
  int position = -1;
};

struct WaitingJob {
  std::string id;
  JobSpec spec;
  // Order of arrival.
  Sequence sequence = kNoSequence;
  Time waiting_since{};
  // When this planner first saw the job; kept through restarts.
  Time accepted{};
  int64_t last_attempt = 0;
  // Attempts that ended without the job's own fault or success (worker lost, preempted).
  int restarts = 0;
  std::string checkpoint;
  // Share of the work that the checkpoint holds.
  double progress = 0;
  // Its caller no longer wants it: never to be started.
  bool cancel_asked = false;
  // Why it can't run in this zone under the present document; "" if it can.
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
  // Progress that this attempt started from, and that its newest checkpoint holds.
  double started_progress = 0;
  double saved_progress = 0;
  // Work since then is lost if the job is stopped now.
  Time last_checkpoint{};
  // Runs on room that another workspace's guarantee may claim back.
  bool borrowed = false;
  // A stop was asked for; its room is coming free.
  bool stopping = false;
  // Least share of work done among its tasks, as last reported.
  double progress = 0;
  std::vector<TaskOnWorker> tasks;
};

struct ZoneView {
  std::string zone;
  // False while operators have taken it out.
  bool in = true;
  std::shared_ptr<const Environment> environment;
  // Of that environment. Null: to be computed by whoever needs it.
  std::shared_ptr<const GuaranteeSplit> split;
  std::vector<WorkerView> workers;
  std::vector<WaitingJob> waiting;
  std::vector<RunningJob> running;
};

// Starts a gang; all of `tasks` or none.
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

// The job can never run here.
struct RefuseDecision {
  std::string job;
  std::string reason;
};

// Why a job is still waiting, for people.
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
