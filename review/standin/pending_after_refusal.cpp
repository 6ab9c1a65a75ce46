// The only worker with a label refuses starts for 6.5 s. Jobs that need the label are accepted and
// can't begin. Checks the rule MIXED: the number that a queue gives as `pending`.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kWorkers = 11;
constexpr int kJobs = 4;
constexpr int64_t kUnhealthyMs = 6500;
// visible_ms + 2 s
constexpr int64_t kCountedAfterMs = 5000;

bool HasBegun(const std::string& id) {
  const std::lock_guard<std::mutex> lock(runs.mutex);
  const auto row = runs.by_task.lower_bound(id);
  return row != runs.by_task.end() && row->first.rfind(id, 0) == 0;
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
    options.rack = "r1-" + std::to_string(i / 3);
    options.kind = i == 0 ? "b" : "a";
    options.work_ms = [](const std::string&, const std::string& spec) { return std::stoll(spec); };
    workers.push_back(std::make_unique<Worker>(options));
    deployment.AddAgent(options.zone, i, workers.back()->port());
    workers.back()->Announce(deployment.agents.back().control);
  }
  int result = 2;
  if (deployment.AwaitReady(15000)) {
    SleepMs(8000);
    const int64_t begin = NowMs();
    if (Trouble()) {
      workers[0]->SetUnhealthy(true);
      record.Line("i-0, the only worker with the label b, refuses starts");
    }
    std::map<std::string, int64_t> accepted;
    for (int i = 0; i < kJobs; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x5c0e7a00 + i);
      const Json job = {{"spec", "2000"},
                        {"steps",
                         {{{"count", 1},
                           {"cpu", 2000},
                           {"memMb", 1024},
                           {"gpu", 1},
                           {"estimateMs", 2000},
                           {"requiredLabel", "b"}}}}};
      if (Submit(&deployment, "/pule252/", id, job) == 200) accepted[id] = NowMs();
    }
    bool broken = false;
    int answers = 0;
    while (NowMs() < begin + kUnhealthyMs) {
      SleepMs(200);
      for (const Entry& entry : deployment.entries) {
        const int64_t sent = NowMs();
        const Response answer =
            Call(entry.front, "GET", "/pule252/", "", CallerHeaders(3000), 3000);
        if (answer.status != 200) continue;
        // Counted are the jobs that were accepted long enough before the request and that have not
        // begun by the answer.
        int waiting = 0;
        for (const auto& [id, at] : accepted)
          waiting += sent - at > kCountedAfterMs && !HasBegun(id);
        const int pending = Json::parse(answer.body).value("pending", -1);
        ++answers;
        if (waiting == 0 || 2 * pending >= waiting) continue;
        if (!broken) {
          for (const auto& [id, at] : accepted) {
            record.Line("state of " + id + ": " + StateOf(&deployment, "/pule252/", id, 0));
          }
        }
        broken = true;
        record.Line("MIXED: " + entry.node + " gives pending " + std::to_string(pending) + "; " +
                    std::to_string(waiting) + " jobs were accepted over " +
                    std::to_string(kCountedAfterMs) + " ms ago and have not begun");
      }
    }
    workers[0]->SetUnhealthy(false);
    record.Line("i-0 takes starts again");
    SleepMs(6000);
    int ran = 0;
    for (const auto& [id, at] : accepted) {
      ran += HasBegun(id);
      record.Line("state of " + id + ": " + StateOf(&deployment, "/pule252/", id, 0));
    }
    const std::string line = "accepted " + std::to_string(accepted.size()) + ", begun later " +
                             std::to_string(ran) + ", answers " + std::to_string(answers) +
                             (broken ? ", broken" : ", held");
    record.Line(line);
    std::printf("%s\n", line.c_str());
    if (accepted.size() == kJobs && answers > 0) result = broken ? 1 : 0;
  }
  record.Flush();
  deployment.End();
  std::fflush(nullptr);
  _exit(result);
}
