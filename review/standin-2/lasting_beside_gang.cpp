// A gang waits for three whole workers, which tasks that last keep from being free. One of these
// tasks then fails, once, and has to be started again.
#include "world.hpp"

using namespace standin;

namespace {

const std::string kLasting = "00000000000000a0";
const std::string kGang = "00000000000000b0";
const std::string kFailing = kLasting + ".0.0.0";

Room NeedOf(const std::string& task) {
  return task.rfind(kGang, 0) == 0 ? Room{8000, 8192, 8} : Room{1000, 1024, 1};
}

}  // namespace

int main(int, char** argv) {
  auto* world = new World(argv[1]);
  world->store.Put("keyed.op", "config", Configuration(1));
  // The time at which the task's first run fails; set once, before that run begins.
  std::atomic<bool> failed_before{!Troubled()};
  AddPool(world, 3, "", NeedOf, [&](const std::string& task, const std::string&) {
    Behaviour behaviour;
    behaviour.lasts = true;
    if (task == kFailing && !failed_before.exchange(true)) {
      behaviour.ends_after_ms = 8000;
      behaviour.how = "failed";
    }
    return behaviour;
  });
  if (!world->AwaitReady(25000)) GiveUp(world, "the entries aren't ready");
  SleepMs(2000);
  const std::string lasting =
      R"({"spec":"serve","steps":[{"count":3,"cpu":1000,"memMb":1024,"gpu":1,"longRunning":true,)"
      R"("antiAffinity":1,"estimateMs":600000}]})";
  const std::string gang =
      R"({"spec":"plan","steps":[{"count":3,"cpu":8000,"memMb":8192,"gpu":8,"gang":true,)"
      R"("estimateMs":60000}]})";
  if (!world->Submit("/p1/" + kLasting, lasting)) GiveUp(world, "a job wasn't accepted");
  SleepMs(3000);
  if (world->runs.all().size() != 3) GiveUp(world, "the tasks that last don't run");
  if (!world->Submit("/p1/" + kGang, gang)) GiveUp(world, "a job wasn't accepted");
  const int64_t from = SteadyMs();
  SleepMs(45000);
  const int64_t until = SteadyMs();
  std::vector<std::string> broken;
  for (int index = 0; index < 3; ++index) {
    broken.push_back(ForgottenTask(world->runs.all(), kLasting + ".0.0." + std::to_string(index),
                                   {64000, 131072, 8}, {"i-0", "i-1", "i-2"}, NeedOf, from, until));
  }
  world->Client(0, "GET", "/p1/" + kLasting);
  Finish(world, broken);
}
