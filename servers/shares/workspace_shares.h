// How much of the pool each workspace has used recently, compared with its fair share, and how much
// work it has lost to preemption.
//
// Load pattern: callers compete for too little capacity, and one workspace sends half of all jobs.
// In the order of due times its backlog delays the jobs of all others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/learned/learned_part.h"

namespace turmericshift::shares {

struct Resources {
  int64_t processor_millis = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;
};

// Capacity of the whole pool.
struct PoolCapacity {
  Resources resources;
  // The resources as processor cores, with an accelerator counted as several: the unit of
  // RecordPreempted.
  double cores = 0;
};

struct WorkspaceUse {
  Resources in_use;
  int64_t guaranteed_accelerators = 0;
  // Whether any work of the workspace runs or waits.
  bool has_work = false;
};

// A workspace whose level of overuse has changed.
struct LevelChange {
  std::string workspace;
  int former_level = 0;
  int level = 0;
  double overuse = 0;
  // Recent use and fair share, as shares of the pool.
  double used = 0;
  double fair_share = 0;
};

struct SharesSummary {
  // Largest overuse of a workspace.
  double max_overuse = 0;
  // Workspaces above level 0.
  int over_share = 0;
};

inline constexpr int kMaxOveruseLevel = 3;

// Level of overuse, from 0 (below twice the fair share) to kMaxOveruseLevel. Each doubling adds one
// level.
int OveruseLevel(double overuse);

class WorkspaceShares : public learned::LearnedPart {
 public:
  // Records what each workspace occupies from now on, and returns the workspaces whose level has
  // changed. Compares levels at most once a second. `by_workspace`: all workspaces that are
  // configured or have work; the state of others is dropped.
  virtual std::vector<LevelChange> RecordUse(
      const std::map<std::string, WorkspaceUse>& by_workspace, const PoolCapacity& total,
      Time now) = 0;
  // Recent use of the workspace's dominant resource divided by the workspace's fair share; 0 for an
  // unknown workspace.
  virtual double Overuse(const std::string& workspace, Time now) const = 0;
  // Work that the workspace lost because its runs were preempted, in core-seconds.
  virtual void RecordPreempted(const std::string& workspace, double core_seconds, Time now) = 0;
  // Factor on the cost of preempting the workspace's runs: at least 1, and the higher the more the
  // workspace has lost to preemption recently.
  virtual double PreemptionWeight(const std::string& workspace, Time now) const = 0;
  // Over the workspaces that had work recently.
  virtual SharesSummary summary(Time now) const = 0;

  int Level(const std::string& workspace, Time now) const {
    return OveruseLevel(Overuse(workspace, now));
  }
};

// All workspaces are at level 0, with weight 1.
std::unique_ptr<WorkspaceShares> MakeEqualShares();
std::unique_ptr<WorkspaceShares> MakeDecayingShares();

}  // namespace turmericshift::shares
