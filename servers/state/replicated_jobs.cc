#include "servers/state/replicated_jobs.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmericshift {
namespace {

void SortByArrival(std::vector<JobRecord>* jobs) {
  std::sort(jobs->begin(), jobs->end(), [](const JobRecord& left, const JobRecord& right) {
    return left.sequence < right.sequence;
  });
}

}  // namespace

RecordVerdict ReplicatedJobs::Apply(const Record& record, Sequence sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const RecordVerdict verdict = std::visit(
      [&](const auto& each) -> RecordVerdict {
        if constexpr (requires { ApplyRecord(each, sequence); }) {
          return ApplyRecord(each, sequence);
        } else {
          return {false, "not a job record"};
        }
      },
      record);
  if (verdict.accepted) ++changes_;
  return verdict;
}

RecordVerdict ReplicatedJobs::ApplyRecord(const JobSubmitted& record, Sequence sequence) {
  const std::string id = JobId(record.spec.workspace, record.spec.key);
  if (jobs_.count(id) != 0) return {false, "the job was submitted before"};
  JobRecord job;
  job.id = id;
  job.spec = record.spec;
  job.zone = record.zone;
  job.sequence = sequence;
  job.config_version = record.config_version;
  job.submitted_wall_ms = record.wall_ms;
  open_[id] = &(jobs_[id] = job);
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const JobCancelled& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  if (found->second.state != JobState::kWaiting) return {false, "the job has ended"};
  found->second.cancel_asked = true;
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const JobEnded& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  if (found->second.state != JobState::kWaiting) return {false, "the job has ended"};
  // A replaced planner may report a job as ended because it lost the worker, while its successor
  // found the job running.
  if (record.epoch != kNoSequence && planners_[found->second.zone].epoch != record.epoch) {
    return {false, "a newer planner has the zone"};
  }
  found->second.state = record.state;
  found->second.attempt = record.attempt;
  found->second.reason = record.reason;
  found->second.ended_wall_ms = record.wall_ms;
  open_.erase(record.job);
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const JobMoved& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  JobRecord& job = found->second;
  if (job.state != JobState::kWaiting) return {false, "the job has ended"};
  if (job.zone != record.from) return {false, "the job belongs to another zone"};
  if (planners_[record.from].epoch != record.epoch) return {false, "a newer planner has the zone"};
  if (job.starting_attempt != 0 && record.checkpoint.empty()) {
    return {false, "an earlier attempt of the job may have run"};
  }
  job.zone = record.to;
  job.checkpoint = record.checkpoint;
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const JobStarting& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  JobRecord& job = found->second;
  const std::string why = RejectionReason(job, record.epoch);
  if (!why.empty()) return {false, why};
  if (job.cancel_asked) return {false, "the job was cancelled"};
  if (job.starting_attempt != 0 && !record.resumes) {
    return {false, "an earlier attempt of the job may have run"};
  }
  job.starting_attempt = record.attempt;
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const JobNotStarted& record, Sequence /*sequence*/) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return {false, "no such job"};
  const std::string why = RejectionReason(found->second, record.epoch);
  if (!why.empty()) return {false, why};
  if (found->second.starting_attempt != record.attempt) {
    return {false, "another attempt is starting"};
  }
  found->second.starting_attempt = 0;
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const PlannerClaimed& record, Sequence sequence) {
  PlannerEpoch& planner = planners_[record.zone];
  if (planner.epoch != record.after) return {false, "another entry has claimed the zone"};
  planner = {record.process, sequence};
  return {};
}

RecordVerdict ReplicatedJobs::ApplyRecord(const PlannerReleased& record, Sequence /*sequence*/) {
  PlannerEpoch& planner = planners_[record.zone];
  if (planner.epoch != record.epoch) return {false, "a newer planner has the zone"};
  // The epoch stays recorded, since the next planner's epoch must be higher.
  planner.process.clear();
  return {};
}

