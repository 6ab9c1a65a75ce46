// Case: large urgent jobs come at once and fill one service. Another service is idle. When does a
// job for the idle service begin?
#include "lab.hpp"

using namespace lab;

namespace {

// RULES: finish_s after the end of the traffic, for 3 s.
constexpr int64_t kFinishMs = 14000;

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"urgent", 0, "plans"}, {"labels", 1, "labels"}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  system.AddSide("side-1", {"w-1", "a", "r1", "plans", {}, 1500});
  system.AddSide("side-2", {"w-2", "b", "r2", "plans", {}, 1500});
  system.AddSide("side-3", {"w-3", "c", "r3", "labels", {}, 1500});
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(5000);
  const auto steps = [](int gpu, int64_t estimate_ms) {
    return Json::array({{{"count", 1},
                         {"cpu", 26000},
                         {"memMb", 38000},
                         {"gpu", gpu},
                         {"estimateMs", estimate_ms}}});
  };
  TaskPlan plan;
  plan.need = {26000, 38000, 8};
  if (Trouble()) {
    // Two large urgent jobs come at once; each takes a worker for a minute.
    for (int i = 0; i < 2; ++i) {
      const std::string id = "bbbbbbbbbbbbbbb" + std::to_string(i);
      plan.work_ms = 60000;
      if (system.Submit("urgent", id, steps(8, plan.work_ms), plan) < 0 ||
          !system.AwaitBegun(id, 5000)) {
        return Finish(2, "an urgent job has not begun");
      }
    }
  }
  SleepMs(500);
  const std::string id = "cccccccccccccccc";
  plan.work_ms = 30000;
  plan.need = {5600, 15000, 1};
  Json small = steps(1, 30000);
  small[0]["cpu"] = 5600;
  small[0]["memMb"] = 15000;
  const int64_t accepted = system.Submit("labels", id, small, plan);
  if (accepted < 0) return Finish(2, "the job was not accepted");
  Say("the traffic ends");
  while (NowMs() < accepted + 60000 && system.runs.OfJob(id).empty()) {
    SleepMs(1000);
    Say("free accelerators of the service labels: ", system.sides[2]->worker->free_gpu(), " of 8; ",
        system.Client(*system.entries.front(), "GET", "/labels/" + id, "", true).body);
  }
  const std::vector<Begun> runs = system.runs.OfJob(id);
  if (runs.empty()) {
    return Finish(1, "the job did not begin in 60 s, with its service idle");
  }
  const int64_t waited = runs.front().at_ms - accepted;
  return Finish(waited > kFinishMs + 3000 ? 1 : 0,
                "the job began " + std::to_string(waited) + " ms after its acknowledgement");
}

}  // namespace

int main(int argc, char** argv) { RunCase(argc, argv, &Run); }
