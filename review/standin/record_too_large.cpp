// A job of many checkpointing tasks is running when all entries lose power for 9.5 s. The leases of
// its tasks lapse, and each is listed with its checkpoint. Checks the rule LOST.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kWorkers = 11;
constexpr int kTasksPerWorker = 330;
// Length of a checkpoint; CHECKPOINT_BYTES sets another.
constexpr size_t kCheckpointBytes = 64;
constexpr int64_t kWorkMs = 40000;
constexpr int64_t kFinishMs = 14000;
constexpr int64_t kWatchMs = 50000;
constexpr int64_t kPowerOffMs = 9500;

int RunningTasks(const std::string& id) {
  const std::lock_guard<std::mutex> lock(runs.mutex);
  int running = 0;
  for (auto row = runs.by_task.lower_bound(id); row != runs.by_task.end(); ++row) {
    if (row->first.rfind(id, 0) != 0) break;
    for (const Run& run : row->second) running += run.ended_ms < 0;
  }
  return running;
}

int DoneTasks(const std::string& id) {
  const std::lock_guard<std::mutex> lock(runs.mutex);
  int done = 0;
  for (auto row = runs.by_task.lower_bound(id); row != runs.by_task.end(); ++row) {
    if (row->first.rfind(id, 0) != 0) break;
    bool any = false;
    for (const Run& run : row->second) any = any || run.how == "done";
    done += any;
  }
  return done;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  record.Open(argv[2]);
  Store store;
  store.Put("keyed.op", "config", Document(1));
  Deployment deployment(&store, argv[1]);
  const std::vector<std::string> zones = {"kozep-a", "kozep-b", "kozep-c"};
  std::vector<std::unique_ptr<Worker>> workers;
  for (const std::string& zone : zones) deployment.AddEntry(zone);
  for (int i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.id = "i-" + std::to_string(i);
    options.service = kService;
    options.zone = zones[static_cast<size_t>(i) % zones.size()];
    options.rack = "r1-" + std::to_string(i);
    const char* bytes = std::getenv("CHECKPOINT_BYTES");
    options.checkpoint_bytes = bytes == nullptr ? kCheckpointBytes : std::stoul(bytes);
    options.work_ms = [](const std::string&, const std::string& spec) { return std::stoll(spec); };
    workers.push_back(std::make_unique<Worker>(options));
    deployment.AddAgent(options.zone, i, workers.back()->port());
    workers.back()->Announce(deployment.agents.back().control);
  }
  int result = 2;
  if (deployment.AwaitReady(15000)) {
    SleepMs(5000);
    const std::string bulk = "5c0e7a21d94b36f8";
    const int tasks = kWorkers * kTasksPerWorker;
    const Json job = {{"spec", std::to_string(kWorkMs)},
                      {"steps",
                       {{{"count", tasks},
                         {"cpu", 64000 / kTasksPerWorker},
                         {"memMb", 50},
                         {"estimateMs", kWorkMs},
                         {"checkpointing", true}}}}};
    const int accepted = Submit(&deployment, "/pule252/", bulk, job);
    int64_t until = NowMs() + 20000;
    while (accepted == 200 && NowMs() < until && RunningTasks(bulk) < tasks) SleepMs(50);
    record.Line(std::to_string(RunningTasks(bulk)) + " tasks of " + bulk + " are running");
    SleepMs(3000);
    if (Trouble()) {
      for (Entry& entry : deployment.entries) entry.process.Kill();
      record.Line("all entries have lost power");
      SleepMs(kPowerOffMs);
      for (Entry& entry : deployment.entries) entry.process.Start();
      record.Line("all entries have started again");
    }
    // The traffic is over. LOST: `finish_s` later, for 3 s, a job has nothing running while a
    // task's turn has come, there is capacity for it twice over, and under half of the capacity is
    // in use.
    const int64_t asked_from = NowMs() + kFinishMs;
    until = asked_from + kWatchMs;
    int64_t idle_since = -1;
    int64_t longest_idle_ms = 0;
    int64_t said_at = 0;
    std::string state;
    while (NowMs() < until) {
      SleepMs(100);
      const int running = RunningTasks(bulk);
      if (NowMs() - said_at >= 2000) {
        said_at = NowMs();
        state = StateOf(&deployment, "/pule252/", bulk, 1);
        record.Line(
            "state of " + bulk + ": " + state + "; done " + std::to_string(DoneTasks(bulk)) +
            ", running " + std::to_string(running) + ", largest progress record " +
            std::to_string(store.LargestOf("keyed.work", "p/")) + " bytes, appends refused " +
            "for a record over 262144 bytes: " + std::to_string(store.too_large()));
        if (state == "completed") break;
      }
      if (NowMs() < asked_from) continue;
      // A task whose run has ended `done` is not one whose turn has come.
      if (running > 0 || DoneTasks(bulk) == tasks) {
        idle_since = -1;
      } else if (idle_since < 0) {
        idle_since = NowMs();
      }
      if (idle_since >= 0) longest_idle_ms = std::max(longest_idle_ms, NowMs() - idle_since);
    }
    state = StateOf(&deployment, "/pule252/", bulk, 0);
    const int later =
        state == "completed"
            ? 200
            : Submit(
                  &deployment, "/pule252/", "00d1f7a9c2b34e55",
                  {{"spec", "1000"},
                   {"steps", {{{"count", 1}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", 1000}}}}},
                  2);
    const std::string line = "state " + state + ", done " + std::to_string(DoneTasks(bulk)) +
                             " of " + std::to_string(tasks) +
                             ", longest span with nothing running " +
                             std::to_string(longest_idle_ms) +
                             " ms, a small job handed in at the end: " + std::to_string(later);
    record.Line(line);
    std::printf("%s\n", line.c_str());
    if (accepted == 200) result = state != "completed" && longest_idle_ms >= 3000 ? 1 : 0;
    if (result == 0 && state != "completed") result = 2;
  }
  record.Flush();
  deployment.End();
  std::fflush(nullptr);
  _exit(result);
}
