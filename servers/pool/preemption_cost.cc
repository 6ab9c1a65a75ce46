#include "servers/pool/preemption_cost.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// Work that has been preempted before costs more to preempt again, so that two urgent streams do
// not stop the same job forever.
constexpr double kRepeatCostFactor = 2.0;
// Stopping a run that has just been started wastes at least its start.
constexpr double kMinLostSeconds = 0.3;

double LostSeconds(const RunToStop& run, Duration restore) {
  if (run.step->checkpoints) return Seconds(restore);
  return std::max(kMinLostSeconds, Seconds(run.elapsed));
}

double LostValue(const RunToStop& run, const StopTimes& times) {
  JobTiming timing = run.timing;
  const Duration rest_after = timing.remaining - run.whole;
  timing.remaining = rest_after + run.left;
  const double share_now = ExpectedValueShare(timing, Duration::zero());
  timing.remaining = rest_after + (run.step->checkpoints ? run.left + times.restore : run.whole);
  const double share_then = ExpectedValueShare(timing, times.stop + times.room_taken_for);
  const double loss = std::max(0.0, share_now - share_then) * run.value;
  // The members of a gang are stopped together and share the loss.
  return run.step->gang ? loss / run.step->tasks : loss;
}

}  // namespace

double PreemptionCost(const RunToStop& run, const StopTimes& times,
                      const DisabledMechanisms& mechanisms_off) {
  double lost_work = CoreEquivalent(run.need) * LostSeconds(run, times.restore);
  if (mechanisms_off.count(Mechanism::kRepeatPreemptionCost) == 0) {
    lost_work *= 1 + kRepeatCostFactor * run.preemptions;
  }
  const bool counts_value = mechanisms_off.count(Mechanism::kVictimLoss) == 0;
  return lost_work + (counts_value ? LostValue(run, times) : 0.0);
}

}  // namespace turmericshift::pool
