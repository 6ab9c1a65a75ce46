// Explains the outcome of a job from the log lines of several processes.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "servers/explain/loss_report.h"

namespace turmericshift {

// Outcome of a job, as far as the log lines show it.
enum class JobOutcome {
  kCompleted,
  kFailed,
  kCancelled,
  // Not accepted, and the caller was told that the job was not run.
  kRefused,
  // The caller was told that it is unknown whether the job was accepted.
  kUnknownToCaller,
  // Accepted, but no line shows the end of the job.
  kUnfinished,
  // No line names the job.
  kNotSeen,
};
const char* JobOutcomeName(JobOutcome outcome);

struct JobLogLine {
  int64_t time_ms = 0;
  std::string process;
  std::string event;
  // The other fields of the line as "name=value", separated by spaces.
  std::string details;
};

struct JobExplanation {
  std::string job;
  JobOutcome outcome = JobOutcome::kNotSeen;
  // What decided the outcome, or what delayed the job most, in one sentence.
  std::string cause;
  std::vector<JobLogLine> lines;
  int runs = 0;
  int failed_runs = 0;
  int stopped_runs = 0;
  int lost_runs = 0;
  int refusals = 0;
  // Number of times that the job's record was withdrawn unsent because the store did not answer.
  int withdrawals = 0;
};

// Reads the JSON log lines of all processes, in any order, and explains jobs. A line may have a
// prefix, such as a time or a name, before the JSON object; lines without a JSON object are
// ignored.
class JobExplainer {
 public:
  void Read(std::istream& lines);
  JobExplanation Explain(const std::string& job) const;
  // Returns all jobs that are named in the lines, sorted.
  std::vector<std::string> jobs() const;

 private:
  struct Entry {
    JobLogLine line;
    std::string job;
    std::string how;
    std::string state;
    std::string reason;
    bool asked = false;
    bool not_run = false;
  };

  // One sentence if a slow worker delayed the job most; empty otherwise.
  std::string SlowWorkerCause(const std::string& job, bool completed) const;
  // The slowest worker of the run, as far as the `worker_speed` lines tell.
  std::string SlowestWorkerOf(const SlowRun& run) const;
  // The worker's time factor by its last `worker_speed` line until then; 1 without one.
  double TimeFactorAt(const std::string& worker, int64_t time_ms) const;

  std::vector<Entry> entries_;
  LossReport loss_report_;
  // Time factors of workers, by the time of the line.
  std::map<std::string, std::map<int64_t, double>> speeds_;
};

}  // namespace turmericshift
