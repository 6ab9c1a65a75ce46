#include "main/benches/bench_requests.h"

#include <atomic>
#include <memory>
#include <thread>

#include "core/error.h"
#include "core/secret.h"
#include "main/benches/load_generator.h"
#include "main/dev_cluster.h"

namespace turmericshift {
namespace {

constexpr size_t kTokenBytes = 16;
constexpr Duration kStartLimit = std::chrono::seconds(20);
constexpr Duration kPoll = std::chrono::milliseconds(10);
constexpr const char* kService = "planner";
constexpr size_t kBodyBytes = 256;
constexpr int kTargets = 6;
constexpr int kSlots = 8;

constexpr int kLatencyThreads = 2;
constexpr int kThroughputThreads = 24;
constexpr double kKeyedRate = 1000;
constexpr int kKeyedThreads = 64;
// Of each request while goodput and slow targets are measured.
constexpr Duration kWork = std::chrono::milliseconds(50);
constexpr Duration kGoodputDeadline = std::chrono::milliseconds(400);
constexpr int kSlowFactor = 10;
constexpr Duration kShort = std::chrono::seconds(1);
constexpr Duration kLong = std::chrono::seconds(2);

std::string Document(const std::string& token) {
  return "[environment]\ndeployment = bench\nreclaim_bound = 30s\nzone_out_bound = 3s\n"
         "lease = 10s\n\n[availability_zone one]\nstate = in\nworkers = " +
         std::to_string(kTargets) +
         "\nworkers_per_rack = 3\nprocessors_per_worker = 64\nmemory_per_worker = 128GiB\n"
         "accelerators_per_worker = 8\n\n[workspace bench]\ntoken_hashes = " +
         HashToken(token) +
         "\nguarantee = 1 worker\naccelerator_cap = 8\nobjective_plans_on_time = 0.99\n"
         "objective_requests_answered = 0.999\nobjective_starts_within_bound = 0.99\n\n"
         "[service " +
         std::string(kService) + "]\nslots = " + std::to_string(kSlots) +
         "\nconnections = 64\nrepeatable = true\n";
}

// One entry with a few targets, ready to be called.
class Bench {
 public:
  Bench(const std::string& routing_policy, bool eject_outliers) : token_(RandomHex(kTokenBytes)) {
    DevOptions options;
    options.environment_text = Document(token_);
    options.operator_token = RandomHex(kTokenBytes);
    options.routing_policy = routing_policy;
    options.eject_outliers = eject_outliers;
    cluster_ = std::make_unique<DevCluster>(options);
    HttpCall publish;
    publish.method = "POST";
    publish.url = cluster_->OperatorUrl(0) + "/v1/config?parent=0&author=bench";
    publish.headers = {{"Authorization", "Bearer " + options.operator_token}};
    publish.body = options.environment_text;
    PerformHttp(publish);
    Await([this] { return InForce(); });
  }

  HttpCall Through(int number, bool keyed, Duration deadline) const {
    HttpCall call = Direct(number);
    call.url = cluster_->CallerUrl(0) + "/v1/services/" + kService + "/plan";
    const auto millis = duration_cast<std::chrono::milliseconds>(deadline).count();
    call.headers = {{"Authorization", "Bearer " + token_},
                    {"Deadline", std::to_string(millis) + "ms"}};
    if (keyed) call.headers.push_back({"Idempotency-Key", NextKey()});
    return call;
  }

  HttpCall Direct(int number) const {
    const auto target = static_cast<size_t>(number) % cluster_->agents().size();
    HttpCall call;
    call.method = "POST";
    call.url =
        "http://127.0.0.1:" + std::to_string(cluster_->agents()[target].target->port()) + "/plan";
    call.body = std::string(kBodyBytes, 'b');
    return call;
  }

  LoadResult RunThrough(const LoadOptions& options, bool keyed = false,
                        Duration deadline = std::chrono::seconds(10)) {
    return GenerateLoad(options, [&](int number) { return Through(number, keyed, deadline); });
  }

