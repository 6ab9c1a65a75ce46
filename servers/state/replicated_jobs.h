// All jobs and the planner epochs, replicated from the jobs stream.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "servers/state/replicated_state.h"

namespace turmericshift {

struct JobRecord {
  std::string id;
  JobSpec spec;
  std::string zone;
  // Sequence of the submission, which is the order of arrival.
  Sequence sequence = kNoSequence;
  int64_t config_version = 0;
  int64_t submitted_wall_ms = 0;
  bool cancel_asked = false;
  // kWaiting until an end is recorded. Whether the job runs is known to agents and planners only.
  JobState state = JobState::kWaiting;
  int64_t attempt = 0;
  std::string reason;
  int64_t ended_wall_ms = 0;
  // Checkpoint to resume from, recorded by the planner that moved the job to another zone.
  std::string checkpoint;
  // For a job that must not run twice: the attempt whose held tasks may have been released to run,
  // according to a JobStarting record; 0 if there is none.
  int64_t starting_attempt = 0;
};

struct PlannerEpoch {
  // Process that is the active planner. Empty after the planner stepped down.
  std::string process;
  Sequence epoch = kNoSequence;
};

class ReplicatedJobs : public ReplicatedState {
 public:
  RecordVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  std::optional<JobRecord> Find(const std::string& id) const;
  // Jobs of `workspace` ("" for all workspaces), in order of arrival.
  std::vector<JobRecord> List(const std::string& workspace) const;
  // Jobs of the zone that have not ended, in order of arrival.
  std::vector<JobRecord> OpenJobs(const std::string& zone) const;
  // Number of jobs that have not ended, by zone.
  std::map<std::string, size_t> OpenJobCounts() const;
  // The highest planner epoch claimed for the zone.
  PlannerEpoch Planner(const std::string& zone) const;
  // Number of accepted records; changes whenever the state does.
  int64_t changes() const;

 private:
  RecordVerdict ApplyRecord(const JobSubmitted& record, Sequence sequence);
  RecordVerdict ApplyRecord(const JobCancelled& record, Sequence sequence);
  RecordVerdict ApplyRecord(const JobEnded& record, Sequence sequence);
  RecordVerdict ApplyRecord(const JobMoved& record, Sequence sequence);
  RecordVerdict ApplyRecord(const JobStarting& record, Sequence sequence);
  RecordVerdict ApplyRecord(const JobNotStarted& record, Sequence sequence);
  RecordVerdict ApplyRecord(const PlannerClaimed& record, Sequence sequence);
  RecordVerdict ApplyRecord(const PlannerReleased& record, Sequence sequence);
  // Returns why a record about `job` by the planner with `epoch` is rejected, or "" if it is not.
  std::string RejectionReason(const JobRecord& job, Sequence epoch) const;

  mutable std::mutex mutex_;
  int64_t changes_ = 0;
  std::map<std::string, JobRecord> jobs_;
  // Jobs of `jobs_` that have not ended, by id. Planners list these many times a second, and
  // searching `jobs_` would also visit all the ended jobs that are remembered.
  std::map<std::string, const JobRecord*> open_;
  std::map<std::string, PlannerEpoch> planners_;
};

}  // namespace turmericshift
