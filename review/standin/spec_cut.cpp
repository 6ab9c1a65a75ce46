// Jobs whose spec contains a zero character, as fields that are separated by one. Checks the rule
// UNASKED: the spec that a worker is told to start.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int kWorkers = 4;
constexpr int kJobs = 20;

std::mutex seen_mutex;
std::map<std::string, std::vector<std::string>> seen;  // specs of starts, by the job's id

std::string Shown(const std::string& spec) { return Json(spec).dump(); }

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
    options.work_ms = [](const std::string& task, const std::string& spec) {
      const std::lock_guard<std::mutex> lock(seen_mutex);
      seen[task.substr(0, 16)].push_back(spec);
      return int64_t{500};
    };
    workers.push_back(std::make_unique<Worker>(options));
    deployment.AddAgent(options.zone, i, workers.back()->port());
    workers.back()->Announce(deployment.agents.back().control);
  }
  int result = 2;
  if (deployment.AwaitReady(15000)) {
    SleepMs(5000);
    std::map<std::string, std::string> sent;
    for (int i = 0; i < kJobs; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x5c0e7a00 + i);
      const std::string separator(1, Trouble() ? '\0' : ';');
      const std::string spec = "box=" + std::to_string(4100 + i) + separator + "swap=peanut:pear" +
                               separator + "child=" + std::to_string(i);
      const Json job = {
          {"spec", spec},
          {"steps", {{{"count", 2}, {"cpu", 2000}, {"memMb", 1024}, {"estimateMs", 500}}}}};
      if (Submit(&deployment, "/pufi791/", id, job) == 200) sent[id] = spec;
      record.Line("spec of " + std::string(id) + " as sent: " + Shown(spec));
    }
    SleepMs(5000);
    int starts = 0;
    int others = 0;
    for (const auto& [id, spec] : sent) {
      const std::lock_guard<std::mutex> lock(seen_mutex);
      for (const std::string& each : seen[id]) {
        ++starts;
        if (each == spec) continue;
        ++others;
        record.Line("UNASKED: a worker was told to start a task of " + id + " with the spec " +
                    Shown(each));
      }
    }
    for (const auto& [id, spec] : sent) {
      record.Line("state of " + id + ": " + StateOf(&deployment, "/pufi791/", id, 0));
    }
    const std::string line = "accepted " + std::to_string(sent.size()) + " jobs, starts " +
                             std::to_string(starts) + ", with another spec " +
                             std::to_string(others);
    record.Line(line);
    std::printf("%s\n", line.c_str());
    if (sent.size() == kJobs && starts >= kJobs) result = others > 0 ? 1 : 0;
  }
  record.Flush();
  deployment.End();
  std::fflush(nullptr);
  _exit(result);
}
