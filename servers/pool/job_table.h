// State machine that is fed by the records of the work topic: all jobs with their progress, and the
// active planner. It is the same on every entry that has read up to the same offset.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "servers/platform/keyed_log.h"
#include "servers/pool/job_records.h"

namespace turmericshift::pool {

struct StoredProgress {
  // Contains the tasks of all parts.
  JobProgress progress;
  // Numbers of the parts that are stored; see progress_parts.h.
  std::set<int64_t> parts;
  // Whether the record of the job itself contains tasks.
  bool has_own_tasks = false;
};

struct StoredJob : StoredProgress {
  JobSpec spec;
};

class JobTable {
 public:
  // Applies one record. Pages of the newest records overlap with the history, so a record that is
  // not newer than the last one of its key is ignored. Throws Error(kInvalidInput) for malformed
  // bytes, with the jobs and the planner unchanged.
  void Apply(const KeyedRecord& record);

  const std::map<std::string, StoredJob>& jobs() const { return jobs_; }
  // Null if there is no such job.
  const StoredJob* Find(const std::string& id) const;
  const PlannerRecord& planner() const { return planner_; }
  // Newest text of each record of learned state, by the name of its part. It is not decoded here,
  // so that a malformed one can't affect jobs.
  const std::map<std::string, std::string>& learned() const { return learned_; }
  // Offset of the newest record. Any record, in particular a heartbeat, shows that the planner was
  // alive.
  Offset newest_offset() const { return newest_offset_; }
  // Number of the queue's jobs that have not started, according to the records.
  int Waiting(const std::string& queue) const;

 private:
  // Whether `record` is newer than the last record of its key; if so, stores its offset.
  bool UpdateOffsetIfNewer(const KeyedRecord& record);
  void ApplySpec(const std::string& id, const KeyedRecord& record);
  void ApplyProgress(const std::string& id, const KeyedRecord& record);
  void ApplyPart(const KeyedRecord& record);
  // The progress of a job, whether or not its specification has been read.
  StoredProgress& ProgressOf(const std::string& id);
  void ApplyLearned(const std::string& name, const KeyedRecord& record);

  std::map<std::string, StoredJob> jobs_;
  // Progress of jobs whose specification has not been read yet: pages come in the order of keys.
  std::map<std::string, StoredProgress> orphaned_progress_;
  std::map<std::string, std::string> learned_;
  std::map<std::string, Offset> offsets_;
  PlannerRecord planner_;
  Offset newest_offset_ = kNoOffset;
};

}  // namespace turmericshift::pool
