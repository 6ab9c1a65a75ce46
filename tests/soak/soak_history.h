// Records what callers and workers saw during a soak, and checks the guarantees. Thread-safe.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/stand_ins/fake_pool_worker.h"
#include "platform/soak/caller.h"

namespace turmericshift::soak {

// A job as its caller created it.
struct SoakJob {
  pool::JobSpec spec;
  // Number of runs of the job's first task that fail.
  int failures = 0;
};

class SoakHistory {
 public:
  // `max_attempts`: number of failed runs after which a task is not run again.
  explicit SoakHistory(int max_attempts) : max_attempts_(max_attempts) {}

  // Observations of callers. A job is recorded before it is first submitted.
  void RecordJob(const SoakJob& job);
  void RecordSubmission(const std::string& id, platform::CallOutcome outcome, Time now);
  void RecordCancelSent(const std::string& id);
  void RecordCancelled(const std::string& id, Time now);
  // Records a state that a caller received.
  void RecordState(const std::string& id, pool::JobState state);
  void RecordUnknown(const std::string& id, Time sent);

  // Creates the hooks that record observations of one incarnation of a worker.
  std::unique_ptr<pool::WorkerHooks> Watch(const std::string& node, const std::string& zone);
  void EndIncarnation(pool::WorkerHooks* watch);

  // Changes made by operators.
  void RecordZoneOut(const std::string& zone, Time now);
  void RecordZoneIn(const std::string& zone);
  // Suspends the checks of time limits until `until`, because a paused agent may delay orders.
  void SuspendTimeLimits(Time until);

  void RecordViolation(const std::string& what);
  // Accepted jobs for which no caller has received a final state.
  std::vector<std::string> Pending() const;
  pool::JobSpec SpecOf(const std::string& id) const;
  // Checks the guarantees that can be decided only at the end of the soak.
  void CheckAtEnd();
  std::vector<std::string> violations() const;
  // Totals for the report, in one line.
  std::string Summary() const;

 private:
  class IncarnationWatch;
  struct JobRecord {
    SoakJob job;
    std::optional<Time> accepted;
    bool outcome_unknown = false;
    bool cancel_sent = false;
    std::optional<Time> cancelled;
    std::optional<pool::JobState> final_state;
    int starts = 0;
  };
  // The end of a run and the worker incarnation that reports it.
  struct ListedEnd {
    IncarnationWatch* incarnation = nullptr;
    int64_t number = 0;
    Time at{};
  };
  struct TaskRecord {
    std::map<int64_t, IncarnationWatch*> live;
    std::vector<ListedEnd> done;
    std::vector<ListedEnd> failed;
    std::vector<Time> starts;
  };

  void OnStarted(IncarnationWatch* incarnation, const pool::StartCall& call);
  void OnEnded(IncarnationWatch* incarnation, const pool::EndedTask& end);
  bool ShouldFail(const pool::RunId& run);
  // Returns null for a task of an unknown job. The caller must hold the lock.
  const pool::StepSpec* FindStep(const pool::TaskId& task) const;
  int GangSize(const pool::TaskId& task) const;
  bool SavesCheckpoints(const pool::TaskId& task) const;
  void OnCheckpointSaved(const pool::TaskId& task, const std::string& checkpoint);
  // The task under which checkpoints are recorded; for a gang its first member, as all share them.
  static pool::TaskId CheckpointOwner(const pool::JobSpec& spec, const pool::TaskId& task);
  void CheckStart(const IncarnationWatch& incarnation, const pool::StartCall& call,
                  const JobRecord& job, Time now);
  void CheckTimeLimits(const IncarnationWatch& incarnation, const pool::TaskId& task,
                       const JobRecord& job, Time now);
  void CheckJob(const std::string& id, const JobRecord& job);
  void CheckTask(const pool::TaskId& task, const TaskRecord& record);
  // When the `count`th acknowledged end among `ends` occurred; empty if there are fewer. An end
  // counts once its worker has received the acknowledgement, unless the worker's lease expired in
  // between: the system may then consider the task lost.
  static std::optional<Time> AcknowledgedAt(const std::vector<ListedEnd>& ends, int count);
  bool StepDone(const pool::JobSpec& spec, int step) const;
  void ViolationLocked(const std::string& what);

  const int max_attempts_;
  mutable std::mutex mutex_;
  std::map<std::string, JobRecord> jobs_;
  std::map<pool::TaskId, TaskRecord> tasks_;
  // Checkpoints saved by each task or gang.
  std::map<pool::TaskId, std::set<std::string>> checkpoints_;
  std::map<std::string, Time> zones_out_;
  Time time_limits_suspended_until_{};
  int refused_ = 0;
  int resumed_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace turmericshift::soak
