// Two-way model of run times: the logarithm of a run's whole time is the effect of its step plus
// the effect of its worker plus noise. Effects are shrunk towards the expected run time and towards
// the typical worker by how uncertain they are.
#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "core/error.h"
#include "servers/learned/saved_rows.h"
#include "servers/speeds/run_meter.h"
#include "servers/speeds/worker_speeds.h"

namespace turmericshift::speeds {
namespace {

// Estimates are updated at most this often, and less often the more runs there are.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(400);
constexpr Duration kUpdateIntervalPerRun = std::chrono::microseconds(50);
constexpr int kPasses = 4;

// Callers' estimates are off by about this much, as a standard deviation of logarithms.
constexpr double kExpectedSpread = 0.5;
// Spread of the tasks of a step around each other before it has been observed, and the number of
// observations that this assumption is worth.
constexpr double kInitialNoise = 0.3;
constexpr double kInitialNoiseWeight = 3;
constexpr double kMinNoise = 0.03;
// Spread of workers before it has been observed, likewise.
constexpr double kInitialWorkerSpread = 0.3;
constexpr double kInitialWorkerWeight = 4;
constexpr double kMinWorkerSpread = 0.05;
// A run that deviates further than this from its worker's other runs, such as a task with much more
// work than the others of its step, counts less.
constexpr double kOutlier = 0.6;

// A step that was not used for this long is summed up by what it says of its workers.
constexpr Duration kStepRetention = std::chrono::seconds(20);
constexpr size_t kMaxSteps = 2000;
// Precision of a worker's effect from which on older runs are gradually forgotten.
constexpr double kMaxPrecision = 400;

// Number of standard deviations by which a worker has to be off to count as slow or fast.
constexpr double kConfidence = 0.67;
// Number of standard deviations that a cautious factor lies above the expected one.
constexpr double kCautiousDeviations = 0.5;
// A single slow worker may be faulty and does not make a pool uneven.
constexpr int kMinSlowWorkers = 2;
constexpr double kFastFactor = 0.8;
constexpr double kDefaultSlowFactor = 1.375;
// A worker counts as slowed until this long after the last slowed progress: by then, its runs have
// been read several times.
constexpr Duration kSlowedTime = std::chrono::seconds(3);

constexpr int kFormat = 1;
constexpr Duration kMaxAge = std::chrono::minutes(10);
constexpr double kMilli = 1000;
// A worker of which less is known is not saved.
constexpr double kMinSavedPrecision = 0.1;
// Largest effect that a saved worker may have; e to this power is a factor of 20.
constexpr double kMaxSavedEffect = 3;

constexpr std::array<std::pair<SpeedClass, const char*>, 3> kClassNames = {{
    {SpeedClass::kSlow, "slow"},
    {SpeedClass::kTypical, "typical"},
    {SpeedClass::kFast, "fast"},
}};

SpeedClass SpeedClassFromName(const std::string& name) {
  for (const auto& [speed, known] : kClassNames) {
    if (name == known) return speed;
  }
  throw Error(ErrorKind::kInvalidInput, "unknown class of speed '" + name + "'");
}

class LearnedSpeeds : public WorkerSpeeds {
 public:
  std::string name() const override { return "speeds"; }
  int version() const override { return kFormat; }
  Duration max_age() const override { return kMaxAge; }
  nlohmann::json Save(size_t max_bytes, Time now) const override;
  void Load(const nlohmann::json& data, Duration age, Time now) override;

  void SetSlowFactor(double factor) override {
    changed_ = changed_ || std::log(factor) != slow_effect_;
    slow_effect_ = std::log(factor);
  }
  double slow_factor() const override { return std::exp(slow_effect_); }
  void BeginIncarnation(const std::string& worker, int64_t start_time_ms) override;
  RunHandle BeginRun(const RunInfo& run, Time now) override;
  void RecordProgress(RunHandle run, int percent, Time at) override;
  void RecordDone(RunHandle run, Duration elapsed, Time now) override;
  std::vector<SpeedChange> Update(Time now) override;
  bool uneven() const override { return uneven_; }
  double TimeFactor(const std::string& worker, Time now) const override;
  double CautiousFactor(const std::string& worker, Time now) const override;
  bool IsSlowed(const std::string& worker, Time now) const override;
  SpeedSummary summary() const override;

