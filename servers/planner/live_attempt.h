// An attempt of a job that this planner manages, from the first reservation until the attempt is
// proven to have ended at every member.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "servers/planner/gang_runner.h"
#include "servers/planner/zone_planner.h"

namespace turmericshift {

enum class AttemptStage { kStarting, kRunning, kEnding };

struct LiveAttempt {
  GangAttempt gang;
  // The attempt's number in ZonePlanner. The agents know the attempt as gang.attempt.
  int64_t view_attempt = 0;
  AttemptStage stage = AttemptStage::kStarting;
  // When the current stage began.
  Time stage_since{};
  // The time by which each unreachable member has stopped by itself, since its lease has expired.
  // Includes an allowance for clock drift.
  Time leases_expire_at{};
  bool renewing = false;
  // True if a job_starting record may have been written for this attempt.
  bool start_recorded = false;
  // A stop that was requested while the attempt was starting.
  std::optional<StopDecision> requested_stop;

  // How the attempt ended. This field and the fields below are only set in stage kEnding.
  AttemptEnd end = AttemptEnd::kStopped;
  // The state that the job ends in; kWaiting if it returns to the queue.
  JobState final_state = JobState::kWaiting;
  std::string reason;
  bool checkpoint = false;
  bool may_have_run = true;
  bool call_in_flight = false;
  Time next_call_at{};
  // Members at which the attempt has ended for good, and members that answer but whose tasks have
  // not stopped.
  std::set<std::string> ended_members;
  std::set<std::string> active_members;
  std::optional<Time> ended_since;
};

// Attempt numbers combine the epoch and a counter, so they are unique over all planners of a zone.
// Agents and the log never see the same number for two attempts.
inline constexpr int64_t kAttemptsPerEpoch = int64_t{1} << 20;
inline int64_t AttemptNumber(Sequence epoch, int64_t count) {
  return epoch * kAttemptsPerEpoch + count;
}

}  // namespace turmericshift
