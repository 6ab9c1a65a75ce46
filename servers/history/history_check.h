// Checks of a history against the promises. Each names the promise it serves, and says what in the
// log contradicts it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/history/history_event.h"

namespace turmericshift {

enum class CheckVerdict { kHeld, kViolated, kNotChecked };
const char* CheckVerdictName(CheckVerdict verdict);

// What the checks allow. The defaults are the document's defaults with room for late log lines.
struct HistoryBounds {
  // No start in a zone later than this after it was taken out.
  Duration zone_out = std::chrono::seconds(3);
  // A gang may run with some members for no longer than this, while the others stop.
  Duration partial_gang = std::chrono::seconds(10);
  // A job within its guarantee has started within this time.
  Duration reclaim = std::chrono::seconds(30);
  // An accepted job that has not ended is forgotten when nothing was said of it for this long
  // before the history's end; zero: it must have ended.
  Duration job_silence = std::chrono::hours(24);
};

struct CheckResult {
  std::string check;
  CheckVerdict verdict = CheckVerdict::kHeld;
  // Why it is violated, or what the history lacks for the check.
  std::string message;
  // The events that contradict the promise, in order of time.
  std::vector<HistoryEvent> evidence;
};

class HistoryCheck {
 public:
  virtual ~HistoryCheck() = default;
  // The promise, in snake_case.
  virtual const char* name() const = 0;
  // `history` is in order of time. Reports the first contradiction.
  virtual CheckResult Check(const History& history, const HistoryBounds& bounds) const = 0;

 protected:
  CheckResult Held() const { return {name(), CheckVerdict::kHeld, "", {}}; }
  CheckResult Violated(const std::string& message, std::vector<HistoryEvent> evidence) const;
  CheckResult NotChecked(const std::string& message) const;
};

// Requests: at_most_once, answer_matches_request, not_run_is_true.
std::vector<std::unique_ptr<HistoryCheck>> RequestChecks();
// Documents and zones: config_never_reverts, no_start_after_zone_exit.
std::vector<std::unique_ptr<HistoryCheck>> ConfigChecks();
// Gangs: no_partial_gang, no_two_attempts_at_once.
std::vector<std::unique_ptr<HistoryCheck>> GangChecks();
// Jobs: job_done_at_most_once, no_job_forgotten, guarantee_reclaimed_within_bound.
std::vector<std::unique_ptr<HistoryCheck>> JobChecks();

// Runs all checks, or only those named. Throws Error(kInvalidInput) for an unknown name.
std::vector<CheckResult> CheckHistory(const History& history, const HistoryBounds& bounds,
                                      const std::vector<std::string>& names = {});

// Names of all checks.
std::vector<std::string> HistoryCheckNames();

// No result says kViolated.
bool AllHeld(const std::vector<CheckResult>& results);

// The results for people, with the evidence of each violation.
std::string DescribeResults(const std::vector<CheckResult>& results);

}  // namespace turmericshift