 private:
  struct Worker {
    std::string name;
    std::string service;
    int64_t start_time_ms = 0;
    // When a run of the worker began or was measured; empty until then.
    std::optional<Time> used_at;
    // Sums over the runs of steps that are no longer kept.
    double residuals = 0;
    double precision = 0;
    // The same over all runs, as of the last update.
    double all_residuals = 0;
    double all_precision = 0;
    double effect = 0;
    double deviation = kInitialWorkerSpread;
    bool known = false;
    SpeedClass speed = SpeedClass::kTypical;
    std::optional<Time> slowed_at;
  };
  struct Run {
    std::string step;
    Worker* worker = nullptr;
    RunMeter meter;
  };
  struct Step {
    std::string queue;
    double log_expected = 0;
    double effect = 0;
    // Variance of the tasks of the queue's steps on one worker.
    double noise = kInitialNoise * kInitialNoise;
    std::vector<RunHandle> runs;
    // When a run of the step began or was measured.
    Time used_at{};
  };
  // What the runs of one step say of a worker: its effect, and how certain that is.
  struct Evidence {
    Worker* worker = nullptr;
    double effect = 0;
    double precision = 0;
  };

  void NoteMeasured(const Run& run, Time now);
  // Calls `visit(worker, measurement)` for each measured run of the step.
  template <typename Visit>
  void ForMeasured(Step* step, Visit&& visit);
  Worker* FindWorker(const std::string& name);
  const Worker* KnownWorker(const std::string& name) const;
  void UpdateNoise();
  void UpdateSteps();
  void UpdateWorkers();
  void UpdateSpread();
  void Center();
  std::vector<SpeedChange> UpdateClasses();
  SpeedClass ClassOf(const Worker& worker) const;
  std::vector<Evidence> EvidenceOf(Step* step);
  void RetireSteps(Time now);
  void Retire(Step* step);
  void ForgetUnusedWorkers(Time now);
  static double WeightOf(const Step& step, const Worker& worker, const Measurement& measurement);

