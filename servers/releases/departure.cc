#include "servers/releases/departure.h"

#include <algorithm>

namespace turmericshift::releases {
namespace {

// Below this share of the announced time a run is expected to end before its worker leaves.
constexpr double kSafeShare = 0.75;
// Above this share it is expected to be lost.
constexpr double kLostShare = 1.5;

}  // namespace

double LossLikelihood(const DepartingRun& run) {
  const double share = Seconds(run.left) / Seconds(run.leaves_in);
  return std::clamp((share - kSafeShare) / (kLostShare - kSafeShare), 0.0, 1.0);
}

bool ShouldMove(const DepartingRun& run) {
  if (run.leaves_in <= Duration::zero()) return false;
  const double lost_if_it_stays =
      LossLikelihood(run) * Seconds(run.elapsed + std::min(run.left, run.leaves_in));
  return lost_if_it_stays > Seconds(run.elapsed);
}

}  // namespace turmericshift::releases
