// What callers and workers saw during a soak, and whether the promises were kept. Shared between
// threads.
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

// A job as its caller made it.
struct SoakJob {
  pool::JobSpec spec;
  // So many runs of its first task end failed.
  int failures = 0;
};

class SoakHistory {
 public:
  // `max_attempts`: failed runs of a task that its queue allows.
  explicit SoakHistory(int max_attempts) : max_attempts_(max_attempts) {}

  // What callers saw. A job is noted before it is first sent.
  void RecordJob(const SoakJob& job);
  void RecordSubmission(const std::string& id, platform::CallOutcome outcome, Time now);
  void RecordCancelSent(const std::string& id);
  void RecordCancelled(const std::string& id, Time now);
  // A call sent at `sent` was told this state.
  void RecordState(const std::string& id, pool::JobState state);
  void RecordUnknown(const std::string& id, Time sent);

  // What workers see: one watch for each life.
  std::unique_ptr<pool::WorkerHooks> Watch(const std::string& node, const std::string& zone);
  void EndIncarnation(pool::WorkerHooks* watch);

  // What operators did.
  void RecordZoneOut(const std::string& zone, Time now);
  void RecordZoneIn(const std::string& zone);
  // Bounds in time don't hold before `until`: a process beside a worker stood still.
  void SuspendTimeLimits(Time until);

  void RecordViolation(const std::string& what);
  // Jobs that were accepted and not yet shown as over.
  std::vector<std::string> Pending() const;
  pool::JobSpec SpecOf(const std::string& id) const;
  // What can only be told once everything is over.
  void CheckAtEnd();
  std::vector<std::string> violations() const;
  // One line of figures.
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
  // An end and the life that lists it.
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
  // Null for a task of no job that was made. Wants the lock.
  const pool::StepSpec* FindStep(const pool::TaskId& task) const;
  int GangSize(const pool::TaskId& task) const;
  bool SavesCheckpoints(const pool::TaskId& task) const;
  void OnCheckpointSaved(const pool::TaskId& task, const std::string& checkpoint);
  // Members of a gang share their checkpoints: the first stands for all.
  static pool::TaskId CheckpointOwner(const pool::JobSpec& spec, const pool::TaskId& task);
  void CheckStart(const IncarnationWatch& incarnation, const pool::StartCall& call,
                  const JobRecord& job, Time now);
  void CheckTimeLimits(const IncarnationWatch& incarnation, const pool::TaskId& task,
                       const JobRecord& job, Time now);
  void CheckJob(const std::string& id, const JobRecord& job);
  void CheckTask(const pool::TaskId& task, const TaskRecord& record);
  // Of these ends, when the `count`th that the system has taken in came about; empty if there are
  // fewer. An end counts as taken in when its worker was told that it is kept, unless the worker's
  // lease ran out between the two: the system may take the task for lost then.
  static std::optional<Time> AcknowledgedAt(const std::vector<ListedEnd>& ends, int count);
  bool StepDone(const pool::JobSpec& spec, int step) const;
  void ViolationLocked(const std::string& what);

  const int max_attempts_;
  mutable std::mutex mutex_;
  std::map<std::string, JobRecord> jobs_;
  std::map<pool::TaskId, TaskRecord> tasks_;
  // What each task, or gang, has saved.
  std::map<pool::TaskId, std::set<std::string>> checkpoints_;
  std::map<std::string, Time> zones_out_;
  Time time_limits_suspended_until_{};
  int refused_ = 0;
  int resumed_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace turmericshift::soak
