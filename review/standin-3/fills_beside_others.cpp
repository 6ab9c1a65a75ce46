// Case: a worker is lost for good. A job whose step fills is handed in afterwards. The other
// workers have its memory free many times over, and its `cpu` is not counted. When does it begin?
#include "lab.hpp"

using namespace lab;

namespace {

// RULES: finish_s after the end of the traffic, for 3 s.
constexpr int64_t kFinishMs = 14000;

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"plans", 1}, {"background", 2}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  for (const char* n : {"1", "2", "3"}) {
    system.AddSide(std::string("side-") + n, {std::string("w-") + n,
                                              std::string(n) == "1"   ? "a"
                                              : std::string(n) == "2" ? "b"
                                                                      : "c",
                                              std::string("r") + n,
                                              "plans",
                                              {},
                                              1500});
  }
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(5000);
  const auto step = [](int64_t cpu, int64_t estimate_ms, bool fills) {
    Json step = {
        {"count", 1}, {"cpu", cpu}, {"memMb", 2048}, {"gpu", 1}, {"estimateMs", estimate_ms}};
    if (fills) step["fills"] = true;
    return Json::array({step});
  };
  TaskPlan plan;
  plan.work_ms = 100000;
  plan.need = {30000, 2048, 1};
  // Two jobs keep 30 of 64 cores of two workers busy.
  std::set<std::string> busy;
  for (const char* rack : {"r1", "r2"}) {
    const std::string id = std::string("bbbbbbbbbbbbbbb") + rack[1];
    Json steps = step(30000, 100000, false);
    steps[0]["dataRack"] = rack;
    if (system.Submit("plans", id, steps, plan) < 0 || !system.AwaitBegun(id, 10000)) {
      return Finish(2, "a job has not begun");
    }
    busy.insert(system.runs.OfJob(id).front().worker);
  }
  if (busy.size() != 2) return Finish(2, "the jobs run on one worker");
  SleepMs(2000);
  if (Trouble()) {
    for (const auto& side : system.sides) {
      if (busy.count(side->worker->id()) == 0) system.Remove(side.get());
    }
  }
  SleepMs(6000);
  const std::string filling = "cccccccccccccccc";
  plan.work_ms = 3000;
  // What the step fills is not counted against a worker's capacity.
  plan.need = {0, 2048, 1};
  const int64_t accepted = system.Submit("background", filling, step(40000, 3000, true), plan);
  if (accepted < 0) return Finish(2, "the filling job was not accepted");
  Say("the traffic ends");
  const int64_t limit = accepted + kFinishMs + 3000;
  while (NowMs() < accepted + 60000) {
    SleepMs(1000);
    if (!system.runs.OfJob(filling).empty()) break;
    Say("the filling job has nothing running; free accelerators: ",
        system.sides[0]->worker->free_gpu(), " and ", system.sides[1]->worker->free_gpu());
    system.Client(*system.entries.front(), "GET", "/background/" + filling);
  }
  const std::vector<Begun> runs = system.runs.OfJob(filling);
  if (runs.empty()) {
    return Finish(1,
                  "the filling job did not begin in 60 s, beside 2 workers with 34 of 64 cores, "
                  "7 of 8 accelerators and nearly all memory free");
  }
  const std::string when = "the filling job began " +
                           std::to_string(runs.front().at_ms - accepted) +
                           " ms after its acknowledgement";
  return Finish(runs.front().at_ms > limit ? 1 : 0, when);
}

}  // namespace

int main(int argc, char** argv) { RunCase(argc, argv, &Run); }
