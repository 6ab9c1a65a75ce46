// The service for advice takes the time that the queue's configuration states.
#include "world.hpp"

using namespace standin;

int main(int, char** argv) {
  const int64_t decide_ms = Troubled() ? 1000 : 100;
  const int64_t each_ms = Troubled() ? 400 : 20;
  constexpr int64_t kValidMs = 5000;
  auto* world = new World(argv[1]);
  std::mutex turn;
  std::atomic<int> waiting{0};
  const Server advice([&](const Request& request) -> Response {
    const Json body = Json::parse(request.body);
    if (waiting >= 32) return {429, "{}"};
    ++waiting;
    const std::lock_guard<std::mutex> lock(turn);
    world->record.Note("advice asked: " + request.body);
    SleepMs(decide_ms + each_ms * static_cast<int64_t>(body["workers"].size()));
    Json good = Json::array();
    for (const Json& id : body["workers"]) {
      good.push_back(Json::array({id, "ticket-" + id.get<std::string>()}));
    }
    --waiting;
    world->record.Note("advice answered: " + good.dump());
    return {200, Json({{"good", good}, {"validMs", kValidMs}}).dump()};
  });
  Json document = Json::parse(Configuration(1));
  document["routes"][1]["advice"] = {
      {"decideMs", decide_ms}, {"eachMs", each_ms}, {"validMs", kValidMs}};
  world->store.Put("keyed.op", "config", document.dump());
  AddPool(
      world, 3, "[advice]\naddress = 127.0.0.1:" + std::to_string(advice.port()) + "\n",
      [](const std::string&) {
        return Room{1000, 1024, 1};
      },
      [](const std::string&, const std::string&) {
        Behaviour behaviour;
        behaviour.ends_after_ms = 1000;
        return behaviour;
      });
  if (!world->AwaitReady(25000)) GiveUp(world, "the entries aren't ready");
  SleepMs(2000);
  const std::string job = "00000000000000a0";
  const std::string body =
      R"({"spec":"plan","steps":[{"count":2,"cpu":1000,"memMb":1024,"gpu":1,"estimateMs":1000}]})";
  if (!world->Submit("/p1/" + job, body)) GiveUp(world, "a job wasn't accepted");
  // Long after the advice and the ticket, with all workers empty.
  SleepMs(40000);
  const Response state = world->Client(0, "GET", "/p1/" + job);
  const bool lost = world->runs.all().empty();
  Finish(world, {lost ? "LOST: the job has had nothing running for 40 s, with all workers empty; "
                        "its state is " +
                            state.body
                      : ""});
}
