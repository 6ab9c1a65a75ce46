#include "modules/placement/placement_suite.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "core/error.h"
#include "servers/replay/replayer.h"
#include "servers/replay/trace_generator.h"

namespace turmericshift {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr const char* kPolicy = "cells";
constexpr std::array<const char*, 2> kBaselines = {"first_fit", "best_fit"};
constexpr int kSeeds = 2;
constexpr int kLargeGang = 8;
constexpr double kPercentile = 0.95;
constexpr Duration kZoneOutAt = hours(12);
constexpr Duration kZoneInAt = hours(16);
constexpr double kDeclaredTimeErrorFactor = 4;
constexpr int64_t kGibibyte = int64_t{1} << 30;

// The workspaces of a deployment that submit each kind of job, and the zone that is taken out.
struct Deployment {
  std::string name;
  std::string urgent_workspace;
  std::string plan_workspace;
  std::string batch_workspace;
  std::string order_workspace;
  std::string leaving_zone;
};

const std::array<Deployment, 2> kDeployments = {
    {{"potkocsi", "allergy-checks", "weekly-boxes", "recipe-batches", "co-packer", "buda-b"},
     {"thistle-and-rind", "shop-answers", "seasonal-blends", "label-runs", "head-office",
      "clyde-b"}}};

JobSpec MakeJobSpec(const std::string& workspace, int tasks, int accelerators,
                    Adjacency adjacency) {
  JobSpec spec;
  spec.workspace = workspace;
  spec.tasks = tasks;
  spec.shape = {accelerators * 6, accelerators * 8 * kGibibyte, accelerators};
  spec.adjacency = adjacency;
  spec.checkpoints = true;
  return spec;
}

GenerateRule MakeRule(const std::string& prefix, int count, const JobSpec& spec, Duration shortest,
                      Duration longest) {
  GenerateRule rule;
  rule.from = Duration::zero();
  rule.until = hours(22);
  rule.count = count;
  rule.prefix = prefix;
  rule.spec = spec;
  rule.shortest = shortest;
  rule.longest = longest;
  rule.off_by = kDeclaredTimeErrorFactor;
  return rule;
}

std::vector<GenerateRule> DayOf(const Deployment& deployment) {
  std::vector<GenerateRule> rules;
  JobSpec check = MakeJobSpec(deployment.urgent_workspace, 1, 1, Adjacency::kAny);
  check.urgent = true;
  rules.push_back(MakeRule("check-", 300, check, minutes(2), minutes(10)));
  rules.push_back(MakeRule("plan-", 160,
                           MakeJobSpec(deployment.plan_workspace, 2, 2, Adjacency::kSameWorker),
                           minutes(10), hours(1)));
  rules.back().peak = hours(20) + minutes(30);
  rules.back().peak_width = hours(2);
  rules.push_back(MakeRule("gang-", 36,
                           MakeJobSpec(deployment.plan_workspace, 4, 4, Adjacency::kAny),
                           minutes(20), minutes(90)));
  rules.push_back(MakeRule("batch-", 30,
                           MakeJobSpec(deployment.batch_workspace, 2, 8, Adjacency::kSameRack),
                           minutes(30), hours(3)));
  // A burst of jobs before the shift of the co-packer, a contract packaging company.
  rules.push_back(MakeRule("shift-", 12,
                           MakeJobSpec(deployment.batch_workspace, 2, 4, Adjacency::kAny),
                           minutes(15), minutes(60)));
  rules.back().from = hours(5);
  rules.back().until = hours(5) + minutes(15);
  JobSpec large = MakeJobSpec(deployment.batch_workspace, 3, 8, Adjacency::kAny);
  large.checkpoints = false;
  rules.push_back(MakeRule("large-", 12, large, minutes(30), hours(2)));
  JobSpec order = MakeJobSpec(deployment.order_workspace, 1, 2, Adjacency::kAny);
  order.checkpoints = false;
  order.repeatable = false;
  rules.push_back(MakeRule("order-", 120, order, minutes(5), minutes(30)));
  return rules;
}

Trace TraceOf(const Deployment& deployment, uint64_t seed, bool zone_leaves) {
  const std::string path = "examples/" + deployment.name + "/environment.ini";
  std::ifstream file(path);
  if (!file) throw Error(ErrorKind::kInvalidInput, "can't read " + path + "; run at source root");
  std::ostringstream text;
  text << file.rdbuf();
  Trace trace;
  trace.name = deployment.name;
  trace.document = text.str();
  trace.until = hours(40);
  trace.tick = std::chrono::seconds(2);
  TraceRandom random(seed);
  for (const GenerateRule& rule : DayOf(deployment)) {
    const std::vector<TraceEvent> events = Generate(rule, &random);
    trace.events.insert(trace.events.end(), events.begin(), events.end());
  }
  if (zone_leaves) {
    for (const bool out : {true, false}) {
      TraceEvent event;
      event.at = out ? kZoneOutAt : kZoneInAt;
      event.kind = out ? TraceEventKind::kZoneOut : TraceEventKind::kZoneIn;
      event.subject = deployment.leaving_zone;
      trace.events.push_back(event);
    }
  }
  std::stable_sort(trace.events.begin(), trace.events.end(),
                   [](const TraceEvent& a, const TraceEvent& b) { return a.at < b.at; });
  return trace;
}

struct PolicyFigures {
  double completion_mean = 0;
  double completion_p95 = 0;
  double gang_wait_p95 = 0;
  double urgent_wait_p95 = 0;
  double fragmentation = 0;
  double zone_change_share = 0;
  double lost_share = 0;
  double unfinished = 0;
};

double PercentileOf(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(kPercentile * static_cast<double>(values.size() - 1))];
}

