#include "servers/replay/replay_measures.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericshift {
namespace {

// zone_change_work_share covers the time while a zone is out, and this long after operators last
// took a zone out or put it back. Work that the change delayed is caught up by that time or is
// lost.
constexpr Duration kZoneChangeWindow = std::chrono::minutes(30);
constexpr double kPercentile = 0.95;

int SlotsOn(const WorkerView& worker, const TaskShape& shape) {
  if (!worker.usable) return 0;
  int slots = kMaxTasksPerJob;
  if (shape.accelerators > 0) {
    slots = std::min(slots, std::popcount(worker.free_accelerators) / shape.accelerators);
  }
  if (shape.processors > 0) slots = std::min(slots, worker.free_processors / shape.processors);
  if (shape.memory_bytes > 0) {
    slots = std::min<int>(slots, static_cast<int>(worker.free_memory_bytes / shape.memory_bytes));
  }
  return std::max(slots, 0);
}

// Returns the name of the worker's group. All members of a job with this adjacency must be in one
// group.
std::string GroupOf(const WorkerView& worker, Adjacency adjacency) {
  if (adjacency == Adjacency::kSameWorker) return worker.name;
  return adjacency == Adjacency::kSameRack ? worker.rack : "";
}

// Marks the workers that the waiting job could use if it were placed now.
void MarkUsable(const JobSpec& spec, const std::vector<WorkerView>& workers,
                std::vector<bool>* usable) {
  if (spec.shape.accelerators == 0) return;
  std::map<std::string, int> slots;
  for (const WorkerView& worker : workers) {
    slots[GroupOf(worker, spec.adjacency)] += SlotsOn(worker, spec.shape);
  }
  for (size_t index = 0; index < workers.size(); ++index) {
    const bool whole = slots[GroupOf(workers[index], spec.adjacency)] >= spec.tasks;
    if (whole && SlotsOn(workers[index], spec.shape) > 0) (*usable)[index] = true;
  }
}

double MeanOf(const std::vector<double>& values) {
  if (values.empty()) return 0;
  double sum = 0;
  for (const double value : values) sum += value;
  return sum / static_cast<double>(values.size());
}

double PercentileOf(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank =
      static_cast<size_t>(std::ceil(kPercentile * static_cast<double>(values.size())));
  return values[std::max<size_t>(rank, 1) - 1];
}

}  // namespace

FreeRoom FreeRoomOf(const ZoneView& zone) {
  FreeRoom room;
  if (!zone.in) return room;
  std::vector<bool> usable(zone.workers.size(), false);
  for (size_t index = 0; index < zone.workers.size(); ++index) {
    const WorkerView& worker = zone.workers[index];
    usable[index] = std::popcount(worker.free_accelerators) == worker.capacity.accelerators;
  }
  for (const WaitingJob& job : zone.waiting) MarkUsable(job.spec, zone.workers, &usable);
  for (size_t index = 0; index < zone.workers.size(); ++index) {
    const WorkerView& worker = zone.workers[index];
    if (!worker.usable) continue;
    const int free = std::popcount(worker.free_accelerators);
    room.free += free;
    if (!usable[index]) room.unusable += free;
  }
  return room;
}

bool TimeIntegrals::InZoneChange() const {
  return last_zone_change_ && now_ - *last_zone_change_ <= kZoneChangeWindow;
}

void TimeIntegrals::ZoneChanged(Time now) { last_zone_change_ = now; }

void TimeIntegrals::AddLostWork(double accelerator_seconds) {
  all_.done -= accelerator_seconds;
  if (InZoneChange()) zone_change_.done -= accelerator_seconds;
}

void TimeIntegrals::Add(const std::vector<const ZoneView*>& zones, const ReplayPlatform& platform,
                        int requested_accelerators, Duration span) {
  const double seconds = Seconds(span);
  double capacity = 0;
  bool all_in = true;
  std::map<std::string, bool> zone_in;
  for (const ZoneView* zone : zones) {
    const FreeRoom room = FreeRoomOf(*zone);
    free_ += room.free * seconds;
    unusable_ += room.unusable * seconds;
    zone_in[zone->zone] = zone->in;
    all_in = all_in && zone->in;
  }
  for (const auto& [name, worker] : platform.workers()) {
    if (worker.up && zone_in[worker.zone]) capacity += worker.capacity.accelerators;
  }
  double running = 0;
  for (const auto& [key, attempt] : platform.attempts()) running += attempt.accelerators();
  // Work that still runs in a zone that is out counts as done but not as attainable.
  const double attainable = std::min<double>(capacity, requested_accelerators);
  all_.done += running * seconds;
  all_.attainable += attainable * seconds;
  if (!all_in || InZoneChange()) {
    zone_change_.done += running * seconds;
    zone_change_.attainable += attainable * seconds;
  }
}

double TimeIntegrals::fragmentation() const { return free_ <= 0 ? 0 : unusable_ / free_; }

double TimeIntegrals::work_share() const {
  return all_.attainable <= 0 ? 1 : all_.done / all_.attainable;
}

std::optional<double> TimeIntegrals::zone_change_work_share() const {
  if (!last_zone_change_) return std::nullopt;
  return zone_change_.attainable <= 0 ? 1 : zone_change_.done / zone_change_.attainable;
}

std::vector<Measure> MeasuresOf(const std::map<std::string, ReplayJob>& jobs,
                                const std::string& workspace) {
  std::vector<double> completion;
  std::vector<double> waits;
  std::vector<double> urgent_waits;
  std::map<JobState, double> states;
  double restarts = 0;
  double restarts_not_reclaimed = 0;
  double lost_work = 0;
  double count = 0;
  for (const auto& [id, job] : jobs) {
    if (!workspace.empty() && job.job.spec.workspace != workspace) continue;
    ++count;
    ++states[job.state];
    restarts += std::max(0, job.attempts - 1);
    restarts_not_reclaimed += std::max(0, job.attempts - 1 - job.reclaims);
    lost_work += job.lost_work;
    if (job.state == JobState::kDone) completion.push_back(Seconds(*job.ended - job.submitted));
    if (job.started) waits.push_back(Seconds(*job.started - job.submitted));
    if (job.started && job.job.spec.urgent) urgent_waits.push_back(waits.back());
  }
  constexpr double kSecondsPerHour = 3600;
  return {{"jobs", count},
          {"jobs_done", states[JobState::kDone]},
          {"jobs_failed", states[JobState::kFailed]},
          {"jobs_cancelled", states[JobState::kCancelled]},
          {"jobs_impossible", states[JobState::kImpossible]},
          {"jobs_open", states[JobState::kWaiting]},
          {"completion_mean", MeanOf(completion)},
          {"completion_p95", PercentileOf(completion)},
          {"wait_mean", MeanOf(waits)},
          {"wait_p95", PercentileOf(waits)},
          {"urgent_wait_p95", PercentileOf(urgent_waits)},
          {"restarts", restarts},
          {"restarts_not_reclaimed", restarts_not_reclaimed},
          {"lost_accelerator_hours", lost_work / kSecondsPerHour}};
}

}  // namespace turmericshift
