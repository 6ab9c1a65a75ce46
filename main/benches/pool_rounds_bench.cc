#include "main/benches/pool_rounds_bench.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>

#include "core/bench_suite.h"
#include "core/clock.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift {
namespace {

using pool::AgentReport;
using pool::JobSpec;
using pool::OperatorState;
using pool::PoolPlanner;
using pool::RunId;
using pool::StepSpec;

constexpr int kWorkersPerRack = 20;
constexpr pool::Room kWorkerRoom = {64'000, 131'072, 8};
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kPollEvery = std::chrono::milliseconds(500);
constexpr Duration kWarmUp = std::chrono::seconds(8);
constexpr Duration kMeasured = std::chrono::seconds(8);
// Jobs a second for each worker; somewhat more work than the pool can carry.
constexpr double kJobsPerWorker = 0.02;
constexpr int64_t kWallStartMs = 1'700'000'000'000;
constexpr double kTail = 0.99;

struct PoolSize {
  const char* name;
  int workers;
};

constexpr std::array<PoolSize, 3> kSizes = {
    {{"60_workers", 60}, {"240_workers", 240}, {"1400_workers", 1400}}};

// A worker whose runs take as long as their step says, with the agent beside it.
struct BenchWorker {
  std::string node;
  std::string rack;
  int64_t ends = 0;
  int64_t reports = 0;
  int64_t orders_seen = 0;
  Time next_poll{};
  std::map<RunId, std::pair<Time, Time>> running;
  std::map<int64_t, pool::EndedTask> ended;
  std::vector<pool::StartResult> results;
  bool news = true;
};

class PoolLoad {
 public:
  PoolLoad(int workers, uint64_t seed) : random_(seed), arrivals_(kJobsPerWorker * workers) {
    std::set<std::string> nodes;
    for (int index = 0; index < workers; ++index) {
      BenchWorker worker;
      worker.node = "worker-" + std::to_string(index);
      worker.rack = "rack-" + std::to_string(index / kWorkersPerRack);
      worker.next_poll = now_ + kPollEvery * index / workers;
      nodes.insert(worker.node);
      workers_.push_back(worker);
    }
    planner_ =
        std::make_unique<PoolPlanner>(pool::PlannerOptions(), 1, pool::JobTable(), nodes, now_);
    operators_ = std::make_shared<OperatorState>(Operators(workers));
  }

  void RunFor(Duration time) {
    const Time end = now_ + time;
    while (now_ < end) Step();
  }

  void ForgetFigures() {
    rounds_.clear();
    reports_ = 0;
    report_seconds_ = 0;
  }
  const std::vector<double>& rounds() const { return rounds_; }
  // Mean seconds for an agent's report and its answer.
  double report_seconds() const { return report_seconds_ / std::max(reports_, 1); }

 private:
  static OperatorState Operators(int workers) {
    OperatorState state;
    state.config.version = 1;
    const std::array<double, 3> stretch = {1.5, 3, 3};
    int priority = 0;
    for (const char* name : {"urgent", "batch", "bulk"}) {
      pool::Queue queue;
      queue.name = name;
      queue.terms = {"plans", priority, 3, stretch.at(static_cast<size_t>(priority)),
                     std::chrono::milliseconds(500)};
      ++priority;
      state.config.queues.push_back(queue);
    }
    state.config.workspaces = {{"one", {"key"}, workers * kWorkerRoom.accelerators / 3},
                               {"two", {"other-key"}, 0}};
    return state;
  }

  int Below(int limit) { return static_cast<int>(random_() % static_cast<uint64_t>(limit)); }
  int64_t wall_ms() const {
    return kWallStartMs + duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
  }

  void Submit() {
    constexpr std::array<const char*, 3> kQueues = {"urgent", "batch", "bulk"};
    const int kind = std::array<int, 8>{0, 0, 0, 0, 0, 1, 1, 2}.at(static_cast<size_t>(Below(8)));
    StepSpec step;
    const int accelerators = kind == 2 ? 1 : std::array<int, 4>{1, 2, 4, 8}.at(Below(4));
    const std::array<int, 3> widest = {16, 50, 160};
    step.tasks = 1 + Below(widest.at(static_cast<size_t>(kind)));
    if (kind != 2) step.tasks = std::max(1, step.tasks / accelerators);
    step.need = {std::array<int, 3>{7500, 26000, 5600}.at(static_cast<size_t>(kind)), 11'000,
                 accelerators};
    step.gang = kind != 2;
    step.one_rack = step.gang && Below(3) != 0;
    step.checkpoints = Below(2) == 0;
    step.estimate = std::chrono::milliseconds(kind == 0 ? 2500 : 7000);
    JobSpec job;
    job.id = "job-" + std::to_string(++jobs_);
    job.queue = kQueues.at(static_cast<size_t>(kind));
    job.workspace = Below(2) == 0 ? "one" : "two";
    job.accepted_ms = wall_ms();
    job.steps.push_back(step);
    planner_->Submit(job);
  }

