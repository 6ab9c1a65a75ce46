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

constexpr Duration kLimit = std::chrono::seconds(60);
constexpr Duration kLookPause = std::chrono::milliseconds(1);
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

// One fleet, with jobs put straight into the log, so that the time is the system's own.
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
    // Until the first planners have the zones.
    TimeToStart("warm-up", 1, "10ms");
  }

  // Seconds from the record of an urgent gang until all its tasks run.
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
    while (Released(job) < tasks) {
      if (DefaultClock().Now() - begun > kLimit) {
        throw Error(ErrorKind::kDeadlineExceeded, job + " did not start");
      }
      std::this_thread::sleep_for(kLookPause);
    }
    return Seconds(DefaultClock().Now() - begun);
  }

  // Takes the planner's machine away while a gang runs; seconds until the next job starts.
  double TimeToStartWithoutPlanner() {
    TimeToStart("long", 4, "60s");
    const Time begun = DefaultClock().Now();
    cluster_->StopEntry(0);
    const double stopped = Seconds(DefaultClock().Now() - begun);
    return stopped + TimeToStart("next", 2, "1s");
  }

  // Whether the successor found the long gang and let it run.
  bool KeptLongGang() const { return Released(JobId(kWorkspace, "long")) == 4; }

 private:
  int Released(const std::string& job) const {
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
    return "start of urgent gangs, and after the death of a planner";
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
