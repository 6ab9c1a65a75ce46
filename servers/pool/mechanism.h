// Mechanisms of the scheduling policy that can be disabled, each by a name in the settings, so that
// their benefit can be measured by leaving them out. Safeguards that guarantees depend on are not
// among them.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace turmericshift::pool {

enum class Mechanism {
  // Run times are learned from the queue's past runs.
  kLearnedTimes,
  // Steps wider than the pool are given the time of several waves.
  kWideInWaves,
  // The outcome of a job is a probability of being on time rather than a yes or no.
  kOnTimeProbability,
  // A job past its due time goes first shortly before it becomes worthless.
  kExpiringJobsFirst,
  // Workers are reserved for waiting gangs and wide tasks (backfilling).
  kBackfilling,
  // Room is kept free for future urgent jobs.
  kUrgentReserve,
  // Single tasks are placed on workers with similar tasks.
  kGroupSimilarTasks,
  // Gangs are spread over several racks where the forecast says that this ends sooner.
  kOffRackByForecast,
  // Victims are chosen also by the value that their own jobs lose.
  kVictimLoss,
  // Preempting a step again costs more than the first time.
  kRepeatPreemptionCost,
  // Jobs wait for room that is about to come free instead of preempting others, even where a
  // guarantee applies.
  kWaitForGuaranteedRoom,
  // Runs are preempted also for jobs beyond their workspace's guarantee.
  kPreemptForBorrowedRoom,
  // Workers that fail their tasks are excluded for a while.
  kExcludeFailingWorkers,
  // Workers whose runs have stalled get no new tasks.
  kExcludeStalledWorkers,
  // Urgent gangs are placed on as few workers as possible.
  kUrgentOnFewWorkers,
  // A job's last attempt waits for a worker that has not failed recently.
  kProtectLastAttempt,
  // Workers' speeds are learned and decide which workers a unit gets.
  kWorkerSpeeds,
  // What a planner has learned is stored for its successor.
  kLearnedState,
  // Submissions that could only end worthless are rejected.
  kAdmission,
  // Room beyond guarantees goes first to workspaces that used little of the pool lately.
  kFairShares,
  // Work that can't be resumed avoids workers that a release is about to replace.
  kAvoidOutdatedWorkers,
  // Work that can't be resumed is started again elsewhere when its worker announces that it leaves.
  kMoveFromLeavingWorkers,
};
// Throws Error(kInvalidInput) with the list of known names if the name is unknown.
Mechanism MechanismFromName(const std::string& name);

// Mechanisms that are disabled.
using DisabledMechanisms = std::set<Mechanism>;
DisabledMechanisms MechanismsFromNames(const std::vector<std::string>& names);

}  // namespace turmericshift::pool
