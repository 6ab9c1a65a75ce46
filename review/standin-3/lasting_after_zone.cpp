// Case: a zone is lost for good: the entry that plans, and the machine and worker that run a task
// that lasts. The other workers have room. When does the task run again?
#include "lab.hpp"

using namespace lab;

namespace {

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"plans", 1}, {"services", 1}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  int number = 0;
  for (const char* zone : {"a", "b", "c"}) {
    ++number;
    const std::string n = std::to_string(number);
    system.AddSide("side-" + n, {"w-" + n, zone, "r" + n, "plans", {}, 1500});
  }
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(5000);
  Entry* planner = system.Planner();
  if (planner == nullptr) return Finish(2, "no planner is known");
  Say("the planner is ", planner->name);
  Side* beside = nullptr;
  for (const auto& side : system.sides) {
    if (side->zone == planner->zone) beside = side.get();
  }
  // The task goes to the planner's zone, where its data is.
  std::string rack;
  for (size_t i = 0; i < system.sides.size(); ++i) {
    if (system.sides[i].get() == beside) rack = "r" + std::to_string(i + 1);
  }
  const std::string lasting = "aaaaaaaaaaaaaaaa";
  TaskPlan plan;
  plan.lasting = true;
  plan.need = {6000, 1024, 1};
  const Json steps = Json::array({{{"count", 1},
                                   {"cpu", 6000},
                                   {"memMb", 1024},
                                   {"gpu", 1},
                                   {"estimateMs", 5000},
                                   {"longRunning", true},
                                   {"dataRack", rack}}});
  if (system.Submit("services", lasting, steps, plan) < 0 || !system.AwaitBegun(lasting, 10000)) {
    return Finish(2, "the task that lasts has not begun");
  }
  if (system.runs.OfJob(lasting).front().worker != beside->worker->id()) {
    return Finish(2, "the task runs in another zone");
  }
  SleepMs(5000);
  const int64_t lost_at = NowMs();
  if (Trouble()) {
    Say("zone ", planner->zone, " is lost for good");
    planner->process->Signal(SIGKILL);
    system.Remove(beside);
  }
  int64_t idle_since = -1;
  bool broken = false;
  for (int64_t at = lost_at; at < lost_at + 40000; at += 100) {
    SleepUntil(at);
    const Begun newest = system.runs.OfJob(lasting).back();
    // No disruption since the loss.
    const bool counts = newest.ended_ms >= 0 && NowMs() >= newest.ended_ms + 6000;
    if (!counts) {
      idle_since = -1;
    } else if (idle_since < 0) {
      idle_since = NowMs();
    } else if (NowMs() - idle_since > 3000) {
      broken = true;
    }
  }
  const std::vector<Begun> runs = system.runs.OfJob(lasting);
  const std::string again =
      runs.size() > 1
          ? "it ran again " + std::to_string(runs[1].at_ms - lost_at) + " ms after the loss"
          : "it did not run again";
  if (broken) return Finish(1, "the task that lasts had not run for over 9 s; " + again);
  return Finish(0, Trouble() ? again : "it ran on");
}

}  // namespace

int main(int argc, char** argv) { RunCase(argc, argv, &Run); }
