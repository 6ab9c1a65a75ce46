// What the work topic says: every job with its progress, and who plans. A fold of keyed records,
// the same at every entry that has read as far.
#pragma once

#include <map>
#include <string>

#include "servers/platform/keyed_log.h"
#include "servers/pool/job_records.h"

namespace turmericshift::pool {

struct StoredJob {
  JobSpec spec;
  JobProgress progress;
};

class JobTable {
 public:
  // Takes one record in. Pages of the newest records and the history overlap: a record that is
  // older than what the book has of its key changes nothing. Throws Error(kInvalidInput) for bytes
  // that can't be read, with the book unchanged.
  void Apply(const KeyedRecord& record);

  const std::map<std::string, StoredJob>& jobs() const { return jobs_; }
  // Null when there is no such job.
  const StoredJob* Find(const std::string& id) const;
  const PlannerRecord& planner() const { return planner_; }
  // Offset of the newest sign of life of the planner.
  Offset newest_beat() const { return newest_beat_; }
  // Jobs of the queue that wait with nothing started, as far as the records tell.
  int Waiting(const std::string& queue) const;

 private:
  // Whether `record` is newer than what was taken in of its key; notes its offset if so.
  bool IsNews(const KeyedRecord& record);
  void ApplySpec(const std::string& id, const KeyedRecord& record);
  void ApplyProgress(const std::string& id, const KeyedRecord& record);

  std::map<std::string, StoredJob> jobs_;
  // Progress whose job has not been read yet: pages come in the order of keys.
  std::map<std::string, JobProgress> early_;
  std::map<std::string, Offset> offsets_;
  PlannerRecord planner_;
  Offset newest_beat_ = kNoOffset;
};

}  // namespace turmericshift::pool
