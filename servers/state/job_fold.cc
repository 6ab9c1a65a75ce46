#include "servers/state/job_fold.h"

#include <algorithm>

namespace turmericshift {

FoldVerdict JobFold::Apply(const Record& record, Sequence sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const FoldVerdict verdict = std::visit(
      [&](const auto& each) -> FoldVerdict {
        if constexpr (requires { Take(each, sequence); }) {
          return Take(each, sequence);
        } else {
          return {false, "not a job record"};
        }
      },
      record);
  if (verdict.accepted) ++changes_;
  return verdict;
}

FoldVerdict JobFold::Take(const JobSubmitted& record, Sequence sequence) {
  const std::string id = JobId(record.spec.workspace, record.spec.key);
  if (jobs_.count(id) != 0) return {false, "the job was submitted before"};
  JobRecord job;
  job.id = id;
  job.spec = record.spec;
  job.zone = record.zone;
  job.sequence = sequence;
  job.config_version = record.config_version;
  job.submitted_wall_ms = record.wall_ms;
  jobs_[id] = job;
  return {};
}

FoldVerdict JobFold::Take(const JobCancelled& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  if (found->second.state != JobState::kWaiting) return {false, "the job has ended"};
  found->second.cancel_asked = true;
  return {};
}

FoldVerdict JobFold::Take(const JobEnded& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  if (found->second.state != JobState::kWaiting) return {false, "the job has ended"};
  found->second.state = record.state;
  found->second.attempt = record.attempt;
  found->second.reason = record.reason;
  found->second.ended_wall_ms = record.wall_ms;
  return {};
}

FoldVerdict JobFold::Take(const JobMoved& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  JobRecord& job = found->second;
  if (job.state != JobState::kWaiting) return {false, "the job has ended"};
  if (job.zone != record.from) return {false, "the job is with another planner"};
  if (planners_[record.from].epoch != record.epoch) return {false, "a newer planner has the zone"};
  job.zone = record.to;
  job.checkpoint = record.checkpoint;
  return {};
}

FoldVerdict JobFold::Take(const PlannerClaimed& record, Sequence sequence) {
  planners_[record.zone] = {record.process, sequence};
  return {};
}

std::optional<JobRecord> JobFold::Find(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  return found->second;
}

std::vector<JobRecord> JobFold::List(const std::string& workspace) const {
  std::vector<JobRecord> result;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, job] : jobs_) {
      if (workspace.empty() || job.spec.workspace == workspace) result.push_back(job);
    }
  }
  std::sort(result.begin(), result.end(), [](const JobRecord& left, const JobRecord& right) {
    return left.sequence < right.sequence;
  });
  return result;
}

std::vector<JobRecord> JobFold::OpenJobs(const std::string& zone) const {
  std::vector<JobRecord> result;
  for (const JobRecord& job : List("")) {
    if (job.zone == zone && job.state == JobState::kWaiting) result.push_back(job);
  }
  return result;
}

PlannerEpoch JobFold::Planner(const std::string& zone) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = planners_.find(zone);
  return found == planners_.end() ? PlannerEpoch{} : found->second;
}

int64_t JobFold::changes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return changes_;
}

}  // namespace turmericshift
