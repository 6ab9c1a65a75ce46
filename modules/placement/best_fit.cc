#include "modules/placement/best_fit.h"

#include "modules/placement/task_placer.h"

namespace turmericshift {

Plan BestFit::Decide(const ZoneView& view, Time /*now*/) {
  Plan plan;
  if (!view.in) return plan;
  ZoneRoom room(view);
  for (const WaitingJob& job : view.waiting) {
    if (job.cancel_asked || !job.obstacle.empty()) continue;
    AdmitRefusal refusal = AdmitRefusal::kNoRoom;
    if (const auto tasks = PlaceBestFit(room, job.spec, nullptr)) {
      StartDecision start{job.id, job.last_attempt + 1, false, *tasks};
      refusal = room.Admit(job.spec, &start);
      if (refusal == AdmitRefusal::kNone) plan.starts.push_back(std::move(start));
    }
    if (refusal == AdmitRefusal::kNone) continue;
    plan.waits.push_back({job.id, AdmitRefusalText(refusal)});
    return plan;
  }
  return plan;
}

}  // namespace turmericshift
