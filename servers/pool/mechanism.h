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
  kWideInGoes,
  // Being in time is a likelihood rather than a yes or no.
  kLikelihood,
  // A late job goes first before it is of no use.
  kLastCall,
  // Workers are kept for gangs and wide tasks that wait.
  kHoldRoom,
  // Room is kept free for urgent jobs to come.
  kUrgentReserve,
  // Single tasks keep to workers with tasks of their like.
  kLikeWithLike,
  // Gangs over several racks where that ends sooner by the forecast.
  kStrayByForecast,
  // Who makes way is chosen also by what its own job loses.
  kLossOfStopped,
  // What was interrupted before is dearer to interrupt again.
  kRepeatPrice,
  // Room that comes free soon is waited for also by those to whom it is owed.
  kOwedPatience,
  // Others make way for jobs beyond their workspace's guarantee.
  kBorrowedRoom,
  // Workers that fail what they are given are set aside.
  kWorkerJudge,
  // Workers whose runs stand still get nothing new.
  kStandstill,
  // A job's last try waits for a worker that has not failed lately.
  kLastTry,
};
// Throws Error(kInvalidInput) that lists the names there are.
Mechanism MechanismFromName(const std::string& name);

// Which are left out.
using MechanismsOff = std::set<Mechanism>;
MechanismsOff MechanismsFromNames(const std::vector<std::string>& names);

}  // namespace turmericshift::pool
