#include "tests/soak/soak_callers.h"

#include <array>
#include <functional>
#include <thread>

#include "core/logging.h"
#include "core/units.h"

namespace turmericshift::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{3000};
// Timeout for one in kLongCallTimeoutOneIn jobs: longer than the stop of an entry may take.
constexpr milliseconds kLongCallTimeout{10000};
constexpr size_t kLongCallTimeoutOneIn = 5;
// A connection that ends within this time may have closed before the request was read.
constexpr milliseconds kUnreadRequestLimit{300};
constexpr milliseconds kSubmitInterval{250};
constexpr milliseconds kPollInterval{40};
constexpr milliseconds kRetryPause{100};
// Maximum delay after which a second connection repeats a submission.
constexpr int kMaxRepeatDelayMs = 900;
// Users' clients make the same number of attempts.
constexpr int kMaxCallAttempts = 5;
constexpr int kMaxAttempts = 3;

int Below(int bound, std::mt19937_64* random) {
  return static_cast<int>((*random)() % static_cast<uint64_t>(bound));
}

milliseconds CallTimeoutFor(const SoakJob& job) {
  const bool slow_caller = std::hash<std::string>()(job.spec.id) % kLongCallTimeoutOneIn == 0;
  return slow_caller ? kLongCallTimeout : kCallTimeout;
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
  // Derived from the id instead of `random`, so that a seed still yields the same jobs.
  step.checkpoints = std::hash<std::string>()(id) % 2 == 0;
  job.spec.steps.push_back(step);
  if (OneIn(3, random)) {
    step.gang = false;
    step.after = {0};
    job.spec.steps.push_back(step);
  }
  if (OneIn(8, random)) job.failures = 1 + Below(kMaxAttempts, random);
  return job;
}

// Gives one in five jobs tasks that run for 15 to 40 s.
void LengthenSome(SoakJob* job) {
  const size_t choice = std::hash<std::string>()(job->spec.id + "long");
  if (choice % 5 != 0) return;
  const milliseconds time(15'000 + choice / 5 % 25'000);
  job->spec.payload = FormatDuration(time);
  job->spec.steps.resize(1);
  job->spec.steps[0].need.accelerators = 1;
  job->spec.steps[0].estimate = time;
  job->failures = 0;
}

platform::CallOutcome CallEntry(
    SoakEntry* entry, const std::function<platform::CallOutcome(const platform::Caller&)>& call,
    SoakHistory* history) {
  const int incarnation = entry->process->incarnation();
  const Time sent = LeaseClock().Now();
  entry->callers->CloseEndedIdleConnections();
  const platform::Caller caller(entry->callers->port(), entry->callers.get());
  const platform::CallOutcome outcome = call(caller);
  if (outcome != platform::CallOutcome::kConnectionLost) return outcome;
  const Duration waited = LeaseClock().Now() - sent;
  const bool by_stop =
      entry->process->stops_gracefully(incarnation) && !entry->callers->HadFaultSince(sent);
  if (by_stop && waited > kUnreadRequestLimit) {
    LogEvent(LogLevel::kWarning, "call_cut_by_stop",
             {{"entry", entry->name},
              {"relay", entry->callers->port()},
              {"life", incarnation},
              {"waited_s", Seconds(waited)}});
    history->RecordViolation("a call was cut by the ordered stop of " + entry->name + " after " +
                             FormatDuration(waited));
  }
  return platform::CallOutcome::kOutcomeUnknown;
}

SoakCallers::SoakCallers(uint64_t seed, int callers, bool long_tasks, SoakSystem* system,
                         SoakHistory* history)
    : long_tasks_(long_tasks), system_(system), history_(history) {
  for (int caller = 0; caller < callers; ++caller) {
    threads_.emplace_back(
        "caller", [this, seed, caller] { Submit(seed + static_cast<uint64_t>(caller), caller); });
  }
  threads_.emplace_back("asker", [this, seed] { PollStates(seed); });
}

