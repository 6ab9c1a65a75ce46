#include "modules/placement/decision_time_suite.h"

#include <algorithm>
#include <random>

#include "servers/planner/zone_planner.h"

namespace turmericshift {
namespace {

constexpr const char* kZone = "zone-a";
constexpr const char* kPolicy = "cells";
constexpr int64_t kGibibyte = int64_t{1} << 30;
constexpr TaskShape kWorker = {128, 256 * kGibibyte, 8};
constexpr int kWorkersPerRack = 3;
// The share of the zone's workers that is guaranteed, rounded down to whole workers.
constexpr double kGuaranteedShare = 0.7;
constexpr int kDecisions = 300;
constexpr int kChangesPerDecision = 3;
constexpr double kPercentile = 0.99;
constexpr double kMillisecond = 1e-3;

struct ZoneSize {
  const char* name;
  int workers;
  int workspaces;
  int tasks;
};

constexpr std::array<ZoneSize, 3> kSizes = {{{"33_workers", 33, 4, 850},
                                             {"175_workers", 175, 230, 4500},
                                             {"1400_workers", 1400, 230, 36000}}};

Environment EnvironmentOf(const ZoneSize& size) {
  Environment environment;
  environment.deployment = "bench";
  AvailabilityZoneSpec zone;
  zone.name = kZone;
  zone.workers = size.workers;
  zone.workers_per_rack = kWorkersPerRack;
  zone.worker = kWorker;
  environment.zones[kZone] = zone;
  const int guaranteed = static_cast<int>(size.workers * kGuaranteedShare);
  for (int index = 0; index < size.workspaces; ++index) {
    WorkspaceSpec workspace;
    workspace.name = "workspace-" + std::to_string(index);
    const int cells = (guaranteed + index) / size.workspaces;
    if (cells > 0) workspace.guarantee.push_back({CellLevel::kWorker, cells});
    workspace.accelerator_cap = size.workers * kWorker.accelerators;
    environment.workspaces[workspace.name] = workspace;
  }
  return environment;
}

class ChurnSimulation {
 public:
  ChurnSimulation(const ZoneSize& size, uint64_t seed)
      : size_(size),
        random_(seed),
        planner_(kZone, PlacementPolicyRegistry::Instance().Create(kPolicy)) {
    planner_.SetEnvironment(std::make_shared<const Environment>(EnvironmentOf(size)));
    for (int index = 0; index < size.workers; ++index) {
      planner_.WorkerUp("worker-" + std::to_string(index),
                        "rack-" + std::to_string(index / kWorkersPerRack), kWorker);
    }
  }

  // Returns the duration of each decision in seconds.
  std::vector<double> Measure() {
    Fill();
    std::vector<double> seconds;
    for (int step = 0; step < kDecisions; ++step) {
      for (int change = 0; change < kChangesPerDecision; ++change) {
        EndRandomJob();
        Submit();
      }
      const Time begun = DefaultClock().Now();
      Decide();
      seconds.push_back(Seconds(DefaultClock().Now() - begun));
    }
    return seconds;
  }

 private:
  void Fill() {
    // Submits more jobs than fit, so that some are always waiting.
    int tasks = 0;
    while (tasks < size_.tasks * 5 / 4) tasks += Submit();
    Decide();
    Decide();
  }

  int RandomBelow(int limit) { return static_cast<int>(random_() % static_cast<uint64_t>(limit)); }

  // Submits a random job and returns the number of its tasks. Four fifths of all tasks need no
  // accelerator.
  int Submit() {
    JobRecord job;
    job.id = "job-" + std::to_string(++jobs_);
    job.spec.workspace = "workspace-" + std::to_string(RandomBelow(size_.workspaces));
    const bool no_accelerators = RandomBelow(4) != 0;
    job.spec.tasks =
        no_accelerators ? 24 : std::array<int, 6>{1, 2, 4, 8, 16, 128}.at(RandomBelow(6));
    if (job.spec.tasks * 2 > size_.workers * 2) job.spec.tasks = 8;
    job.spec.shape = no_accelerators ? TaskShape{2, 2 * kGibibyte, 0}
                                     : TaskShape{8, 8 * kGibibyte,
                                                 std::array<int, 3>{1, 2, 4}.at(RandomBelow(3))};
    job.spec.checkpoints = RandomBelow(2) == 0;
    job.sequence = static_cast<Sequence>(jobs_);
    planner_.JobAccepted(job, now_);
    return job.spec.tasks;
  }

  void EndRandomJob() {
    const std::vector<RunningJob>& running = planner_.view().running;
    if (running.empty()) return;
    const RunningJob& job = running[RandomBelow(static_cast<int>(running.size()))];
    planner_.AttemptEnded(std::string(job.id), job.attempt, AttemptEnd::kDone, now_);
  }

  void Decide() {
    now_ += std::chrono::seconds(1);
    const Plan plan = planner_.Decide(now_);
    stopping_.insert(stopping_.end(), plan.stops.begin(), plan.stops.end());
    if (stopping_.size() < kChangesPerDecision) return;
    for (const StopDecision& stop : stopping_) {
      planner_.AttemptEnded(stop.job, stop.attempt, AttemptEnd::kStopped, now_);
    }
    stopping_.clear();
  }

  const ZoneSize size_;
  std::mt19937_64 random_;
  ZonePlanner planner_;
  Time now_{std::chrono::hours(1)};
  int jobs_ = 0;
  std::vector<StopDecision> stopping_;
};

double PercentileOf(std::vector<double> samples) {
  std::sort(samples.begin(), samples.end());
  return samples[static_cast<size_t>(kPercentile * static_cast<double>(samples.size() - 1))];
}

}  // namespace

std::string DecisionTimeSuite::Summary() const {
  return "time of one decision of a zone's planner, by size";
}

std::vector<BenchFigure> DecisionTimeSuite::Run(const BenchOptions& options) {
  std::vector<BenchFigure> figures;
  for (const ZoneSize& size : kSizes) {
    std::vector<double> percentiles;
    percentiles.reserve(static_cast<size_t>(options.repeats));
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
      percentiles.push_back(PercentileOf(ChurnSimulation(size, options.seed).Measure()) /
                            kMillisecond);
    }
    figures.push_back(MachineFigure(std::string("decide_p99_") + size.name, "ms", percentiles));
    figures.back().aim = "below 10 ms";
  }
  return figures;
}

}  // namespace turmericshift
