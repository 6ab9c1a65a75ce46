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
constexpr Duration kStartTimeout = std::chrono::seconds(20);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);
constexpr const char* kService = "planner";
constexpr size_t kBodyBytes = 256;
constexpr int kTargets = 6;
constexpr int kSlots = 8;

constexpr int kLatencyThreads = 2;
constexpr int kThroughputThreads = 24;
constexpr double kKeyedRate = 1000;
constexpr int kKeyedThreads = 64;
// Service time of each request in the measurements of goodput and slow targets.
constexpr Duration kServiceTime = std::chrono::milliseconds(50);
constexpr Duration kGoodputTimeout = std::chrono::milliseconds(400);
constexpr int kSlowFactor = 10;
constexpr Duration kShortRun = std::chrono::seconds(1);
constexpr Duration kLongRun = std::chrono::seconds(2);

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

// A cluster with one entry and kTargets targets, ready for requests.
class BenchCluster {
 public:
  BenchCluster(const std::string& routing_policy, bool eject_outliers)
      : token_(RandomHex(kTokenBytes)) {
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

  HttpCall RoutedCall(int number, bool keyed, Duration deadline) const {
    HttpCall call = DirectCall(number);
    call.url = cluster_->CallerUrl(0) + "/v1/services/" + kService + "/plan";
    const auto millis = duration_cast<std::chrono::milliseconds>(deadline).count();
    call.headers = {{"Authorization", "Bearer " + token_},
                    {"Deadline", std::to_string(millis) + "ms"}};
    if (keyed) call.headers.push_back({"Idempotency-Key", NextKey()});
    return call;
  }

  HttpCall DirectCall(int number) const {
    const auto target = static_cast<size_t>(number) % cluster_->agents().size();
    HttpCall call;
    call.method = "POST";
    call.url =
        "http://127.0.0.1:" + std::to_string(cluster_->agents()[target].target->port()) + "/plan";
    call.body = std::string(kBodyBytes, 'b');
    return call;
  }

  LoadResult RunRouted(const LoadOptions& options, bool keyed = false,
                       Duration deadline = std::chrono::seconds(10)) {
    return GenerateLoad(options, [&](int number) { return RoutedCall(number, keyed, deadline); });
  }

  LoadResult RunDirect(const LoadOptions& options) {
    return GenerateLoad(options, [this](int number) { return DirectCall(number); });
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
  static void Await(const std::function<bool()>& condition) {
    const Time deadline = DefaultClock().Now() + kStartTimeout;
    while (!condition()) {
      if (DefaultClock().Now() > deadline) throw Error(ErrorKind::kUnavailable, "entry not ready");
      std::this_thread::sleep_for(kPollInterval);
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

// Samples of a figure and of its baseline.
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

LoadOptions Load(int threads, Duration duration, double rate = 0) {
  return {threads, duration, rate};
}

void MeasureLatency(BenchCluster* bench, int repeats, std::vector<BenchFigure>* figures) {
  Samples p50;
  Samples p99;
  for (int run = 0; run < repeats; ++run) {
    const LoadResult direct = bench->RunDirect(Load(kLatencyThreads, kShortRun));
    const LoadResult routed = bench->RunRouted(Load(kLatencyThreads, kShortRun));
    p50.Add((routed.Quantile(0.5) - direct.Quantile(0.5)) * 1e3, direct.Quantile(0.5) * 1e3);
    p99.Add((routed.Quantile(0.99) - direct.Quantile(0.99)) * 1e3, direct.Quantile(0.99) * 1e3);
  }
  figures->push_back(p50.Figure("added_latency_p50", "ms", "under 0.5"));
  figures->push_back(p99.Figure("added_latency_p99", "ms", "under 2"));
}

void MeasureThroughput(BenchCluster* bench, int repeats, std::vector<BenchFigure>* figures) {
  Samples rate;
  for (int run = 0; run < repeats; ++run) {
    const double direct = bench->RunDirect(Load(kThroughputThreads, kShortRun)).AnsweredPerSecond();
    rate.Add(bench->RunRouted(Load(kThroughputThreads, kShortRun)).AnsweredPerSecond(), direct);
  }
  figures->push_back(rate.Figure("throughput_of_one_entry", "1/s", "at least 5000"));
}

void MeasureAppends(BenchCluster* bench, int repeats, std::vector<BenchFigure>* figures) {
  Samples appends;
  for (int run = 0; run < repeats; ++run) {
    const int64_t before = bench->RequestAppends();
    const LoadResult load = bench->RunRouted(Load(kKeyedThreads, kShortRun, kKeyedRate), true);
    const auto made = static_cast<double>(bench->RequestAppends() - before);
    if (load.latencies.empty()) throw Error(ErrorKind::kUnavailable, "no keyed request answered");
    appends.Add(made / static_cast<double>(load.latencies.size()), 1);
  }
  figures->push_back(appends.Figure("appends_per_keyed_request", "appends", "at most 0.1"));
}

void MeasureFailingThird(BenchCluster* bench, int repeats, std::vector<BenchFigure>* figures) {
  TargetFaults failing;
  failing.fails_everything = true;
  for (size_t target = 0; target < kTargets / 3; ++target) bench->SetFaults(target, failing);
  Samples calls;
  Samples answered;
  for (int run = 0; run < repeats; ++run) {
    const int64_t before = bench->CallsToTargets();
    const LoadResult load = bench->RunRouted(Load(kLatencyThreads, kShortRun));
    const auto made = static_cast<double>(bench->CallsToTargets() - before);
    calls.Add(made / load.sent, 1);
    answered.Add(static_cast<double>(load.latencies.size()) / load.sent, 1);
  }
  for (size_t target = 0; target < kTargets / 3; ++target) bench->SetFaults(target, {});
  figures->push_back(calls.Figure("calls_per_request_third_failing", "calls", "at most 1.2"));
  figures->push_back(answered.Figure("answered_well_third_failing", "share", ""));
}

void SetServiceTime(BenchCluster* bench, Duration service_time) {
  TargetFaults faults;
  faults.delay = service_time;
  for (size_t target = 0; target < kTargets; ++target) bench->SetFaults(target, faults);
}

// Returns the goodput at `load_factor` times the capacity of the targets. The load is open-loop:
// calls are sent at a fixed rate, independently of the answers.
double Goodput(BenchCluster* bench, double load_factor) {
  const double capacity = kTargets * kSlots / Seconds(kServiceTime);
  // Enough threads to keep the rate even if every call takes as long as its deadline allows.
  const int threads = static_cast<int>(capacity * load_factor * Seconds(kGoodputTimeout)) + 1;
  const LoadOptions load = Load(threads, kLongRun, capacity * load_factor);
  return bench->RunRouted(load, false, kGoodputTimeout).AnsweredPerSecond();
}

void MeasureOverload(BenchCluster* bench, int repeats, std::vector<BenchFigure>* figures) {
  SetServiceTime(bench, kServiceTime);
  Samples twice;
  Samples four_times;
  for (int run = 0; run < repeats; ++run) {
    const double nominal = Goodput(bench, 1);
    twice.Add(Goodput(bench, 2), nominal);
    four_times.Add(Goodput(bench, 4), nominal);
  }
  SetServiceTime(bench, Duration::zero());
  figures->push_back(twice.Figure("goodput_at_2x", "1/s", "ratio at least 0.9"));
  figures->push_back(four_times.Figure("goodput_at_4x", "1/s", "ratio at least 0.9"));
}

double SlowTargetP99(BenchCluster* bench) {
  SetServiceTime(bench, kServiceTime / kSlowFactor);
  TargetFaults slow;
  slow.delay = kServiceTime;
  bench->SetFaults(0, slow);
  const double p99 = bench->RunRouted(Load(kTargets, kLongRun)).Quantile(0.99) * 1e3;
  SetServiceTime(bench, Duration::zero());
  return p99;
}

void MeasureSlowTarget(BenchCluster* bench, int repeats, std::vector<BenchFigure>* figures) {
  BenchCluster baseline("round_robin", false);
  Samples p99;
  for (int run = 0; run < repeats; ++run) p99.Add(SlowTargetP99(bench), SlowTargetP99(&baseline));
  figures->push_back(p99.Figure("p99_one_target_10x_slow", "ms", "below round_robin"));
}

}  // namespace

std::string RequestBench::Summary() const {
  return "latency, throughput, overload, failing and slow targets, log appends per request";
}

std::vector<BenchFigure> RequestBench::Run(const BenchOptions& options) {
  std::vector<BenchFigure> figures;
  BenchCluster bench("two_choices", true);
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
