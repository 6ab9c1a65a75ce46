// All jobs and the planner epochs, as a fold of the jobs stream.
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
  // Position of the submission; the order of arrival.
  Sequence sequence = kNoSequence;
  int64_t config_version = 0;
  int64_t submitted_wall_ms = 0;
  bool cancel_asked = false;
  // kWaiting until an end is recorded; whether it runs is known to agents and planners only.
  JobState state = JobState::kWaiting;
  int64_t attempt = 0;
  std::string reason;
  int64_t ended_wall_ms = 0;
  // Left by the planner that the job was moved away from.
  std::string checkpoint;
  // Of a job that may not be repeated: the attempt that may have been released; 0 if none.
  int64_t starting_attempt = 0;
};

struct PlannerEpoch {
  // Empty after a clean hand-over.
  std::string process;
  Sequence epoch = kNoSequence;
};

class ReplicatedJobs : public ReplicatedState {
 public:
  RecordVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  std::optional<JobRecord> Find(const std::string& id) const;
  // Jobs of `workspace` ("" for all), in order of arrival.
  std::vector<JobRecord> List(const std::string& workspace) const;
  // Jobs of the zone that have not ended.
  std::vector<JobRecord> OpenJobs(const std::string& zone) const;
  // How many jobs that have not ended each zone has.
  std::map<std::string, size_t> OpenJobCounts() const;
  // The highest epoch claimed for a zone's planner.
  PlannerEpoch Planner(const std::string& zone) const;
  // Rises with each accepted record.
  int64_t changes() const;

 private:
  RecordVerdict Take(const JobSubmitted& record, Sequence sequence);
  RecordVerdict Take(const JobCancelled& record, Sequence sequence);
  RecordVerdict Take(const JobEnded& record, Sequence sequence);
  RecordVerdict Take(const JobMoved& record, Sequence sequence);
  RecordVerdict Take(const JobStarting& record, Sequence sequence);
  RecordVerdict Take(const JobNotStarted& record, Sequence sequence);
  RecordVerdict Take(const PlannerClaimed& record, Sequence sequence);
  RecordVerdict Take(const PlannerReleased& record, Sequence sequence);
  // Why a record of the planner at `epoch` about `job` is void; "" if it is not.
  std::string WhyVoid(const JobRecord& job, Sequence epoch) const;

  mutable std::mutex mutex_;
  int64_t changes_ = 0;
  std::map<std::string, JobRecord> jobs_;
  // The jobs of `jobs_` that have not ended, by id: planners ask for these many times a second, and
  // the ended ones of all the time that the fold remembers would drown them.
  std::map<std::string, const JobRecord*> open_;
  std::map<std::string, PlannerEpoch> planners_;
};

}  // namespace turmericshift
