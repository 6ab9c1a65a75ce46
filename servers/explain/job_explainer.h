// What became of one job, told from the log lines of several processes.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace turmericshift {

// How a job came out, by what the lines show.
enum class JobOutcome {
  kCompleted,
  kFailed,
  kCancelled,
  // Never taken in, and whoever handed it in was told so.
  kRefused,
  // Whether it was taken in could not be told at the time.
  kUnknownToCaller,
  // Taken in, and the lines end before it does.
  kUnfinished,
  kNotSeen,
};
const char* JobOutcomeName(JobOutcome outcome);

struct JobLogLine {
  int64_t time_ms = 0;
  std::string process;
  std::string event;
  // The line's other fields, "name=value".
  std::string details;
};

struct JobExplanation {
  std::string job;
  JobOutcome outcome = JobOutcome::kNotSeen;
  // One sentence: what decided the outcome, or what held the job up most.
  std::string cause;
  std::vector<JobLogLine> lines;
  int runs = 0;
  int failed_runs = 0;
  int stopped_runs = 0;
  int lost_runs = 0;
  int refusals = 0;
  // Times that its record was taken back unsent because the store did not answer.
  int withdrawals = 0;
};

// Reads lines of JSON, which may stand behind a prefix such as a time or a name; others are passed
// over. `lines` of all processes in any order.
class JobExplainer {
 public:
  void Read(std::istream& lines);
  JobExplanation Explain(const std::string& job) const;
  // All jobs that any line names.
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

  std::vector<Entry> entries_;
};

}  // namespace turmericshift