std::string ReplicatedJobs::RejectionReason(const JobRecord& job, Sequence epoch) const {
  if (job.state != JobState::kWaiting) return "the job has ended";
  const auto planner = planners_.find(job.zone);
  if (planner == planners_.end() || planner->second.epoch != epoch) {
    return "a newer planner has the zone";
  }
  return "";
}

nlohmann::json ReplicatedJobs::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json jobs = nlohmann::json::array();
  for (const auto& [id, job] : jobs_) {
    jobs.push_back({{"id", job.id},
                    {"spec", job.spec},
                    {"zone", job.zone},
                    {"sequence", job.sequence},
                    {"config_version", job.config_version},
                    {"submitted_wall_ms", job.submitted_wall_ms},
                    {"cancel_asked", job.cancel_asked},
                    {"state", JobStateName(job.state)},
                    {"attempt", job.attempt},
                    {"reason", job.reason},
                    {"ended_wall_ms", job.ended_wall_ms},
                    {"checkpoint", job.checkpoint},
                    {"starting_attempt", job.starting_attempt}});
  }
  nlohmann::json planners = nlohmann::json::object();
  for (const auto& [zone, planner] : planners_) {
    planners[zone] = {{"process", planner.process}, {"epoch", planner.epoch}};
  }
  return {{"changes", changes_}, {"jobs", jobs}, {"planners", planners}};
}

void ReplicatedJobs::Restore(const nlohmann::json& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_.clear();
  open_.clear();
  planners_.clear();
  changes_ = state.at("changes").get<int64_t>();
  for (const nlohmann::json& json : state.at("jobs")) {
    JobRecord job;
    json.at("id").get_to(job.id);
    json.at("spec").get_to(job.spec);
    json.at("zone").get_to(job.zone);
    json.at("sequence").get_to(job.sequence);
    json.at("config_version").get_to(job.config_version);
    json.at("submitted_wall_ms").get_to(job.submitted_wall_ms);
    json.at("cancel_asked").get_to(job.cancel_asked);
    job.state = JobStateFromName(json.at("state").get<std::string>());
    json.at("attempt").get_to(job.attempt);
    json.at("reason").get_to(job.reason);
    json.at("ended_wall_ms").get_to(job.ended_wall_ms);
    json.at("checkpoint").get_to(job.checkpoint);
    json.at("starting_attempt").get_to(job.starting_attempt);
    const JobRecord& restored = jobs_[job.id] = job;
    if (restored.state == JobState::kWaiting) open_[restored.id] = &restored;
  }
  for (const auto& [zone, planner] : state.at("planners").items()) {
    planners_[zone] = {planner.at("process").get<std::string>(),
                       planner.at("epoch").get<Sequence>()};
  }
}

std::optional<JobRecord> ReplicatedJobs::Find(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  return found->second;
}

std::vector<JobRecord> ReplicatedJobs::List(const std::string& workspace) const {
  std::vector<JobRecord> result;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, job] : jobs_) {
      if (workspace.empty() || job.spec.workspace == workspace) result.push_back(job);
    }
  }
  SortByArrival(&result);
  return result;
}

std::vector<JobRecord> ReplicatedJobs::OpenJobs(const std::string& zone) const {
  std::vector<JobRecord> result;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, job] : open_) {
      if (job->zone == zone) result.push_back(*job);
    }
  }
  SortByArrival(&result);
  return result;
}

std::map<std::string, size_t> ReplicatedJobs::OpenJobCounts() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, size_t> counts;
  for (const auto& [id, job] : jobs_) {
    if (job.state == JobState::kWaiting) ++counts[job.zone];
  }
  return counts;
}

PlannerEpoch ReplicatedJobs::Planner(const std::string& zone) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = planners_.find(zone);
  return found == planners_.end() ? PlannerEpoch{} : found->second;
}

int64_t ReplicatedJobs::changes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return changes_;
}

}  // namespace turmericshift
