#include "main/benches/bench_gangs.h"

#include <functional>
#include <memory>
#include <thread>

#include "core/bench_suite.h"
#include "core/digest.h"
#include "core/error.h"
#include "main/dev_cluster.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);
constexpr Duration kPollInterval = std::chrono::milliseconds(1);
constexpr int kStartsPerRun = 10;
constexpr const char* kZone = "a";
constexpr const char* kWorkspace = "boxes";

std::string Document() {
  std::string text = "[environment]\ndeployment = bench\n";
  for (const char* zone : {"a", "b", "c"}) {
    text += std::string("[availability_zone ") + zone +
            "]\nstate = in\nworkers = 4\nworkers_per_rack = 4\nprocessors_per_worker = 64\n"
            "memory_per_worker = 128GiB\naccelerators_per_worker = 8\n";
  }
  return text + "[workspace " + kWorkspace +
         "]\ntoken_hashes =\nguarantee = 2 worker\naccelerator_cap = 96\n";
}

// Runs gangs in one cluster. Jobs are appended directly to the log, so that the measured time
// excludes the API.
class GangsRun {
 public:
  GangsRun() {
    DevOptions options;
    options.environment_text = Document();
    options.log_over_http = false;
    cluster_ = std::make_unique<DevCluster>(options);
    ConfigPublished first;
    first.id = NewRecordId();
    first.version = 1;
    first.text = options.environment_text;
    first.digest = Digest(first.text);
    cluster_->log().Append("config", EncodeRecords({first}), {});
    // Waits until the zones have their first planners.
    TimeToStart("warm-up", 1, "10ms");
  }

  // Submits an urgent gang and returns the seconds from the append of its record until all its
  // tasks run.
  double TimeToStart(const std::string& key, int tasks, const std::string& run_time) {
    JobSubmitted record;
    record.id = NewRecordId();
    record.spec.key = key;
    record.spec.workspace = kWorkspace;
    record.spec.tasks = tasks;
    record.spec.shape = {1, int64_t{1} << 30, 4};
    record.spec.urgent = true;
    record.spec.payload = run_time;
    record.zone = std::string(kZone);
    const Time begun = DefaultClock().Now();
    cluster_->log().Append("jobs", EncodeRecords({record}), {});
    const std::string job = JobId(kWorkspace, key);
    while (ReleasedTasks(job) < tasks) {
      if (DefaultClock().Now() - begun > kTimeout) {
        throw Error(ErrorKind::kDeadlineExceeded, job + " did not start");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return Seconds(DefaultClock().Now() - begun);
  }

  // Stops the planner's entry without a graceful shutdown while a gang runs. Returns the seconds
  // from the stop until the next job has started.
  double TimeToStartWithoutPlanner() {
    TimeToStart("long", 4, "60s");
    const Time begun = DefaultClock().Now();
    cluster_->StopEntry(0);
    const double stopped = Seconds(DefaultClock().Now() - begun);
    return stopped + TimeToStart("next", 2, "1s");
  }

  // Whether the long gang still runs, so the next planner has adopted it.
  bool KeptLongGang() const { return ReleasedTasks(JobId(kWorkspace, "long")) == 4; }

 private:
  int ReleasedTasks(const std::string& job) const {
    int tasks = 0;
    for (const DevAgent& agent : cluster_->agents()) {
      for (const TaskReport& report : agent.worker->Report()) {
        const bool released =
            report.phase == TaskPhase::kRunning || report.phase == TaskPhase::kDone;
        if (report.id.job == job && released) ++tasks;
      }
    }
    return tasks;
  }

  std::unique_ptr<DevCluster> cluster_;
};

class GangsBench : public BenchSuite {
 public:
  std::string Summary() const override {
    return "start times of urgent gangs, also after the failure of a planner";
  }

  std::vector<BenchFigure> Run(const BenchOptions& options) override {
    std::vector<double> starts;
    std::vector<double> takeovers;
    std::vector<double> kept;
    for (int run = 0; run < options.repeats; ++run) {
      GangsRun gangs;
      for (int start = 0; start < kStartsPerRun; ++start) {
        starts.push_back(gangs.TimeToStart("urgent-" + std::to_string(start), 2, "10ms"));
      }
      takeovers.push_back(gangs.TimeToStartWithoutPlanner());
      kept.push_back(gangs.KeptLongGang() ? 1 : 0);
    }
    std::vector<BenchFigure> figures;
    figures.push_back(MachineFigure("urgent_start", "s", starts));
    figures.back().aim = "below 1.2 s";
    figures.push_back(MachineFigure("start_after_planner_death", "s", takeovers));
    figures.push_back(MachineFigure("gang_kept_by_successor", "share", kept));
    figures.back().aim = std::string("1");
    return figures;
  }
};

}  // namespace

void RegisterGangsBench() {
  BenchSuiteRegistry::Instance().Register("gangs", [] { return std::make_unique<GangsBench>(); });
}

}  // namespace turmericshift
