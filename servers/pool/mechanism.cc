#include "servers/pool/mechanism.h"

#include <array>
#include <utility>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

constexpr std::array<std::pair<Mechanism, const char*>, 15> kNames = {{
    {Mechanism::kLearnedTimes, "learned_times"},
    {Mechanism::kWideInGoes, "wide_in_goes"},
    {Mechanism::kLikelihood, "likelihood"},
    {Mechanism::kLastCall, "last_call"},
    {Mechanism::kHoldRoom, "hold_room"},
    {Mechanism::kUrgentReserve, "urgent_reserve"},
    {Mechanism::kLikeWithLike, "like_with_like"},
    {Mechanism::kStrayByForecast, "stray_by_forecast"},
    {Mechanism::kLossOfStopped, "loss_of_stopped"},
    {Mechanism::kRepeatPrice, "repeat_price"},
    {Mechanism::kOwedPatience, "owed_patience"},
    {Mechanism::kBorrowedRoom, "borrowed_room"},
    {Mechanism::kWorkerJudge, "worker_judge"},
    {Mechanism::kStandstill, "standstill"},
    {Mechanism::kLastTry, "last_try"},
}};

}  // namespace

Mechanism MechanismFromName(const std::string& name) {
  std::string names;
  for (const auto& [mechanism, known] : kNames) {
    if (name == known) return mechanism;
    names += (names.empty() ? "" : ", ") + std::string(known);
  }
  throw Error(ErrorKind::kInvalidInput, "no mechanism '" + name + "'; there are: " + names);
}

MechanismsOff MechanismsFromNames(const std::vector<std::string>& names) {
  MechanismsOff off;
  for (const std::string& name : names) off.insert(MechanismFromName(name));
  return off;
}

}  // namespace turmericshift::pool
