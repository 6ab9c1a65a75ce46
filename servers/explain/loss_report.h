// Sums up, over all jobs of a period's logs, how many ended late or not at all, and what delayed
// them most. `explain JOB` answers the same question for one job.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmericshift {

// What delayed a late job most.
enum class DelayCause {
  // Waited for its first start; what for is told apart by the reason in `unit_waits` lines.
  kWaiting,
  // Runs were stopped by preemption and repeated.
  kPreempted,
  // Runs failed and were repeated.
  kFailedRuns,
  // Runs were lost with their worker or lease and repeated.
  kLostRuns,
  // Ran spread over several racks, or away from its data.
  kOffRack,
  // Ran on a worker that takes longer than a typical one.
  kSlowWorker,
  // None of the above.
  kOther,
};
const char* DelayCauseName(DelayCause cause);

// A cause with the reason of the wait, which is empty for other causes.
using LossKey = std::pair<DelayCause, std::string>;

// What the lines show of the delay of one job.
struct JobLoss {
  // Completed within its due time.
  bool in_time = false;
  // Ended later than three times its due time, failed, or not ended within the lines.
  bool lost = false;
  // The largest delay, and its length in seconds.
  LossKey cause = {DelayCause::kOther, ""};
  double seconds = 0;
};

// A step's run that ended last, on a worker that takes longer than a typical one.
struct SlowRun {
  double time_factor = 1;
  // Time that the run lost by its worker, in seconds.
  double seconds = 0;
  int64_t ended_ms = 0;
  // The run's own worker, then those of the other members of its gang, of which the slowest counts.
  std::vector<std::string> workers;
};

struct LossRow {
  // Late jobs of which this was the largest delay.
  int jobs = 0;
  // Sum of their delays by this cause, in seconds.
  double seconds = 0;
};

struct QueueLoss {
  int priority = 0;
  int completed = 0;
  // Ended after their due time, but within three times that.
  int late = 0;
  // Ended even later, failed, or not ended within the lines.
  int lost = 0;
  std::map<LossKey, LossRow> causes;
};

// Reads the JSON log lines of all processes in any order, with or without a prefix. Cancelled jobs
// do not count. The due time follows from what the longest run of each step that was done would
// have taken on a typical worker beside its data, so a job with steps that are wider than the pool
// counts as late a little early.
class LossReport {
 public:
  void Read(std::istream& lines);
  // Reads one line; ignores it unless it is an object that names a job and an event.
  void ReadLine(const nlohmann::json& line);
  // By queue.
  std::map<std::string, QueueLoss> Summarize() const;
  // Empty if no line shows that the job was accepted.
  std::optional<JobLoss> LossOf(const std::string& job) const;
  // The run of the job that lost the most time by its worker; empty if there is none.
  std::optional<SlowRun> SlowestRunOf(const std::string& job) const;

 private:
  struct Run {
    int64_t placed_ms = 0;
    std::optional<int64_t> ended_ms;
    std::string how;
    // Factor on the run time of a run that is off its rack.
    double slowdown = 1;
    // Run time relative to that on a typical worker; for a gang, that of its slowest worker.
    double time_factor = 1;
    // Name of the run's task and its step.
    std::string task;
    std::string step;
    std::string node;
  };
  // Number of the run, which the members of a gang share, and name of the task.
  using RunKey = std::pair<int64_t, std::string>;
  struct WaitNote {
    int64_t at_ms = 0;
    std::string reason;
  };
  struct Job {
    std::string queue;
    std::optional<int64_t> accepted_ms;
    std::optional<int64_t> ended_ms;
    std::string state;
    int priority = 0;
    double stretch = 0;
    double target_s = 0;
    std::map<RunKey, Run> runs;
    std::vector<WaitNote> waits;
  };
  using Delays = std::map<LossKey, double>;

  static void ApplyLine(const nlohmann::json& line, Job* job);
  static void EndRun(const nlohmann::json& line, const std::string& how, int64_t at_ms, Job* job);
  static RunKey RunKeyOf(const nlohmann::json& line);
  // Run times that were done, on typical workers and on their rack.
  static double ChainSeconds(const Job& job);
  static JobLoss LossOf(const Job& job);
  // The slow runs that ended last in their steps: the steps waited for them.
  static std::vector<SlowRun> SlowRunsOf(const Job& job);
  // Workers of the other members, if the run belongs to a gang.
  static std::set<std::string> OtherWorkersOf(const Job& job, const RunKey& key);
  static Delays DelaysOf(const Job& job);
  static void AddWaits(const Job& job, int64_t first_start_ms, Delays* delays);
  static void AddRepeats(const Job& job, Delays* delays);

  std::map<std::string, Job> jobs_;
};

}  // namespace turmericshift
