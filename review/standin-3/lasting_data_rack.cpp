// Case: the worker that runs a task that lasts is lost for good. Its data's rack is full with other
// tasks; another rack has room for it several times over. When does the task run again?
#include "lab.hpp"

using namespace lab;

namespace {

Json Step(int gpu, int64_t estimate_ms, Json more) {
  Json step = {
      {"count", 1}, {"cpu", 6000}, {"memMb", 1024}, {"gpu", gpu}, {"estimateMs", estimate_ms}};
  step.update(more);
  return Json::array({step});
}

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"plans", 1}, {"services", 1}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  system.AddSide("side-1", {"w-1", "a", "r1", "plans", {}, 1500});
  system.AddSide("side-2", {"w-2", "a", "r1", "plans", {}, 1500});
  system.AddSide("side-3", {"w-3", "b", "r2", "plans", {}, 1500});
  system.AddSide("side-4", {"w-4", "b", "r2", "plans", {}, 1500});
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(5000);
  const std::string lasting = "aaaaaaaaaaaaaaaa";
  TaskPlan plan;
  plan.lasting = true;
  plan.need = {6000, 1024, 1};
  const Json steps = Step(1, 60000, {{"longRunning", true}, {"dataRack", "r1"}});
  if (system.Submit("services", lasting, steps, plan) < 0 || !system.AwaitBegun(lasting, 10000)) {
    return Finish(2, "the task that lasts has not begun");
  }
  // Tasks of 100 s fill the rest of the rack r1, and three quarters of r2.
  plan.lasting = false;
  plan.work_ms = 100000;
  std::vector<std::string> ids;
  const auto fill = [&](const std::string& rack, int gpu, int number) {
    plan.need = {6000, 1024, gpu};
    const std::string id = "bbbbbbbbbbbbb" + std::to_string(100 + number);
    ids.push_back(id);
    return system.Submit("plans", id, Step(gpu, 100000, {{"dataRack", rack}}), plan) >= 0 &&
           system.AwaitBegun(id, 10000);
  };
  int number = 0;
  for (int i = 0; i < 15; ++i) {
    if (!fill("r1", 1, ++number)) return Finish(2, "the tasks of rack r1 have not begun");
  }
  for (int i = 0; i < 12; ++i) {
    if (!fill("r2", 1, ++number)) return Finish(2, "the tasks of rack r2 have not begun");
  }
  SleepMs(2000);
  const std::string first = system.runs.OfJob(lasting).front().worker;
  const int64_t lost_at = NowMs();
  if (Trouble()) {
    for (const auto& side : system.sides) {
      if (side->worker->id() == first) system.Remove(side.get());
    }
  }
  int64_t idle_since = -1;
  for (int64_t at = lost_at; at < lost_at + 45000; at += 100) {
    SleepUntil(at);
    const std::vector<Begun> runs = system.runs.OfJob(lasting);
    const Begun& newest = runs.back();
    int64_t room = 0;
    for (const auto& side : system.sides) {
      if (side->worker->id() != first) room += side->worker->free_gpu();
    }
    const bool counts = newest.ended_ms >= 0 && NowMs() >= newest.ended_ms + 6000 && room >= 2;
    if (!counts) {
      idle_since = -1;
    } else if (idle_since < 0) {
      idle_since = NowMs();
      Say("the task that lasts has not run for 6 s; free accelerators: ", room);
    } else if (NowMs() - idle_since > 3000) {
      SleepMs(20000);
      const std::vector<Begun> later = system.runs.OfJob(lasting);
      const bool again = later.size() > runs.size();
      return Finish(1, "the task that lasts had not run for 9 s and more after the loss, with " +
                           std::to_string(room) + " accelerators free for its 1; " +
                           (again ? "it ran again " + std::to_string(later.back().at_ms - lost_at) +
                                        " ms after the loss"
                                  : "nor did it run in the 20 s after that"));
    }
  }
  const Begun last = system.runs.OfJob(lasting).back();
  if (last.ended_ms < 0 && last.at_ms < lost_at) return Finish(0, "the task ran on");
  return Finish(
      0, "the task ran again " + std::to_string(last.at_ms - lost_at) + " ms after the loss");
}

}  // namespace

int main(int argc, char** argv) { RunCase(argc, argv, &Run); }