double MeasureOf(const ReplayResult& result, const std::string& name) {
  for (const Measure& measure : result.measures) {
    if (measure.name == name) return measure.value;
  }
  throw Error(ErrorKind::kInternal, "the replay has no measure " + name);
}

// Aggregates all runs of one policy.
class Collector {
 public:
  void AddDay(const ReplayResult& result) {
    for (const auto& [id, job] : result.jobs) {
      work_ += job.accelerators() * Seconds(job.job.run_time);
      lost_ += job.lost_work;
      if (job.state == JobState::kDone) {
        completions_.push_back(Seconds(*job.ended - job.submitted));
      } else {
        ++unfinished_;
      }
      if (!job.started) continue;
      const double wait = Seconds(*job.started - job.submitted);
      if (job.accelerators() >= kLargeGang) gang_waits_.push_back(wait);
      if (job.job.spec.urgent) urgent_waits_.push_back(wait);
    }
    fragmentation_.push_back(MeasureOf(result, "fragmentation"));
  }

  void AddZoneChange(const ReplayResult& result) {
    zone_change_.push_back(MeasureOf(result, "zone_change_work_share"));
  }

  PolicyFigures Figures() const {
    PolicyFigures figures;
    figures.completion_mean = Mean(completions_);
    figures.completion_p95 = PercentileOf(completions_);
    figures.gang_wait_p95 = PercentileOf(gang_waits_);
    figures.urgent_wait_p95 = PercentileOf(urgent_waits_);
    figures.fragmentation = Mean(fragmentation_);
    figures.zone_change_share = Mean(zone_change_);
    figures.lost_share = work_ > 0 ? lost_ / work_ : 0;
    figures.unfinished = unfinished_;
    return figures;
  }

 private:
  static double Mean(const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values) sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
  }

  std::vector<double> completions_;
  std::vector<double> gang_waits_;
  std::vector<double> urgent_waits_;
  std::vector<double> fragmentation_;
  std::vector<double> zone_change_;
  double work_ = 0;
  double lost_ = 0;
  int unfinished_ = 0;
};

PolicyFigures RunPolicy(const std::string& policy, uint64_t seed) {
  Collector collector;
  for (const Deployment& deployment : kDeployments) {
    for (int run = 0; run < kSeeds; ++run) {
      const uint64_t run_seed = seed * kSeeds + static_cast<uint64_t>(run);
      collector.AddDay(Replayer(TraceOf(deployment, run_seed, false), policy).Run());
      collector.AddZoneChange(Replayer(TraceOf(deployment, run_seed, true), policy).Run());
    }
  }
  return collector.Figures();
}

BenchFigure FigureOf(const std::string& name, double value, const std::string& unit,
                     std::optional<double> baseline, const std::string& aim) {
  BenchFigure figure;
  figure.name = name;
  figure.value = value;
  figure.unit = unit;
  figure.baseline = baseline;
  figure.aim = aim;
  return figure;
}

}  // namespace

std::string PlacementSuite::Summary() const {
  return "jobs of a generated day of both deployments, against the better FIFO baseline";
}

std::vector<BenchFigure> PlacementSuite::Run(const BenchOptions& options) {
  const PolicyFigures value = RunPolicy(kPolicy, options.seed);
  std::vector<PolicyFigures> baselines;
  baselines.reserve(kBaselines.size());
  for (const char* policy : kBaselines) baselines.push_back(RunPolicy(policy, options.seed));
  const auto lowest = [&baselines](double PolicyFigures::*member) {
    return std::min(baselines[0].*member, baselines[1].*member);
  };
  const auto highest = [&baselines](double PolicyFigures::*member) {
    return std::max(baselines[0].*member, baselines[1].*member);
  };
  return {FigureOf("completion_mean", value.completion_mean, "s",
                   lowest(&PolicyFigures::completion_mean), "ratio below 0.6"),
          FigureOf("completion_p95", value.completion_p95, "s",
                   lowest(&PolicyFigures::completion_p95), "ratio below 0.6"),
          FigureOf("gang_wait_p95", value.gang_wait_p95, "s", lowest(&PolicyFigures::gang_wait_p95),
                   "ratio below 0.4"),
          FigureOf("urgent_wait_p95", value.urgent_wait_p95, "s",
                   lowest(&PolicyFigures::urgent_wait_p95), "below the 2 s tick"),
          FigureOf("fragmentation", value.fragmentation, "share",
                   lowest(&PolicyFigures::fragmentation), "ratio below 0.5"),
          FigureOf("zone_change_work_share", value.zone_change_share, "share",
                   highest(&PolicyFigures::zone_change_share), "above 0.95"),
          FigureOf("lost_work_share", value.lost_share, "share", std::nullopt, "below 0.02"),
          FigureOf("unfinished_jobs", value.unfinished, "jobs", lowest(&PolicyFigures::unfinished),
                   "0")};
}

}  // namespace turmericshift
