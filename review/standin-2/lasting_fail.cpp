// Two tasks that last fail at every half second, of two jobs, on three sound workers with nothing
// else to do. Each has to be started again however it ends.
#include "world.hpp"

using namespace standin;

namespace {

// Both tasks need something that fails at each whole tick. A run that began just before one
// outlives it.
constexpr int64_t kTickMs = 500;
constexpr int64_t kShortestRunMs = 250;

Room NeedOf(const std::string&) { return {1000, 1024, 1}; }

int64_t UntilFailure() {
  const int64_t to_tick = kTickMs - SteadyMs() % kTickMs;
  return to_tick >= kShortestRunMs ? to_tick : to_tick + kTickMs;
}

}  // namespace

int main(int, char** argv) {
  const bool troubled = Troubled();
  auto* world = new World(argv[1]);
  world->store.Put("keyed.op", "config", Configuration(1));
  AddPool(world, 3, "", NeedOf, [=](const std::string&, const std::string&) {
    Behaviour behaviour;
    behaviour.lasts = true;
    if (troubled) behaviour.ends_after_ms = UntilFailure();
    behaviour.how = "failed";
    return behaviour;
  });
  if (!world->AwaitReady(25000)) GiveUp(world, "the entries aren't ready");
  SleepMs(2000);
  const std::vector<std::string> jobs = {"00000000000000a0", "00000000000000a1"};
  const int64_t from = SteadyMs();
  for (const std::string& job : jobs) {
    const std::string body =
        R"({"spec":"serve","steps":[{"count":1,"cpu":1000,"memMb":1024,"gpu":1,)"
        R"("longRunning":true,"estimateMs":600000}]})";
    if (!world->Submit("/p1/" + job, body)) GiveUp(world, "a job wasn't accepted");
  }
  SleepMs(60000);
  const int64_t until = SteadyMs();
  std::vector<std::string> broken;
  for (const std::string& job : jobs) {
    broken.push_back(ForgottenTask(world->runs.all(), job + ".0.0.0", {64000, 131072, 8},
                                   {"i-0", "i-1", "i-2"}, NeedOf, from, until));
  }
  Finish(world, broken);
}