  LoadResult RunDirect(const LoadOptions& options) {
    return GenerateLoad(options, [this](int number) { return Direct(number); });
  }

  void SetFaults(size_t target, const TargetFaults& faults) {
    cluster_->agents()[target].target->SetFaults(faults);
  }

  int64_t CallsToTargets() const {
    int64_t calls = 0;
    for (const DevAgent& agent : cluster_->agents()) calls += agent.target->served();
    return calls;
  }

  int64_t RequestAppends() { return cluster_->metrics().counter("log_appends_requests").value(); }

 private:
  static void Await(const std::function<bool()>& holds) {
    const Time limit = DefaultClock().Now() + kStartLimit;
    while (!holds()) {
      if (DefaultClock().Now() > limit) throw Error(ErrorKind::kUnavailable, "did not start");
      std::this_thread::sleep_for(kPoll);
    }
  }

  bool InForce() const {
    for (const DevAgent& agent : cluster_->agents()) {
      if (agent.server->guard().config_version() < 1) return false;
    }
    return cluster_->entries()[0].server->ready();
  }

  static std::string NextKey() {
    static std::atomic<int> next{0};
    return "order-" + std::to_string(next.fetch_add(1));
  }

  const std::string token_;
  std::unique_ptr<DevCluster> cluster_;
};

// The samples of one figure and those of what it is compared with.
struct Samples {
  std::vector<double> values;
  std::vector<double> baselines;

  void Add(double value, double baseline) {
    values.push_back(value);
    baselines.push_back(baseline);
  }

