#include "servers/planner/zone_planner_manager.h"

#include <atomic>

#include "core/error.h"
#include "core/failure_episode.h"
#include "core/logging.h"
#include "core/thread_pool.h"

namespace turmericshift {
namespace {

// The interval between rounds. A round runs earlier when the jobs stream has new records or work on
// the executor has completed.
constexpr Duration kStepInterval = std::chrono::milliseconds(100);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr Duration kZoneRefreshInterval = std::chrono::milliseconds(200);
// A planner whose last round is older than this is considered hung, and must not be reported to
// agents as active.
constexpr Duration kMaxStepAge = std::chrono::seconds(2);
constexpr int kStepThreads = 16;
constexpr int kMaxCalls = 32;

}  // namespace

struct ZonePlannerManager::ManagedZone {
  ManagedZone(const PlannerOptions& options, ZonePlannerManager* owner)
      : steps("planner-step", kStepThreads),
        service(
            options, owner->directory_, owner->jobs_, owner->replicated_jobs_,
            owner->replicated_config_, &owner->runner_,
            [this](std::function<void()> work) { steps.Submit(std::move(work)); },
            owner->metrics_) {}

  ThreadPool steps;
  ZonePlannerService service;
  std::atomic<Time> last_step_at{Time()};
  Thread thread;
};

ZonePlannerManager::ZonePlannerManager(const ZonePlannerManagerOptions& options,
                                       AgentDirectory* directory, RecordWriter* jobs,
                                       const ReplicatedJobs* replicated_jobs,
                                       const ReplicatedConfig* replicated_config,
                                       MetricsRegistry* metrics)
    : options_(options),
      directory_(directory),
      jobs_(jobs),
      replicated_jobs_(replicated_jobs),
      replicated_config_(replicated_config),
      metrics_(metrics),
      runner_(directory, kMaxCalls) {
  thread_ = Thread(ThreadRole::kEssential, "planners", [this] { Run(); });
}

ZonePlannerManager::~ZonePlannerManager() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.Join();
  for (auto& [name, zone] : zones_) zone->thread.Join();
}

bool ZonePlannerManager::Active(const std::string& zone) const {
  const ManagedZone* found = Find(zone);
  if (found == nullptr || !found->service.is_leader()) return false;
  return DefaultClock().Now() - found->last_step_at.load() <= kMaxStepAge;
}

std::string ZonePlannerManager::WaitReasonFor(const JobRecord& job) const {
  const ManagedZone* zone = Find(job.zone);
  return zone == nullptr ? "" : zone->service.WaitReasonFor(job.id);
}

int64_t ZonePlannerManager::RunningAttempt(const JobRecord& job) const {
  const ManagedZone* zone = Find(job.zone);
  if (zone != nullptr && zone->service.is_leader()) return zone->service.RunningAttempt(job.id);
  const ReportTable table(directory_->Agents(job.zone));
  const ReportedAttempt* newest = table.Newest(job.id);
  return newest != nullptr && newest->running() > 0 ? newest->attempt : 0;
}

bool ZonePlannerManager::Leave(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  for (auto& [name, zone] : zones_) zone->service.Leave();
  return changed_.wait_for(lock, limit, [this] {
    for (const auto& [name, zone] : zones_) {
      if (zone->service.is_leader()) return false;
    }
    return true;
  });
}

void ZonePlannerManager::Run() {
  FailureEpisode zone_starts("planner_start");
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    try {
      StartMissingZones();
      zone_starts.NoteSuccess();
    } catch (const Error& error) {
      zone_starts.NoteFailure(error.what());
    }
    changed_.wait_for(lock, kZoneRefreshInterval, [this] { return stopping_; });
  }
}

void ZonePlannerManager::StartMissingZones() {
  const auto config = replicated_config_->current();
  if (!config) return;
  for (const auto& [name, spec] : config->environment->zones) {
    if (zones_.count(name) != 0) continue;
    PlannerOptions options;
    options.zone = name;
    options.process = options_.process;
    options.own_zone = options_.own_zone;
    options.policy = options_.policy;
    ManagedZone* const zone = (zones_[name] = std::make_unique<ManagedZone>(options, this)).get();
    try {
      zone->thread = Thread(ThreadRole::kEssential, "planner", [this, zone] { RunZone(zone); });
    } catch (const Error&) {
      // Otherwise the zone would never be tried again.
      zones_.erase(name);
      throw;
    }
  }
}

void ZonePlannerManager::RunZone(ManagedZone* zone) {
  int64_t seen_changes = -1;
  Time next_step_at = DefaultClock().Now();
  while (true) {
    const int64_t changes = replicated_jobs_->changes();
    const Time now = DefaultClock().Now();
    if (changes != seen_changes || now >= next_step_at || zone->service.has_completions()) {
      seen_changes = changes;
      next_step_at = now + kStepInterval;
      try {
        zone->service.Step(now);
      } catch (const Error& error) {
        LogEvent(LogLevel::kWarning, "planner_step_failed", {{"error", error.what()}});
      }
      zone->last_step_at.store(DefaultClock().Now());
      changed_.notify_all();
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (changed_.wait_for(lock, kPollInterval, [this] { return stopping_; })) return;
  }
}

const ZonePlannerManager::ManagedZone* ZonePlannerManager::Find(const std::string& zone) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = zones_.find(zone);
  return found == zones_.end() ? nullptr : found->second.get();
}

}  // namespace turmericshift
