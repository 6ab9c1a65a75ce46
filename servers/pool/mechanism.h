// Mechanisms of the policy that can be left out, each by a name in the settings. What one of them
// is worth is seen by leaving it out; guards that keep promises are not among them.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace turmericshift::pool {

enum class Mechanism {
  // Times of a queue are learned from its runs.
  kLearnedTimes,
  // Wide steps have the time of several goes.
  kWideInWaves,
  // Being in time is a likelihood rather than a yes or no.
  kOnTimeProbability,
  // A late job goes first before it is of no use.
  kExpiringJobsFirst,
  // Workers are kept for gangs and wide tasks that wait.
  kBackfilling,
  // Room is kept free for urgent jobs to come.
  kUrgentReserve,
  // Single tasks keep to workers with tasks of their like.
  kGroupSimilarTasks,
  // Gangs over several racks where that ends sooner by the forecast.
  kOffRackByForecast,
  // Who makes way is chosen also by what its own job loses.
  kVictimLoss,
  // What was interrupted before is dearer to interrupt again.
  kRepeatPreemptionCost,
  // Room that comes free soon is waited for also by those to whom it is owed.
  kWaitForGuaranteedRoom,
  // Others make way for jobs beyond their workspace's guarantee.
  kPreemptForBorrowedRoom,
  // Workers that fail what they are given are set aside.
  kExcludeFailingWorkers,
  // Workers whose runs stand still get nothing new.
  kExcludeStalledWorkers,
  // A job's last try waits for a worker that has not failed lately.
  kProtectLastAttempt,
};
// Throws Error(kInvalidInput) that lists the names there are.
Mechanism MechanismFromName(const std::string& name);

// Which are left out.
using DisabledMechanisms = std::set<Mechanism>;
DisabledMechanisms MechanismsFromNames(const std::vector<std::string>& names);

}  // namespace turmericshift::pool
