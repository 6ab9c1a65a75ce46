#include "servers/pool/mechanism.h"

#include <array>
#include <utility>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

constexpr std::array<std::pair<Mechanism, const char*>, 22> kNames = {{
    {Mechanism::kLearnedTimes, "learned_times"},
    {Mechanism::kWideInWaves, "wide_in_goes"},
    {Mechanism::kOnTimeProbability, "likelihood"},
    {Mechanism::kExpiringJobsFirst, "last_call"},
    {Mechanism::kBackfilling, "hold_room"},
    {Mechanism::kUrgentReserve, "urgent_reserve"},
    {Mechanism::kGroupSimilarTasks, "like_with_like"},
    {Mechanism::kOffRackByForecast, "stray_by_forecast"},
    {Mechanism::kVictimLoss, "loss_of_stopped"},
    {Mechanism::kRepeatPreemptionCost, "repeat_price"},
    {Mechanism::kWaitForGuaranteedRoom, "owed_patience"},
    {Mechanism::kPreemptForBorrowedRoom, "borrowed_room"},
    {Mechanism::kExcludeFailingWorkers, "worker_judge"},
    {Mechanism::kExcludeStalledWorkers, "standstill"},
    {Mechanism::kUrgentOnFewWorkers, "urgent_on_few"},
    {Mechanism::kProtectLastAttempt, "last_try"},
    {Mechanism::kWorkerSpeeds, "worker_speeds"},
    {Mechanism::kLearnedState, "learned_state"},
    {Mechanism::kAdmission, "admission"},
    {Mechanism::kFairShares, "fair_shares"},
    {Mechanism::kAvoidOutdatedWorkers, "avoid_outdated"},
    {Mechanism::kMoveFromLeavingWorkers, "move_from_leaving"},
}};

}  // namespace

Mechanism MechanismFromName(const std::string& name) {
  std::string names;
  for (const auto& [mechanism, known] : kNames) {
    if (name == known) return mechanism;
    names += (names.empty() ? "" : ", ") + std::string(known);
  }
  throw Error(ErrorKind::kInvalidInput,
              "unknown mechanism '" + name + "'; known mechanisms: " + names);
}

DisabledMechanisms MechanismsFromNames(const std::vector<std::string>& names) {
  DisabledMechanisms off;
  for (const std::string& name : names) off.insert(MechanismFromName(name));
  return off;
}

}  // namespace turmericshift::pool