SoakCallers::~SoakCallers() {
  submitting_.store(false);
  stopping_.store(true);
}

platform::CallOutcome SoakCallers::Call(
    const std::function<platform::CallOutcome(const platform::Caller&)>& call,
    std::mt19937_64* random) {
  const auto& entries = system_->entries();
  return CallEntry(entries[(*random)() % entries.size()].get(), call, history_);
}

void SoakCallers::Submit(uint64_t seed, int caller) {
  std::mt19937_64 random(seed);
  for (int number = 0; submitting_.load(); ++number) {
    SoakJob job = DrawJob("j" + std::to_string(caller) + "x" + std::to_string(number), &random);
    if (long_tasks_) LengthenSome(&job);
    history_->RecordJob(job);
    SubmitOne(job, &random);
    if (OneIn(6, &random)) CancelOne(job, &random);
    std::this_thread::sleep_for(kSubmitInterval);
  }
}

void SoakCallers::CancelPending(uint64_t seed) {
  std::mt19937_64 random(seed);
  for (const std::string& id : history_->Pending()) CancelOne({history_->SpecOf(id)}, &random);
}

bool SoakCallers::SubmitOnce(const SoakJob& job, std::mt19937_64* random) {
  const milliseconds timeout = CallTimeoutFor(job);
  const platform::CallOutcome outcome =
      Call([&](const platform::Caller& entry) { return entry.Submit(job.spec, timeout); }, random);
  history_->RecordSubmission(job.spec.id, outcome, LeaseClock().Now());
  return outcome == platform::CallOutcome::kDone;
}

void SoakCallers::SubmitOne(const SoakJob& job, std::mt19937_64* random) {
  // A separate generator, so that a seed draws the same jobs with and without the second
  // connection.
  std::mt19937_64 second(std::hash<std::string>()(job.spec.id));
  Thread repeat;
  if (OneIn(2, &second)) {
    const milliseconds pause(Below(kMaxRepeatDelayMs, &second));
    repeat = Thread("repeat", [this, job, pause, second]() mutable {
      std::this_thread::sleep_for(pause);
      SubmitOnce(job, &second);
    });
  }
  for (int tries = 0; tries < kMaxCallAttempts; ++tries) {
    if (SubmitOnce(job, random)) return;
    std::this_thread::sleep_for(kRetryPause);
  }
}

void SoakCallers::CancelOne(const SoakJob& job, std::mt19937_64* random) {
  std::this_thread::sleep_for(milliseconds(Below(800, random)));
  history_->RecordCancelSent(job.spec.id);
  for (int tries = 0; tries < kMaxCallAttempts; ++tries) {
    const platform::CallOutcome outcome =
        Call([&](const platform::Caller& entry) { return entry.Cancel(job.spec, kCallTimeout); },
             random);
    if (outcome == platform::CallOutcome::kDone) {
      return history_->RecordCancelled(job.spec.id, LeaseClock().Now());
    }
    if (outcome == platform::CallOutcome::kUnknownJob) return;
    std::this_thread::sleep_for(kRetryPause);
  }
}

void SoakCallers::PollStates(uint64_t seed) {
  std::mt19937_64 random(~seed);
  while (!stopping_.load()) {
    std::this_thread::sleep_for(kPollInterval);
    const std::vector<std::string> pending = history_->Pending();
    if (pending.empty()) continue;
    const std::string& id = pending[random() % pending.size()];
    const Time sent = LeaseClock().Now();
    pool::JobState state = pool::JobState::kQueued;
    const platform::CallOutcome outcome = Call(
        [&](const platform::Caller& entry) {
          return entry.StateOf(history_->SpecOf(id), kCallTimeout, &state);
        },
        &random);
    if (outcome == platform::CallOutcome::kDone) history_->RecordState(id, state);
    if (outcome == platform::CallOutcome::kUnknownJob) history_->RecordUnknown(id, sent);
  }
}

}  // namespace turmericshift::soak
