// Checks that a history keeps the guarantees of the system. Each check is named after its guarantee
// and reports the log lines that contradict the guarantee.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/history/history_event.h"

namespace turmericshift {

enum class CheckVerdict { kHeld, kViolated, kNotChecked };
const char* CheckVerdictName(CheckVerdict verdict);

// Limits for the checks. The defaults are those of the environment document plus a margin for
// delayed log lines.
struct HistoryBounds {
  // Time after a zone was taken out of use in which tasks may still start in the zone.
  Duration zone_out = std::chrono::seconds(3);
  // Longest time for which a gang may run with only some of its members, while the others stop.
  Duration partial_gang = std::chrono::seconds(10);
  // Longest time until a job that is covered by its workspace's guarantee starts.
  Duration reclaim = std::chrono::seconds(30);
  // An accepted job that has not ended counts as forgotten if no event names the job in this time
  // before the end of the history. Zero: every accepted job must have ended.
  Duration job_silence = std::chrono::hours(24);
};

struct CheckResult {
  std::string check;
  CheckVerdict verdict = CheckVerdict::kHeld;
  // Why the check is violated, or which events are missing for the check.
  std::string message;
  // The events that contradict the guarantee, ordered by time.
  std::vector<HistoryEvent> evidence;
};

class HistoryCheck {
 public:
  virtual ~HistoryCheck() = default;
  // The name of the guarantee, in snake_case.
  virtual const char* name() const = 0;
  // Checks `history`, which must be ordered by time, and reports the first violation.
  virtual CheckResult Check(const History& history, const HistoryBounds& bounds) const = 0;

 protected:
  CheckResult Held() const { return {name(), CheckVerdict::kHeld, "", {}}; }
  CheckResult Violated(const std::string& message, std::vector<HistoryEvent> evidence) const;
  CheckResult NotChecked(const std::string& message) const;
};

// Checks of requests: at_most_once, answer_matches_request, not_run_is_true.
std::vector<std::unique_ptr<HistoryCheck>> RequestChecks();
// Checks of documents and zones: config_never_reverts, no_start_after_zone_exit.
std::vector<std::unique_ptr<HistoryCheck>> ConfigChecks();
// Checks of gangs: no_partial_gang, no_two_attempts_at_once.
std::vector<std::unique_ptr<HistoryCheck>> GangChecks();
// Checks of jobs: job_done_at_most_once, no_job_forgotten, guarantee_reclaimed_within_bound.
std::vector<std::unique_ptr<HistoryCheck>> JobChecks();

// Runs the checks in `names`, or all checks if `names` is empty. Throws Error(kInvalidInput) for an
// unknown or repeated name.
std::vector<CheckResult> CheckHistory(const History& history, const HistoryBounds& bounds,
                                      const std::vector<std::string>& names = {});

// Returns the names of all checks.
std::vector<std::string> HistoryCheckNames();

// Returns whether no result is kViolated.
bool AllHeld(const std::vector<CheckResult>& results);

// Formats the results as text, with the evidence of each violation.
std::string DescribeResults(const std::vector<CheckResult>& results);

}  // namespace turmericshift
