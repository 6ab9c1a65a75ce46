// Case: the worker that runs a task that lasts is lost for good. The only other worker has room for
// it seven times over; it runs one long task whose estimate was rough. When does the task that
// lasts run again?
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int64_t kLongMs = 3000000;
constexpr int64_t kEstimateMs = 300000;

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"plans", 1}, {"services", 1}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  system.AddSide("side-1", {"w-1", "a", "r1", "plans", {}, 1500});
  system.AddSide("side-2", {"w-2", "b", "r2", "plans", {}, 1500});
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(3000);
  const std::string lasting = "aaaaaaaaaaaaaaaa";
  const std::string longer = "bbbbbbbbbbbbbbbb";
  const auto step = [](int64_t estimate_ms, bool lasts, const char* rack) {
    Json step = {
        {"count", 1},      {"cpu", 6000}, {"memMb", 1024}, {"gpu", 1}, {"estimateMs", estimate_ms},
        {"dataRack", rack}};
    if (lasts) step["longRunning"] = true;
    return Json::array({step});
  };
  TaskPlan plan;
  plan.need = {6000, 1024, 1};
  plan.work_ms = kLongMs;
  if (system.Submit("plans", longer, step(kEstimateMs, false, "r2"), plan) < 0 ||
      !system.AwaitBegun(longer, 10000)) {
    return Finish(2, "the long task has not begun");
  }
  plan.lasting = true;
  if (system.Submit("services", lasting, step(5000, true, "r1"), plan) < 0 ||
      !system.AwaitBegun(lasting, 10000)) {
    return Finish(2, "the task that lasts has not begun");
  }
  if (system.runs.OfJob(longer).front().worker != "w-2" ||
      system.runs.OfJob(lasting).front().worker != "w-1") {
    return Finish(2, "the tasks run elsewhere");
  }
  // The long task reports its second percent 60 s after its begin; before that, its first for 30 s.
  SleepUntil(system.runs.OfJob(longer).front().at_ms + 46000);
  const int64_t lost_at = NowMs();
  if (Trouble()) system.Remove(system.sides.front().get());
  int64_t idle_since = -1;
  bool broken = false;
  for (int64_t at = lost_at; at < lost_at + 35000; at += 100) {
    SleepUntil(at);
    const Begun newest = system.runs.OfJob(lasting).back();
    const bool counts = newest.ended_ms >= 0 && NowMs() >= newest.ended_ms + 6000 &&
                        system.sides.back()->worker->free_gpu() >= 2;
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
