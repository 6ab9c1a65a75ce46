#include <algorithm>

#include "core/error.h"
#include "servers/burn/burn_report.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

constexpr int kFirstServerError = 500;

// The caller can mend these; no operator can.
bool IsCallersFault(const std::string& error) {
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

// Follows each job from its acceptance, so that its end can be judged.
class SampleMaker {
 public:
  SampleMaker(const Environment& environment, const BurnOptions& options)
      : reclaim_ms_(1000 * Seconds(environment.bounds.reclaim)), options_(options) {}

  void Take(const HistoryEvent& event) {
    switch (event.kind) {
      case Kind::kRequestAnswered:
        return TakeAnswer(event);
      case Kind::kGuaranteeClaimed:
        claimed_[event.job] = event.time_ms;
        return;
      case Kind::kGuaranteeWithdrawn:
        claimed_.erase(event.job);
        return;
      case Kind::kJobStopped:
        jobs_[event.job].stops += 1;
        freed_[event.workspace] = event.time_ms;
        return;
      case Kind::kJobStarted:
        return TakeStart(event);
      case Kind::kJobEnded:
        return TakeEnd(event);
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

  void TakeAnswer(const HistoryEvent& event) {
    if (IsCallersFault(event.error)) return;
    const bool good =
        event.outcome == "ran" && event.error.empty() && event.status < kFirstServerError;
    Add(event, Objective::kRequestsAnswered, good,
        event.error.empty() ? "target_answered_with_an_error" : event.error);
  }

  void TakeStart(const HistoryEvent& event) {
    JobState& job = jobs_[event.job];
    if (job.started) return;
    job.started = true;
    job.waited_ms = event.waited_ms;
    const auto claim = claimed_.find(event.job);
    // Nobody promised borrowed room.
    if (event.borrowed && claim == claimed_.end()) return;
    const double since =
        claim == claimed_.end() ? CoveredSince(event) : static_cast<double>(claim->second);
    Add(event, Objective::kStartsWithinBound,
        static_cast<double>(event.time_ms) - since <= reclaim_ms_, "waited_for_guaranteed_room");
  }

  // When the guarantee can first have covered the job, for logs without claims: not before its
  // workspace's own work last gave room back.
  double CoveredSince(const HistoryEvent& start) const {
    const double submitted = static_cast<double>(start.time_ms) - start.waited_ms;
    const auto freed = freed_.find(start.workspace);
    return freed == freed_.end() ? submitted
                                 : std::max(submitted, static_cast<double>(freed->second));
  }

  void TakeEnd(const HistoryEvent& event) {
    const JobState job = jobs_[event.job];
    jobs_.erase(event.job);
    freed_[event.workspace] = event.time_ms;
    claimed_.erase(event.job);
    if (event.state == "failed") return Add(event, Objective::kPlansOnTime, false, "failed");
    if (event.state != "done") return;
    const double limit_ms = options_.on_time_factor * event.declared_ms + reclaim_ms_;
    Add(event, Objective::kPlansOnTime, event.took_ms <= limit_ms, LateCause(event, job, limit_ms));
  }

  // What took up the most of the time that it was late.
  static std::string LateCause(const HistoryEvent& event, const JobState& job, double limit_ms) {
    if (job.stops > 0) return "stopped_and_started_again";
    const bool waited = job.waited_ms > 0 && job.waited_ms >= event.took_ms - limit_ms;
    return waited ? "waited_for_room" : "ran_longer_than_declared";
  }

  const double reclaim_ms_;
  const BurnOptions options_;
  std::map<std::string, JobState> jobs_;
  // When each job's guarantee was claimed.
  std::map<std::string, int64_t> claimed_;
  // When a workspace's own work last ended or stopped.
  std::map<std::string, int64_t> freed_;
};

}  // namespace

std::vector<BurnSample> SamplesOf(const History& history, const Environment& environment,
                                  const BurnOptions& options) {
  SampleMaker maker(environment, options);
  for (const HistoryEvent& event : history.events) maker.Take(event);
  return std::move(maker.samples);
}

}  // namespace turmericshift