  void Step() {
    now_ += kStep;
    planner_->ConfirmLeadership(now_);
    planner_->outbox().Take();
    planner_->outbox().MarkDurable();
    planner_->SetOperatorState(operators_, now_);
    std::poisson_distribution<int> arrivals(arrivals_ * Seconds(kStep));
    for (int left = arrivals(random_); left > 0; --left) Submit();
    const Time begun = DefaultClock().Now();
    planner_->NoteDurable();
    planner_->Plan(wall_ms(), now_);
    rounds_.push_back(Seconds(DefaultClock().Now() - begun));
    for (BenchWorker& worker : workers_) StepWorker(&worker);
  }

  void StepWorker(BenchWorker* worker) {
    for (auto run = worker->running.begin(); run != worker->running.end();) {
      if (now_ < run->second.second) {
        ++run;
        continue;
      }
      End(worker, run->first, pool::EndKind::kDone);
      run = worker->running.erase(run);
    }
    const bool told = planner_->HasPendingOrders(worker->node);
    if (now_ < worker->next_poll && !worker->news && !told) return;
    worker->news = false;
    worker->next_poll = now_ + kPollEvery;
    Exchange(worker);
  }

  void End(BenchWorker* worker, const RunId& run, pool::EndKind how) {
    const int64_t number = ++worker->ends;
    worker->ended[number] = {number, run, how, ""};
    worker->news = true;
  }

  AgentReport ReportOf(BenchWorker* worker) const {
    AgentReport report;
    report.node = worker->node;
    report.zone = "a";
    report.incarnation = "1";
    report.sequence = ++worker->reports;
    report.epoch = 1;
    report.orders_seen = worker->orders_seen;
    report.worker.id = worker->node;
    report.worker.start_time_ms = 1;
    report.worker.service = "plans";
    report.worker.rack = worker->rack;
    report.worker.capacity = kWorkerRoom;
    report.worker.reachable = true;
    for (const auto& [run, times] : worker->running) {
      const auto percent = 100 * (now_ - times.first) / (times.second - times.first);
      report.running.push_back({run, "", static_cast<int>(percent)});
    }
    for (const auto& [number, end] : worker->ended) report.ended.push_back(end);
    report.results.swap(worker->results);
    return report;
  }

  void Exchange(BenchWorker* worker) {
    const AgentReport report = ReportOf(worker);
    const Time begun = DefaultClock().Now();
    planner_->ApplyReport(report, wall_ms(), now_);
    const pool::AgentOrders orders = planner_->Orders(worker->node, now_);
    report_seconds_ += Seconds(DefaultClock().Now() - begun);
    ++reports_;
    worker->orders_seen = orders.version;
    worker->ended.erase(worker->ended.begin(), worker->ended.upper_bound(orders.acked_ends));
    for (const pool::StartOrder& start : orders.starts) {
      const bool urgent = start.run.task.job.back() % 2 == 0;
      const Duration takes = std::chrono::milliseconds(urgent ? 2500 : 6000);
      if (!worker->running.emplace(start.run, std::make_pair(now_, now_ + takes)).second) continue;
      worker->results.push_back({start.run, pool::StartOutcome::kStarted, ""});
      worker->news = true;
    }
    for (const RunId& stop : orders.stops) {
      if (worker->running.erase(stop) > 0) End(worker, stop, pool::EndKind::kStopped);
    }
  }

  std::mt19937_64 random_;
  const double arrivals_;
  Time now_ = Time(std::chrono::hours(1));
  std::vector<BenchWorker> workers_;
  std::unique_ptr<PoolPlanner> planner_;
  std::shared_ptr<const OperatorState> operators_;
  int jobs_ = 0;
  std::vector<double> rounds_;
  int reports_ = 0;
  double report_seconds_ = 0;
};

class PoolRoundsSuite : public BenchSuite {
 public:
  std::string Summary() const override {
    return "what planning a pool costs: rounds and agents' reports, by the pool's size";
  }

  std::vector<BenchFigure> Run(const BenchOptions& options) override {
    std::vector<BenchFigure> figures;
    for (const PoolSize& size : kSizes) Measure(size, options, &figures);
    return figures;
  }

 private:
  static void Measure(const PoolSize& size, const BenchOptions& options,
                      std::vector<BenchFigure>* figures) {
    std::vector<double> means;
    std::vector<double> tails;
    std::vector<double> reports;
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
      PoolLoad load(size.workers, options.seed + static_cast<uint64_t>(repeat));
      load.RunFor(kWarmUp);
      load.ForgetFigures();
      load.RunFor(kMeasured);
      std::vector<double> rounds = load.rounds();
      std::sort(rounds.begin(), rounds.end());
      double sum = 0;
      for (const double round : rounds) sum += round;
      means.push_back(sum / static_cast<double>(rounds.size()));
      tails.push_back(rounds[static_cast<size_t>(kTail * static_cast<double>(rounds.size()))]);
      reports.push_back(load.report_seconds());
    }
    const std::string name = size.name;
    figures->push_back(MachineFigure("round_mean_" + name, "s", means));
    figures->push_back(MachineFigure("round_p99_" + name, "s", tails));
    figures->push_back(MachineFigure("report_mean_" + name, "s", reports));
  }
};

}  // namespace

void RegisterPoolRoundsBench() {
  BenchSuiteRegistry::Instance().Register("pool_rounds",
                                          [] { return std::make_unique<PoolRoundsSuite>(); });
}

}  // namespace turmericshift