  // Pointers to the workers stay valid.
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<RunHandle, Run> runs_;
  std::map<std::string, Step> steps_;
  RunHandle last_handle_ = 0;
  double slow_effect_ = std::log(kDefaultSlowFactor);
  double worker_variance_ = kInitialWorkerSpread * kInitialWorkerSpread;
  bool changed_ = false;
  bool uneven_ = false;
  std::optional<Time> updated_at_;
};

LearnedSpeeds::Worker* LearnedSpeeds::FindWorker(const std::string& name) {
  std::unique_ptr<Worker>& worker = workers_[name];
  if (!worker) {
    worker = std::make_unique<Worker>();
    worker->name = name;
  }
  return worker.get();
}

const LearnedSpeeds::Worker* LearnedSpeeds::KnownWorker(const std::string& name) const {
  const auto found = workers_.find(name);
  return found == workers_.end() ? nullptr : found->second.get();
}

void LearnedSpeeds::BeginIncarnation(const std::string& name, int64_t start_time_ms) {
  Worker* worker = FindWorker(name);
  if (worker->start_time_ms == start_time_ms) return;
  *worker = Worker();
  worker->name = name;
  worker->start_time_ms = start_time_ms;
  std::erase_if(runs_, [&](const auto& run) { return run.second.worker == worker; });
  changed_ = true;
}

RunHandle LearnedSpeeds::BeginRun(const RunInfo& run, Time now) {
  if (run.expected <= Duration::zero()) return 0;
  const RunHandle handle = ++last_handle_;
  Step& step = steps_[run.step];
  step.queue = run.queue;
  step.log_expected = std::log(Seconds(run.expected));
  if (step.runs.empty()) step.effect = step.log_expected;
  step.runs.push_back(handle);
  step.used_at = now;
  Worker* worker = FindWorker(run.worker);
  worker->service = run.service;
  worker->used_at = now;
  runs_[handle] = {run.step, worker, {}};
  return handle;
}

void LearnedSpeeds::RecordProgress(RunHandle handle, int percent, Time at) {
  const auto found = runs_.find(handle);
  if (found == runs_.end()) return;
  Run& run = found->second;
  const Pace pace = run.meter.Record(percent, at);
  if (pace == Pace::kSlowed) run.worker->slowed_at = at;
  if (pace == Pace::kSteady) run.worker->slowed_at.reset();
  NoteMeasured(run, at);
}

void LearnedSpeeds::RecordDone(RunHandle handle, Duration elapsed, Time now) {
  const auto found = runs_.find(handle);
  if (found == runs_.end()) return;
  found->second.meter.RecordDone(elapsed);
  NoteMeasured(found->second, now);
}

void LearnedSpeeds::NoteMeasured(const Run& run, Time now) {
  if (!run.meter.measurement()) return;
  steps_[run.step].used_at = now;
  run.worker->used_at = now;
  run.worker->known = true;
  changed_ = true;
}

std::vector<SpeedChange> LearnedSpeeds::Update(Time now) {
  const Duration interval =
      std::max(kUpdateInterval, kUpdateIntervalPerRun * static_cast<int64_t>(runs_.size()));
  if (updated_at_ && now - *updated_at_ < interval) return {};
  updated_at_ = now;
  RetireSteps(now);
  ForgetUnusedWorkers(now);
  if (!changed_) return {};
  changed_ = false;
  UpdateNoise();
  for (int pass = 0; pass < kPasses; ++pass) {
    UpdateSteps();
    UpdateWorkers();
    Center();
  }
  UpdateSpread();
  return UpdateClasses();
}

template <typename Visit>
void LearnedSpeeds::ForMeasured(Step* step, Visit&& visit) {
  for (const RunHandle handle : step->runs) {
    const auto run = runs_.find(handle);
    if (run == runs_.end()) continue;
    const std::optional<Measurement> measurement = run->second.meter.measurement();
    if (measurement) visit(run->second.worker, *measurement);
  }
}

double LearnedSpeeds::WeightOf(const Step& step, const Worker& worker,
                               const Measurement& measurement) {
  const double residual = std::abs(measurement.log_time - step.effect - worker.effect);
  const double excess = std::max(0.0, residual - kOutlier);
  return 1 / (step.noise + measurement.variance + excess * excess);
}

// The tasks of one step on one worker differ by noise only.
void LearnedSpeeds::UpdateNoise() {
  struct Sum {
    double values = 0;
    double squares = 0;
    int count = 0;
  };
  std::map<std::string, Sum> noise;
  for (auto& [id, step] : steps_) {
    std::map<const Worker*, Sum> by_worker;
    ForMeasured(&step, [&](const Worker* worker, const Measurement& measurement) {
      Sum& sum = by_worker[worker];
      sum.values += measurement.log_time;
      sum.squares += measurement.log_time * measurement.log_time;
      ++sum.count;
    });
    Sum& total = noise[step.queue];
    for (const auto& [worker, sum] : by_worker) {
      const int freedom = sum.count - 1;
      if (freedom == 0) continue;
      const double squares = sum.squares - sum.values * sum.values / sum.count;
      // A task with much more work than the others would hide how alike the others are.
      total.squares += std::min(squares, kOutlier * kOutlier * freedom);
      total.count += freedom;
    }
  }
  constexpr double kInitialSquares = kInitialNoise * kInitialNoise * kInitialNoiseWeight;
  for (auto& [id, step] : steps_) {
    const Sum& sum = noise[step.queue];
    const double variance = (kInitialSquares + sum.squares) / (kInitialNoiseWeight + sum.count);
    step.noise = std::max(kMinNoise * kMinNoise, variance);
  }
}

void LearnedSpeeds::UpdateSteps() {
  constexpr double kExpectedPrecision = 1 / (kExpectedSpread * kExpectedSpread);
  for (auto& row : steps_) {
    Step& step = row.second;
    double sum = kExpectedPrecision * step.log_expected;
    double precision = kExpectedPrecision;
    ForMeasured(&step, [&](const Worker* worker, const Measurement& measurement) {
      const double weight = WeightOf(step, *worker, measurement);
      sum += weight * (measurement.log_time - worker->effect);
      precision += weight;
    });
    step.effect = sum / precision;
  }
}

// The effect of a step is taken from its runs on other workers: with the worker's own runs, a step
// that ran on one worker only would confirm whatever is believed of that worker.
std::vector<LearnedSpeeds::Evidence> LearnedSpeeds::EvidenceOf(Step* step) {
  struct Sum {
    double times = 0;
    double weight = 0;
  };
  constexpr double kExpectedPrecision = 1 / (kExpectedSpread * kExpectedSpread);
  double corrected = kExpectedPrecision * step->log_expected;
  double precision = kExpectedPrecision;
  std::map<Worker*, Sum> by_worker;
  ForMeasured(step, [&](Worker* worker, const Measurement& measurement) {
    const double weight = WeightOf(*step, *worker, measurement);
    Sum& sum = by_worker[worker];
    sum.times += weight * measurement.log_time;
    sum.weight += weight;
    corrected += weight * (measurement.log_time - worker->effect);
    precision += weight;
  });
  std::vector<Evidence> evidence;
  for (const auto& [worker, sum] : by_worker) {
    const double others = precision - sum.weight;
    const double step_effect = (corrected - (sum.times - sum.weight * worker->effect)) / others;
    evidence.push_back(
        {worker, sum.times / sum.weight - step_effect, 1 / (1 / sum.weight + 1 / others)});
  }
  return evidence;
}

void LearnedSpeeds::UpdateWorkers() {
  std::map<const Worker*, std::pair<double, double>> sums;
  for (auto& [id, step] : steps_) {
    for (const Evidence& evidence : EvidenceOf(&step)) {
      auto& [effects, precision] = sums[evidence.worker];
      effects += evidence.precision * evidence.effect;
      precision += evidence.precision;
    }
  }
  for (auto& [name, worker] : workers_) {
    const auto [effects, precision] = sums[worker.get()];
    worker->all_residuals = worker->residuals + effects;
    worker->all_precision = worker->precision + precision;
    const double total = worker->all_precision + 1 / worker_variance_;
    worker->effect = worker->all_residuals / total;
    worker->deviation = 1 / std::sqrt(total);
  }
}

// Only differences between workers are observed; the median of a service's known workers counts as
// typical.
void LearnedSpeeds::Center() {
  std::map<std::string, std::vector<Worker*>> by_service;
  for (const auto& [name, worker] : workers_) {
    if (worker->known) by_service[worker->service].push_back(worker.get());
  }
  for (auto& [service, workers] : by_service) {
    const auto middle = workers.begin() + static_cast<std::ptrdiff_t>(workers.size() / 2);
    std::nth_element(
        workers.begin(), middle, workers.end(),
        [](const Worker* left, const Worker* right) { return left->effect < right->effect; });
    const double median = (*middle)->effect;
    for (Worker* worker : workers) worker->effect -= median;
  }
}

void LearnedSpeeds::UpdateSpread() {
  double squares = kInitialWorkerSpread * kInitialWorkerSpread * kInitialWorkerWeight;
  double count = kInitialWorkerWeight;
  for (const auto& [name, worker] : workers_) {
    if (!worker->known) continue;
    squares += worker->effect * worker->effect + worker->deviation * worker->deviation;
    count += 1;
  }
  worker_variance_ = std::max(kMinWorkerSpread * kMinWorkerSpread, squares / count);
}

// A class is left later than it is entered: estimates that waver must not switch the order of
// placement back and forth.
SpeedClass LearnedSpeeds::ClassOf(const Worker& worker) const {
  if (!worker.known) return SpeedClass::kTypical;
  const double margin = kConfidence * worker.deviation;
  const double slow_margin = worker.speed == SpeedClass::kSlow ? 0 : margin;
  if (worker.effect - slow_margin > slow_effect_) return SpeedClass::kSlow;
  const double fast_margin = worker.speed == SpeedClass::kFast ? 0 : margin;
  if (worker.effect + fast_margin < std::log(kFastFactor)) return SpeedClass::kFast;
  return SpeedClass::kTypical;
}

std::vector<SpeedChange> LearnedSpeeds::UpdateClasses() {
  std::vector<SpeedChange> changes;
  int slow = 0;
  for (const auto& [name, worker] : workers_) {
    const SpeedClass speed = ClassOf(*worker);
    slow += speed == SpeedClass::kSlow;
    if (speed == worker->speed) continue;
    worker->speed = speed;
    changes.push_back({name, speed, std::exp(worker->effect), worker->deviation});
  }
  uneven_ = uneven_ ? slow > 0 : slow >= kMinSlowWorkers;
  return changes;
}

void LearnedSpeeds::RetireSteps(Time now) {
  for (auto step = steps_.begin(); step != steps_.end();) {
    // Runs of a worker that has been replaced are gone already.
    std::erase_if(step->second.runs, [&](RunHandle run) { return runs_.count(run) == 0; });
    const bool old = now - step->second.used_at > kStepRetention;
    if (!old && !step->second.runs.empty() && steps_.size() <= kMaxSteps) {
      ++step;
      continue;
    }
    Retire(&step->second);
    step = steps_.erase(step);
  }
}

void LearnedSpeeds::Retire(Step* step) {
  for (const Evidence& evidence : EvidenceOf(step)) {
    Worker* worker = evidence.worker;
    worker->residuals += evidence.precision * evidence.effect;
    worker->precision += evidence.precision;
    if (worker->precision <= kMaxPrecision) continue;
    worker->residuals *= kMaxPrecision / worker->precision;
    worker->precision = kMaxPrecision;
  }
  for (const RunHandle run : step->runs) runs_.erase(run);
}

// The incarnation stays known, since it is announced only once.
void LearnedSpeeds::ForgetUnusedWorkers(Time now) {
  for (auto& row : workers_) {
    Worker* worker = row.second.get();
    if (!worker->used_at || now - *worker->used_at <= kMaxAge) continue;
    std::erase_if(runs_, [&](const auto& run) { return run.second.worker == worker; });
    Worker unused;
    unused.name = worker->name;
    unused.service = worker->service;
    unused.start_time_ms = worker->start_time_ms;
    *worker = unused;
    changed_ = true;
  }
}

double LearnedSpeeds::TimeFactor(const std::string& name, Time) const {
  const Worker* worker = KnownWorker(name);
  return !uneven_ || worker == nullptr ? 1 : std::exp(worker->effect);
}

double LearnedSpeeds::CautiousFactor(const std::string& name, Time) const {
  if (!uneven_) return 1;
  const Worker* worker = KnownWorker(name);
  if (worker == nullptr) return std::exp(kCautiousDeviations * std::sqrt(worker_variance_));
  return std::exp(worker->effect + kCautiousDeviations * worker->deviation);
}

bool LearnedSpeeds::IsSlowed(const std::string& name, Time now) const {
  const Worker* worker = KnownWorker(name);
  return worker != nullptr && worker->slowed_at && now - *worker->slowed_at < kSlowedTime;
}

SpeedSummary LearnedSpeeds::summary() const {
  SpeedSummary summary;
  summary.spread = std::sqrt(worker_variance_);
  for (const auto& [name, worker] : workers_) {
    summary.known += worker->known;
    summary.slow += worker->speed == SpeedClass::kSlow;
    summary.fast += worker->speed == SpeedClass::kFast;
  }
  return summary;
}

nlohmann::json LearnedSpeeds::Save(size_t max_bytes, Time) const {
  std::vector<const Worker*> best_known;
  for (const auto& [name, worker] : workers_) {
    if (worker->known) best_known.push_back(worker.get());
  }
  std::stable_sort(
      best_known.begin(), best_known.end(),
      [](const Worker* left, const Worker* right) { return left->deviation < right->deviation; });
  learned::SavedRows rows(max_bytes);
  for (const Worker* worker : best_known) {
    // Without the assumption that workers are typical, which the loading planner adds itself.
    const double precision = worker->all_precision;
    const double effect = precision > 0 ? worker->all_residuals / precision : 0;
    if (precision < kMinSavedPrecision || std::abs(effect) >= kMaxSavedEffect) continue;
    rows.Add(worker->name, {worker->start_time_ms, std::lround(effect * kMilli),
                            std::lround(kMilli / std::sqrt(precision)),
                            SpeedClassName(worker->speed), worker->service});
  }
  return {{"workers", rows.rows()}};
}

void LearnedSpeeds::Load(const nlohmann::json& data, Duration, Time now) {
  std::map<std::string, std::unique_ptr<Worker>> loaded;
  try {
    for (const auto& [name, row] : data.at("workers").items()) {
      auto worker = std::make_unique<Worker>();
      worker->name = name;
      worker->start_time_ms = row.at(0).get<int64_t>();
      const double effect = row.at(1).get<double>() / kMilli;
      const double deviation = row.at(2).get<double>() / kMilli;
      if (!(std::abs(effect) < kMaxSavedEffect) || !(deviation > 0)) {
        throw Error(ErrorKind::kInvalidInput, "the saved speed of " + name + " is out of range");
      }
      worker->precision = std::min(kMaxPrecision, 1 / (deviation * deviation));
      worker->residuals = effect * worker->precision;
      worker->all_residuals = worker->residuals;
      worker->all_precision = worker->precision;
      const double total = worker->precision + 1 / worker_variance_;
      worker->effect = worker->residuals / total;
      worker->deviation = 1 / std::sqrt(total);
      worker->service = row.at(4).get<std::string>();
      worker->used_at = now;
      worker->known = true;
      // The predecessor was certain enough to enter the class.
      worker->speed = SpeedClassFromName(row.at(3).get<std::string>());
      loaded[name] = std::move(worker);
    }
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kInvalidInput, error.what());
  }
  runs_.clear();
  steps_.clear();
  workers_ = std::move(loaded);
  UpdateSpread();
  UpdateClasses();
}

}  // namespace

const char* SpeedClassName(SpeedClass speed) {
  for (const auto& [known, name] : kClassNames) {
    if (known == speed) return name;
  }
  return "";
}

std::unique_ptr<WorkerSpeeds> MakeLearnedSpeeds() { return std::make_unique<LearnedSpeeds>(); }

}  // namespace turmericshift::speeds