  BenchFigure Figure(const std::string& name, const std::string& unit,
                     const std::string& aim) const {
    BenchFigure figure = MachineFigure(name, unit, values);
    figure.baseline = MachineFigure(name, unit, baselines).value;
    figure.aim = aim;
    return figure;
  }
};

LoadOptions Load(int threads, Duration length, double rate = 0) { return {threads, length, rate}; }

void MeasureLatency(Bench* bench, int repeats, std::vector<BenchFigure>* figures) {
  Samples p50;
  Samples p99;
  for (int run = 0; run < repeats; ++run) {
    const LoadResult direct = bench->RunDirect(Load(kLatencyThreads, kShort));
    const LoadResult through = bench->RunThrough(Load(kLatencyThreads, kShort));
    p50.Add((through.Quantile(0.5) - direct.Quantile(0.5)) * 1e3, direct.Quantile(0.5) * 1e3);
    p99.Add((through.Quantile(0.99) - direct.Quantile(0.99)) * 1e3, direct.Quantile(0.99) * 1e3);
  }
  figures->push_back(p50.Figure("added_latency_p50", "ms", "under 0.5"));
  figures->push_back(p99.Figure("added_latency_p99", "ms", "under 2"));
}

void MeasureThroughput(Bench* bench, int repeats, std::vector<BenchFigure>* figures) {
  Samples rate;
  for (int run = 0; run < repeats; ++run) {
    const double direct = bench->RunDirect(Load(kThroughputThreads, kShort)).AnsweredPerSecond();
    rate.Add(bench->RunThrough(Load(kThroughputThreads, kShort)).AnsweredPerSecond(), direct);
  }
  figures->push_back(rate.Figure("throughput_of_one_entry", "1/s", "at least 5000"));
}

void MeasureAppends(Bench* bench, int repeats, std::vector<BenchFigure>* figures) {
  Samples appends;
  for (int run = 0; run < repeats; ++run) {
    const int64_t before = bench->RequestAppends();
    const LoadResult load = bench->RunThrough(Load(kKeyedThreads, kShort, kKeyedRate), true);
    const auto made = static_cast<double>(bench->RequestAppends() - before);
    if (load.latencies.empty()) throw Error(ErrorKind::kUnavailable, "no keyed request answered");
    appends.Add(made / static_cast<double>(load.latencies.size()), 1);
  }
  figures->push_back(appends.Figure("appends_per_keyed_request", "appends", "at most 0.1"));
}

void MeasureFailingThird(Bench* bench, int repeats, std::vector<BenchFigure>* figures) {
  TargetFaults failing;
  failing.fails_everything = true;
  for (size_t target = 0; target < kTargets / 3; ++target) bench->SetFaults(target, failing);
  Samples calls;
  Samples answered;
  for (int run = 0; run < repeats; ++run) {
    const int64_t before = bench->CallsToTargets();
    const LoadResult load = bench->RunThrough(Load(kLatencyThreads, kShort));
    const auto made = static_cast<double>(bench->CallsToTargets() - before);
    calls.Add(made / load.sent, 1);
    answered.Add(static_cast<double>(load.latencies.size()) / load.sent, 1);
  }
  for (size_t target = 0; target < kTargets / 3; ++target) bench->SetFaults(target, {});
  figures->push_back(calls.Figure("calls_per_request_third_failing", "calls", "at most 1.2"));
  figures->push_back(answered.Figure("answered_well_third_failing", "share", ""));
}

void SetWork(Bench* bench, Duration work) {
  TargetFaults faults;
  faults.delay = work;
  for (size_t target = 0; target < kTargets; ++target) bench->SetFaults(target, faults);
}

// Offered loads are paced, as callers who do not wait for each other.
double Goodput(Bench* bench, double times) {
  const double capacity = kTargets * kSlots / Seconds(kWork);
  // Enough threads that none is late while every call takes as long as its deadline allows.
  const int threads = static_cast<int>(capacity * times * Seconds(kGoodputDeadline)) + 1;
  const LoadOptions load = Load(threads, kLong, capacity * times);
  return bench->RunThrough(load, false, kGoodputDeadline).AnsweredPerSecond();
}

void MeasureOverload(Bench* bench, int repeats, std::vector<BenchFigure>* figures) {
  SetWork(bench, kWork);
  Samples twice;
  Samples four_times;
  for (int run = 0; run < repeats; ++run) {
    const double once = Goodput(bench, 1);
    twice.Add(Goodput(bench, 2), once);
    four_times.Add(Goodput(bench, 4), once);
  }
  SetWork(bench, Duration::zero());
  figures->push_back(twice.Figure("goodput_at_2x", "1/s", "ratio at least 0.9"));
  figures->push_back(four_times.Figure("goodput_at_4x", "1/s", "ratio at least 0.9"));
}

double SlowTargetP99(Bench* bench) {
  SetWork(bench, kWork / kSlowFactor);
  TargetFaults slow;
  slow.delay = kWork;
  bench->SetFaults(0, slow);
  const double p99 = bench->RunThrough(Load(kTargets, kLong)).Quantile(0.99) * 1e3;
  SetWork(bench, Duration::zero());
  return p99;
}

void MeasureSlowTarget(Bench* bench, int repeats, std::vector<BenchFigure>* figures) {
  Bench baseline("round_robin", false);
  Samples p99;
  for (int run = 0; run < repeats; ++run) p99.Add(SlowTargetP99(bench), SlowTargetP99(&baseline));
  figures->push_back(p99.Figure("p99_one_target_10x_slow", "ms", "below round_robin"));
}

}  // namespace

std::string RequestBench::Summary() const {
  return "latency, throughput, overload, failing and slow targets, log appends of requests";
}

std::vector<BenchFigure> RequestBench::Run(const BenchOptions& options) {
  std::vector<BenchFigure> figures;
  Bench bench("two_choices", true);
  MeasureLatency(&bench, options.repeats, &figures);
  MeasureThroughput(&bench, options.repeats, &figures);
  MeasureAppends(&bench, options.repeats, &figures);
  MeasureSlowTarget(&bench, options.repeats, &figures);
  MeasureFailingThird(&bench, options.repeats, &figures);
  MeasureOverload(&bench, options.repeats, &figures);
  return figures;
}

void RegisterRequestBench() {
  BenchSuiteRegistry::Instance().Register("requests",
                                          [] { return std::make_unique<RequestBench>(); });
}

}  // namespace turmericshift
