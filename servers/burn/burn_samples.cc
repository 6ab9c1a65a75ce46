#include <algorithm>

#include "core/error.h"
#include "servers/burn/burn_report.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

constexpr int kFirstServerError = 500;

// Returns whether the error is one that the caller can fix and operators can't.
bool IsCallerError(const std::string& error) {
  if (error.empty()) return false;
  switch (ErrorKindFromName(error)) {
    case ErrorKind::kInvalidInput:
    case ErrorKind::kTooLarge:
    case ErrorKind::kUnauthenticated:
    case ErrorKind::kForbidden:
    case ErrorKind::kNotFound:
    case ErrorKind::kConflict:
    case ErrorKind::kImpossible:
    case ErrorKind::kCancelled:
      return true;
    default:
      return false;
  }
}

// Collects samples from events in order of time, keeping the state of each open job.
class SampleCollector {
 public:
  SampleCollector(const Environment& environment, const BurnOptions& options)
      : reclaim_ms_(1000 * Seconds(environment.bounds.reclaim)), options_(options) {}

  void Apply(const HistoryEvent& event) {
    switch (event.kind) {
      case Kind::kRequestAnswered:
        return ApplyAnswer(event);
      case Kind::kGuaranteeClaimed:
        claimed_ms_[event.job] = event.time_ms;
        return;
      case Kind::kGuaranteeWithdrawn:
        claimed_ms_.erase(event.job);
        return;
      case Kind::kJobStopped:
        jobs_[event.job].stops += 1;
        last_freed_ms_[event.workspace] = event.time_ms;
        return;
      case Kind::kJobStarted:
        return ApplyStart(event);
      case Kind::kJobEnded:
        return ApplyEnd(event);
      default:
        return;
    }
  }

  std::vector<BurnSample> samples;

 private:
  struct JobState {
    bool started = false;
    double waited_ms = 0;
    int stops = 0;
  };

  void Add(const HistoryEvent& event, Objective objective, bool good, const std::string& cause) {
    samples.push_back({event.time_ms, event.workspace, objective, good, good ? "" : cause});
  }

  void ApplyAnswer(const HistoryEvent& event) {
    if (IsCallerError(event.error)) return;
    const bool good =
        event.outcome == "ran" && event.error.empty() && event.status < kFirstServerError;
    Add(event, Objective::kRequestsAnswered, good,
        event.error.empty() ? "target_answered_with_an_error" : event.error);
  }

  void ApplyStart(const HistoryEvent& event) {
    JobState& job = jobs_[event.job];
    if (job.started) return;
    job.started = true;
    job.waited_ms = event.waited_ms;
    const auto claim = claimed_ms_.find(event.job);
    // Borrowed room is not guaranteed, so the start time of such a job is not counted.
    if (event.borrowed && claim == claimed_ms_.end()) return;
    const double since =
        claim == claimed_ms_.end() ? CoveredSince(event) : static_cast<double>(claim->second);
    Add(event, Objective::kStartsWithinBound,
        static_cast<double>(event.time_ms) - since <= reclaim_ms_, "waited_for_guaranteed_room");
  }

  // Estimates, for logs without guarantee_claimed events, when the guarantee first covered the job:
  // when the job was submitted, or when a job of its workspace last freed room, whichever is later.
  double CoveredSince(const HistoryEvent& start) const {
    const double submitted = static_cast<double>(start.time_ms) - start.waited_ms;
    const auto freed = last_freed_ms_.find(start.workspace);
    return freed == last_freed_ms_.end() ? submitted
                                         : std::max(submitted, static_cast<double>(freed->second));
  }

  void ApplyEnd(const HistoryEvent& event) {
    const JobState job = jobs_[event.job];
    jobs_.erase(event.job);
    last_freed_ms_[event.workspace] = event.time_ms;
    claimed_ms_.erase(event.job);
    if (event.state == "failed") return Add(event, Objective::kPlansOnTime, false, "failed");
    if (event.state != "done") return;
    const double limit_ms = options_.on_time_factor * event.declared_ms + reclaim_ms_;
    Add(event, Objective::kPlansOnTime, event.took_ms <= limit_ms,
        OverdueCause(event, job, limit_ms));
  }

  // Returns the main cause of a job's end past its time limit.
  static std::string OverdueCause(const HistoryEvent& event, const JobState& job, double limit_ms) {
    if (job.stops > 0) return "stopped_and_started_again";
    const bool waited = job.waited_ms > 0 && job.waited_ms >= event.took_ms - limit_ms;
    return waited ? "waited_for_room" : "ran_longer_than_declared";
  }

  const double reclaim_ms_;
  const BurnOptions options_;
  std::map<std::string, JobState> jobs_;
  // Time in ms at which each job claimed its guarantee, by job.
  std::map<std::string, int64_t> claimed_ms_;
  // Time in ms at which a job of the workspace last ended or stopped, by workspace.
  std::map<std::string, int64_t> last_freed_ms_;
};

}  // namespace

std::vector<BurnSample> CollectSamples(const History& history, const Environment& environment,
                                       const BurnOptions& options) {
  SampleCollector collector(environment, options);
  for (const HistoryEvent& event : history.events) collector.Apply(event);
  return std::move(collector.samples);
}

}  // namespace turmericshift
