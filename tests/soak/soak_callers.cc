#include "tests/soak/soak_callers.h"

#include <array>
#include <thread>

#include "core/units.h"

namespace turmericshift::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPatience{3000};
constexpr milliseconds kBetweenJobs{250};
constexpr milliseconds kBetweenLooks{40};
constexpr milliseconds kRetryPause{100};
// As the users' clients do.
constexpr int kTries = 5;
constexpr int kMostAttempts = 3;

int Below(int bound, std::mt19937_64* random) {
  return static_cast<int>((*random)() % static_cast<uint64_t>(bound));
}

bool OneIn(int chance, std::mt19937_64* random) { return Below(chance, random) == 0; }

}  // namespace

SoakJob DrawJob(const std::string& id, std::mt19937_64* random) {
  constexpr std::array<const char*, 3> kQueues = {"urgent", "batch", "bulk"};
  SoakJob job;
  job.spec.id = id;
  job.spec.queue = kQueues[static_cast<size_t>(Below(kQueues.size(), random))];
  const Duration time = milliseconds(100 + Below(1900, random));
  job.spec.payload = FormatDuration(time);
  pool::StepSpec step;
  step.tasks = 1 + Below(4, random);
  step.need = {2000, 1024, 1 + Below(4, random)};
  step.estimate = time;
  step.gang = OneIn(3, random);
  job.spec.steps.push_back(step);
  if (OneIn(3, random)) {
    step.gang = false;
    step.after = {0};
    job.spec.steps.push_back(step);
  }
  if (OneIn(8, random)) job.failures = 1 + Below(kMostAttempts, random);
  return job;
}

SoakCallers::SoakCallers(uint64_t seed, int callers, SoakSystem* system, SoakHistory* history)
    : system_(system), history_(history) {
  for (int caller = 0; caller < callers; ++caller) {
    threads_.emplace_back(
        "caller", [this, seed, caller] { Submit(seed + static_cast<uint64_t>(caller), caller); });
  }
  threads_.emplace_back("asker", [this, seed] { Ask(seed); });
}

SoakCallers::~SoakCallers() {
  submitting_.store(false);
  stopping_.store(true);
}

int SoakCallers::AnyEntry(std::mt19937_64* random) const {
  const auto& entries = system_->entries();
  return entries[(*random)() % entries.size()]->callers->port();
}

void SoakCallers::Submit(uint64_t seed, int caller) {
  std::mt19937_64 random(seed);
  for (int number = 0; submitting_.load(); ++number) {
    const SoakJob job =
        DrawJob("j" + std::to_string(caller) + "x" + std::to_string(number), &random);
    history_->Made(job);
    SubmitOne(job, &random);
    if (OneIn(6, &random)) CancelOne(job, &random);
    std::this_thread::sleep_for(kBetweenJobs);
  }
}

void SoakCallers::SubmitOne(const SoakJob& job, std::mt19937_64* random) {
  for (int tries = 0; tries < kTries; ++tries) {
    const platform::CallOutcome outcome =
        platform::Caller(AnyEntry(random)).Submit(job.spec, kPatience);
    history_->Submitted(job.spec.id, outcome, LeaseClock().Now());
    if (outcome == platform::CallOutcome::kDone) return;
    std::this_thread::sleep_for(kRetryPause);
  }
}

void SoakCallers::CancelOne(const SoakJob& job, std::mt19937_64* random) {
  std::this_thread::sleep_for(milliseconds(Below(800, random)));
  history_->CancelSent(job.spec.id);
  for (int tries = 0; tries < kTries; ++tries) {
    const platform::CallOutcome outcome =
        platform::Caller(AnyEntry(random)).Cancel(job.spec, kPatience);
    if (outcome == platform::CallOutcome::kDone) {
      return history_->Cancelled(job.spec.id, LeaseClock().Now());
    }
    if (outcome == platform::CallOutcome::kUnknownJob) return;
    std::this_thread::sleep_for(kRetryPause);
  }
}

void SoakCallers::Ask(uint64_t seed) {
  std::mt19937_64 random(~seed);
  while (!stopping_.load()) {
    std::this_thread::sleep_for(kBetweenLooks);
    const std::vector<std::string> pending = history_->Pending();
    if (pending.empty()) continue;
    const std::string& id = pending[random() % pending.size()];
    const Time sent = LeaseClock().Now();
    pool::JobState state = pool::JobState::kQueued;
    const platform::CallOutcome outcome =
        platform::Caller(AnyEntry(&random)).StateOf(history_->SpecOf(id), kPatience, &state);
    if (outcome == platform::CallOutcome::kDone) history_->Shown(id, state);
    if (outcome == platform::CallOutcome::kUnknownJob) history_->ShownUnknown(id, sent);
  }
}

}  // namespace turmericshift::soak
