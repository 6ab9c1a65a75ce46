// Chooses whose work is stopped to make room for work that goes first. Answers bursts of urgent
// jobs that meet a full pool: the guarantee has to be had back within the bound the operators set,
// and what is thrown away should be the least.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "servers/pool/placer.h"
#include "servers/pool/pool_messages.h"

namespace turmericshift::pool {

// A run that may be stopped.
struct Victim {
  RunId run;
  std::string node;
  Room need;
  // Runs of one gang end together; 0 for one that stands alone. Shared by the members.
  std::string gang;
  // Work that its end throws away, in core-seconds with an accelerator as several cores; a gang's
  // at each member is the member's share.
  double cost = 0;
};

struct ReclaimPlan {
  Placement placement;
  std::vector<RunId> stops;
  double cost = 0;
};

// Victims whose end makes the wish fit, within one rack if it can be, else anywhere if the wish may
// stray. Empty when even all of them would not do.
std::optional<ReclaimPlan> ChooseVictims(const PlaceWish& wish,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Victim>& victims);

}  // namespace turmericshift::pool
