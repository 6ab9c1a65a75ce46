// A worker loses power and starts again under its id, and its agent is cut off a moment later. A
// task that was started in between runs on under a lease of which nobody knows.
#include "world.hpp"

using namespace standin;

namespace {

const std::string kFirst = "00000000000000a0";
const std::string kSecond = "00000000000000a1";

std::string JobOf(int64_t estimate_ms) {
  return R"({"spec":"plan","steps":[{"count":1,"cpu":1000,"memMb":1024,"gpu":1,"estimateMs":)" +
         std::to_string(estimate_ms) + "}]}";
}

}  // namespace

int main(int, char** argv) {
  constexpr int64_t kFirstHeartbeatMs = 1000;
  constexpr int64_t kCutMs = 5500;
  auto* world = new World(argv[1]);
  world->cut_off = "agent-m-0";
  world->store.Put("keyed.op", "config", Configuration(1));
  AddPool(
      world, 3, "",
      [](const std::string&) {
        return Room{1000, 1024, 1};
      },
      [](const std::string& task, const std::string&) {
        Behaviour behaviour;
        behaviour.ends_after_ms = task.rfind(kFirst, 0) == 0 ? 60000 : 20000;
        return behaviour;
      });
  if (!world->AwaitReady(25000)) GiveUp(world, "the entries aren't ready");
  SleepMs(8000);
  if (!world->Submit("/p1/" + kFirst, JobOf(60000))) GiveUp(world, "a job wasn't accepted");
  SleepMs(2000);
  const std::vector<Run> begun = world->runs.all();
  if (begun.size() != 1 || begun[0].worker != "i-0")
    GiveUp(world, "not on the worker that was meant");
  if (Troubled()) world->workers[0]->Restart(kFirstHeartbeatMs);
  SleepMs(300);
  if (!world->Submit("/p1/" + kSecond, JobOf(20000))) GiveUp(world, "a job wasn't accepted");
  SleepMs(400);
  if (Troubled()) {
    world->SetCut(true);
    SleepMs(kCutMs);
    world->SetCut(false);
  }
  SleepMs(30000);
  std::vector<std::string> broken;
  const std::vector<Run> runs = world->runs.all();
  for (const Run& one : runs) {
    for (const Run& other : runs) {
      if (one.task != other.task || one.number >= other.number) continue;
      if (one.ended_ms >= 0 && one.ended_ms <= other.begun_ms) continue;
      broken.push_back("TWICE: " + one.task + " runs on " + one.worker + " and on " + other.worker +
                       " at the same time, for " + std::to_string(one.ended_ms - other.begun_ms) +
                       " ms");
    }
  }
  Finish(world, broken);
}
