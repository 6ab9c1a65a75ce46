// Case: a machine beside a worker, and its worker, are lost for good. A job is handed in within the
// next two seconds, is accepted and can't begin, since the other worker is full. How many jobs
// wait?
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int64_t kVisibleMs = 3000;
constexpr int64_t kSlackMs = 2000;  // "visible_ms + 2 s"
const std::string kLong = "1111111111111111";
const std::string kWaiting = "2222222222222222";

Json OneStep(int gpu, int64_t estimate_ms) {
  return Json::array(
      {{{"count", 1}, {"cpu", 8000}, {"memMb", 1024}, {"gpu", gpu}, {"estimateMs", estimate_ms}}});
}

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"plans", 1}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  system.AddSide("side-1", {"w-1", "a", "r1", "plans", {}, 1500});
  system.AddSide("side-2", {"w-2", "b", "r2", "plans", {}, 1500});
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(5000);
  // A long job fills one of the workers.
  TaskPlan plan;
  plan.work_ms = 100000;
  plan.need = {8000, 1024, 8};
  if (system.Submit("plans", kLong, OneStep(8, 100000), plan) < 0 ||
      !system.AwaitBegun(kLong, 10000)) {
    return Finish(2, "the long job has not begun");
  }
  SleepMs(3000);
  const std::string full = system.runs.OfJob(kLong).front().worker;
  Side* empty = nullptr;
  for (const auto& side : system.sides) {
    if (side->worker->id() != full) empty = side.get();
  }
  if (Trouble()) system.Remove(empty);
  SleepMs(500);
  plan.work_ms = 60000;
  const int64_t accepted = system.Submit("plans", kWaiting, OneStep(8, 60000), plan);
  if (accepted < 0) return Finish(2, "the second job was not accepted");
  // No disruption since; all entries are in touch and the core is stable.
  int asked = 0;
  int wrong = 0;
  std::string example;
  for (int64_t at = accepted + kVisibleMs + kSlackMs + 1000; at < accepted + 40000; at += 1000) {
    SleepUntil(at);
    const bool begun = !system.runs.OfJob(kWaiting).empty();
    for (const auto& entry : system.entries) {
      const Answer answer = system.Client(*entry, "GET", "/plans/", "", true);
      const Json body = Json::parse(answer.body, nullptr, false);
      if (answer.status != 200 || !body.is_object()) continue;
      const int pending = body.value("pending", -1);
      const std::string state = system.Client(*entry, "GET", "/plans/" + kWaiting, "", true).body;
      Say("client at ", entry->name, ": pending ", pending, ", state of ", kWaiting, " ", state,
          begun ? ", which has begun" : ", which has not begun");
      if (begun) continue;
      ++asked;
      // "under half of the jobs [...] that were accepted over visible_ms + 2 s before and haven't
      // begun": there is one.
      if (2 * pending < 1) {
        ++wrong;
        example = entry->name + " gave pending " + std::to_string(pending) + ", " +
                  std::to_string(at - accepted) + " ms after the acknowledgement";
      }
    }
  }
  if (wrong > 0) {
    return Finish(1, std::to_string(wrong) + " of " + std::to_string(asked) +
                         " answers left the waiting job out; the last: " + example);
  }
  return Finish(0, "of " + std::to_string(asked) + " answers, none left a waiting job out");
}

}  // namespace

int main(int argc, char** argv) { RunCase(argc, argv, &Run); }
