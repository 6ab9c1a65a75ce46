#include "tests/stand_ins/pool_history.h"

#include <random>
#include <string>

#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Every second history uses random bounds that no deployment has.
PoolBounds RandomBounds(unsigned seed) {
  PoolBounds bounds;
  if (seed % 2 == 0) return bounds;
  std::mt19937 random(seed);
  const auto between = [&](int low, int high) {
    return milliseconds(std::uniform_int_distribution<int>(low, high)(random));
  };
  bounds.longest_lease = between(1500, 9000);
  bounds.cancel = between(1800, 6000);
  bounds.zone_out = between(1800, 8000);
  bounds.stop = between(100, 1500);
  bounds.gang_wait = bounds.stop + between(800, 3000);
  bounds.reclaim = bounds.stop + between(500, 4000);
  return bounds;
}

// Tasks of this length are still running when an agent has had no answers for long.
constexpr Duration kLongRunTime = seconds(25);
// Further time for such tasks that have to run again.
constexpr int kLongJobsSeconds = 120;
constexpr int kJobsPerLongJob = 4;
// Tasks that outlast the longest lease, and are running when a worker is cut off.
constexpr Duration kOutlastingRunTime = seconds(12);
// Leaves room to start the tasks of a lost worker elsewhere at once.
constexpr int kMaxOutlastingAccelerators = 2;

class History {
 public:
  History(unsigned seed, const std::set<FaultKind>& kinds)
      : random_(seed),
        faults_(seed, kinds),
        simulation_(SampleRacks(2), SampleOperatorState(8), RandomBounds(seed), &faults_),
        has_long_jobs_(kinds.count(FaultKind::kOldReadings) > 0),
        has_outlasting_jobs_(kinds.count(FaultKind::kRestartsBesidePlannerChanges) > 0) {
    for (const SimulatedWorker& worker : SampleRacks(2)) nodes_.push_back(worker.node);
    simulation_.actual_duration = [this](const TaskId& task) -> Duration {
      const int number = std::stoi(task.job.substr(1));
      const bool first_task = task.index == 0 && task.step == 0;
      if (has_long_jobs_ && first_task && number % kJobsPerLongJob == 0) return kLongRunTime;
      if (has_outlasting_jobs_ && first_task) return kOutlastingRunTime;
      return milliseconds(300 + 700 * ((task.index * 7 + task.step * 3) % 5));
    };
    simulation_.fails = [this](const RunId& /*run*/, const std::string& /*node*/) {
      return Chance(20);
    };
  }

  void Run() {
    for (int step = 0; step < 120; ++step) {
      if (Chance(3)) Submit();
      if (Chance(6)) InjectFault();
      simulation_.RunFor(milliseconds(Below(400)));
    }
    for (const std::string& node : nodes_) simulation_.Heal(node);
    simulation_.SetStoreDown(false);
    faults_.Stop();
    // Ended jobs are retained for 130 s, so all of them are still known.
    simulation_.RunFor(seconds(90));
    if (!has_long_jobs_ && !has_outlasting_jobs_) return;
    for (int second = 0; second < kLongJobsSeconds; ++second) {
      NoteEndedJobs();
      simulation_.RunFor(seconds(1));
    }
  }

  PoolHistoryResult Result() const {
    PoolHistoryResult result;
    result.violations = simulation_.violations();
    for (const std::string& id : jobs_) {
      const JobState state = simulation_.StateOf(id);
      if (IsOver(state) || ended_.count(id) > 0) continue;
      result.unfinished_jobs.push_back(id + " is " + JobStateName(state));
    }
    result.faults = faults_.counts();
    result.calls_of_former_lives = simulation_.calls_of_former_lives();
    result.starts_for_former_lives = simulation_.starts_for_former_lives();
    return result;
  }

 private:
  int Below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
  bool Chance(int one_in) { return Below(one_in) == 0; }

  void Submit() {
    const std::string id = "j" + std::to_string(jobs_.size());
    const int most_accelerators = has_outlasting_jobs_ ? kMaxOutlastingAccelerators : 8;
    StepSpec step = SampleStep(1 + Below(4), 1 + Below(most_accelerators), milliseconds(1000));
    step.gang = Chance(2);
    step.one_rack = step.gang && Chance(2);
    step.checkpoints = Chance(2);
    // Six workers can hold a gang of at most six whole-worker tasks.
    if (step.gang) step.tasks = 1 + Below(3);
    const char* queues[] = {"urgent", "batch", "bulk"};
    JobSpec job = SampleJob(id, queues[Below(3)], Chance(2) ? "one" : "two", step);
    if (Chance(3)) {
      StepSpec second = SampleStep(1 + Below(3), 1, milliseconds(500));
      second.after = {0};
      job.steps.push_back(second);
    }
    jobs_.push_back(id);
    // A caller submits again what a change of planner has lost before it was durable, as that was
    // not acknowledged.
    simulation_.SetStoreDown(false);
    do {
      simulation_.Submit(job);
      simulation_.RunFor(milliseconds(20));
    } while (simulation_.job_table().Find(id) == nullptr);
  }

  void NoteEndedJobs() {
    for (const std::string& id : jobs_) {
      if (IsOver(simulation_.StateOf(id))) ended_.insert(id);
    }
  }

  void InjectFault() {
    const std::string& node = nodes_[static_cast<size_t>(Below(static_cast<int>(nodes_.size())))];
    switch (Below(8)) {
      case 0:
        return faults_.HandsOver() ? simulation_.HandOverPlanner() : simulation_.ReplacePlanner();
      case 1:
      case 2:
        return simulation_.Isolate(node);
      case 3:
      case 4:
        return simulation_.Heal(node);
      case 5:
        return simulation_.RestartWorker(node);
      case 6:
        return simulation_.RestartAgent(node);
      default:
        return simulation_.SetStoreDown(Chance(2));
    }
  }

  std::mt19937 random_;
  RandomFaults faults_;
  PoolSimulation simulation_;
  std::vector<std::string> nodes_;
  std::vector<std::string> jobs_;
  // Jobs that have ended and may have been forgotten since.
  std::set<std::string> ended_;
  const bool has_long_jobs_;
  const bool has_outlasting_jobs_;
};

}  // namespace

PoolHistoryResult RunPoolHistory(unsigned seed, const std::set<FaultKind>& kinds) {
  History history(seed, kinds);
  history.Run();
  return history.Result();
}

}  // namespace turmericshift::pool
