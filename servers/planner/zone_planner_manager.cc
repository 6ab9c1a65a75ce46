#include <atomic>

#include "core/error.h"
#include "core/logging.h"
#include "core/thread_pool.h"
#include "servers/planner/zone_planner_manager.h"

namespace turmericshift {
namespace {

// A round at least this often, and sooner when the jobs stream has news.
constexpr Duration kPeriod = std::chrono::milliseconds(100);
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kZonesPeriod = std::chrono::milliseconds(200);
// A planner whose last round is older than this hangs; agents must not take it for alive.
constexpr Duration kActiveAge = std::chrono::seconds(2);
constexpr int kStepThreads = 16;
constexpr int kMaxCalls = 32;

}  // namespace

struct ZonePlannerManager::ZoneDuty {
  ZoneDuty(const PlannerOptions& options, ZonePlannerManager* owner)
      : steps("planner-step", kStepThreads),
        duty(
            options, owner->directory_, owner->jobs_, owner->job_fold_, owner->config_fold_,
            &owner->runner_, [this](std::function<void()> work) { steps.Submit(std::move(work)); },
            owner->metrics_) {}

  ThreadPool steps;
  ZonePlannerService duty;
  std::atomic<Time> stepped_at{Time()};
  Thread thread;
};

ZonePlannerManager::ZonePlannerManager(const ZonePlannerManagerOptions& options,
                                       AgentDirectory* directory, RecordWriter* jobs,
                                       const JobFold* job_fold, const ConfigFold* config_fold,
                                       MetricsRegistry* metrics)
    : options_(options),
      directory_(directory),
      jobs_(jobs),
      job_fold_(job_fold),
      config_fold_(config_fold),
      metrics_(metrics),
      runner_(directory, kMaxCalls) {
  thread_ = Thread("planners", [this] { Run(); });
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
  const ZoneDuty* duty = Find(zone);
  if (duty == nullptr || !duty->duty.holds_duty()) return false;
  return DefaultClock().Now() - duty->stepped_at.load() <= kActiveAge;
}

std::string ZonePlannerManager::WaitReasonFor(const JobRecord& job) const {
  const ZoneDuty* duty = Find(job.zone);
  return duty == nullptr ? "" : duty->duty.WaitReasonFor(job.id);
}

int64_t ZonePlannerManager::RunningAttempt(const JobRecord& job) const {
  const ZoneDuty* duty = Find(job.zone);
  if (duty != nullptr && duty->duty.holds_duty()) return duty->duty.RunningAttempt(job.id);
  const ReportTable table(directory_->Agents(job.zone));
  const ReportedAttempt* newest = table.Newest(job.id);
  return newest != nullptr && newest->running() > 0 ? newest->attempt : 0;
}

bool ZonePlannerManager::Leave(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  for (auto& [name, zone] : zones_) zone->duty.Leave();
  return changed_.wait_for(lock, limit, [this] {
    for (const auto& [name, zone] : zones_) {
      if (zone->duty.holds_duty()) return false;
    }
    return true;
  });
}

void ZonePlannerManager::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (const auto config = config_fold_->current()) {
      for (const auto& [name, spec] : config->environment->zones) {
        if (zones_.count(name) != 0) continue;
        PlannerOptions options;
        options.zone = name;
        options.process = options_.process;
        options.own_zone = options_.own_zone;
        options.policy = options_.policy;
        auto zone = std::make_unique<ZoneDuty>(options, this);
        ZoneDuty* const running = zone.get();
        zones_[name] = std::move(zone);
        running->thread = Thread("planner", [this, running] { RunZone(running); });
      }
    }
    changed_.wait_for(lock, kZonesPeriod, [this] { return stopping_; });
  }
}

void ZonePlannerManager::RunZone(ZoneDuty* zone) {
  int64_t seen = -1;
  Time next = DefaultClock().Now();
  while (true) {
    const int64_t changes = job_fold_->changes();
    const Time now = DefaultClock().Now();
    if (changes != seen || now >= next || zone->duty.has_news()) {
      seen = changes;
      next = now + kPeriod;
      try {
        zone->duty.Step(now);
      } catch (const Error& error) {
        LogEvent(LogLevel::kWarning, "planner_step_failed", {{"error", error.what()}});
      }
      zone->stepped_at.store(DefaultClock().Now());
      changed_.notify_all();
    }
    std::unique_lock<std::mutex> lock(mutex_);
    if (changed_.wait_for(lock, kTick, [this] { return stopping_; })) return;
  }
}

const ZonePlannerManager::ZoneDuty* ZonePlannerManager::Find(const std::string& zone) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = zones_.find(zone);
  return found == zones_.end() ? nullptr : found->second.get();
}

}  // namespace turmericshift
