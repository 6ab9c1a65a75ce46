// A heartbeat of another writer, with a service that no configuration names, reaches the agent of a
// worker that runs two tasks.
#include "world.hpp"

using namespace standin;

int main(int, char** argv) {
  auto* world = new World(argv[1]);
  world->store.Put("keyed.op", "config", Configuration(1));
  AddPool(
      world, 3, "",
      [](const std::string&) {
        return Room{1000, 1024, 1};
      },
      [](const std::string&, const std::string&) {
        Behaviour behaviour;
        behaviour.ends_after_ms = 12000;
        return behaviour;
      });
  if (!world->AwaitReady(25000)) GiveUp(world, "the entries aren't ready");
  SleepMs(2000);
  const std::string job = "00000000000000a0";
  const std::string body =
      R"({"spec":"plan","steps":[{"count":2,"cpu":1000,"memMb":1024,"gpu":1,"estimateMs":12000}]})";
  if (!world->Submit("/p1/" + job, body)) GiveUp(world, "a job wasn't accepted");
  SleepMs(3000);
  const std::vector<Run> begun = world->runs.all();
  if (begun.size() != 2) GiveUp(world, "the tasks don't run");
  size_t number = 0;
  while (world->workers[number]->options().id != begun[0].worker) ++number;
  if (Troubled()) {
    Json beat = world->workers[number]->Announcement();
    beat["service"] = "another";
    beat["born"] = WallMs();
    beat["seq"] = 1;
    const Response answer =
        Call(world->agent_ports[number], "PUT", "/turmericshift/instances/i-another", "Host: a\r\n",
             beat.dump(), 1000);
    world->record.Note(
        "heartbeat of another writer, PUT /turmericshift/instances/i-another at the "
        "agent of " +
        begun[0].worker + ": " + beat.dump() + " -> " + std::to_string(answer.status));
  }
  SleepMs(20000);
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
