// Case: a machine beside a worker loses power for a moment. Its agent is back after half a second;
// its worker is lost for good. When does the worker's task run again, and what becomes of jobs that
// are handed in afterwards?
#include "lab.hpp"

using namespace lab;

namespace {

// RULES: finish_s after the end of the traffic, for 3 s.
constexpr int64_t kFinishMs = 14000;

int Run(Deployment* deployment) {
  Deployment& system = *deployment;
  system.Configure(1, {{"plans", 1}});
  for (const char* zone : {"a", "b", "c"}) system.AddEntry(std::string("edge-") + zone, zone);
  int number = 0;
  for (const char* zone : {"a", "b", "c"}) {
    const std::string n = std::to_string(++number);
    system.AddSide("side-" + n, {"w-" + n, zone, "r" + n, "plans", {}, 1500});
  }
  if (!system.AwaitReady(15000)) return Finish(2, "the entries are not ready");
  SleepMs(5000);
  const std::string id = "dddddddddddddddd";
  TaskPlan plan;
  plan.work_ms = 8000;
  plan.need = {6000, 1024, 1};
  const Json steps = Json::array(
      {{{"count", 1}, {"cpu", 6000}, {"memMb", 1024}, {"gpu", 1}, {"estimateMs", 8000}}});
  if (system.Submit("plans", id, steps, plan) < 0 || !system.AwaitBegun(id, 10000)) {
    return Finish(2, "the job has not begun");
  }
  SleepMs(3000);
  const std::string where = system.runs.OfJob(id).front().worker;
  if (Trouble()) {
    for (const auto& side : system.sides) {
      if (side->worker->id() != where) continue;
      Say("machine ", side->name, " loses power for a moment");
      side->agent->Signal(SIGKILL);
      side->worker->Lose();
      SleepMs(500);
      side->agent->Start();
    }
  }
  SleepMs(2000);
  // Five more jobs. Each of the two other workers has room for all of them.
  std::vector<std::string> ids = {id};
  plan.work_ms = 2000;
  for (int i = 0; i < 5; ++i) {
    ids.push_back("eeeeeeeeeeeeeee" + std::to_string(i));
    Json small = steps;
    small[0]["estimateMs"] = 2000;
    if (system.Submit("plans", ids.back(), small, plan) < 0) {
      return Finish(2, "a later job was not accepted");
    }
    SleepMs(200);
  }
  Say("the traffic ends");
  const int64_t ends_at = NowMs();
  std::map<std::string, int64_t> idle_since;
  std::set<std::string> broken;
  while (NowMs() < ends_at + 60000) {
    SleepMs(500);
    bool all_done = true;
    for (const std::string& each : ids) {
      const std::vector<Begun> runs = system.runs.OfJob(each);
      if (!runs.empty() && runs.back().how == "done") continue;
      all_done = false;
      const bool nothing_runs = runs.empty() || runs.back().ended_ms >= 0;
      if (!nothing_runs || NowMs() < ends_at + kFinishMs) {
        idle_since.erase(each);
      } else if (idle_since.try_emplace(each, NowMs()).first->second + 3000 < NowMs()) {
        broken.insert(each);
      }
    }
    if (all_done) break;
  }
  int done = 0;
  for (const std::string& each : ids) {
    const std::vector<Begun> runs = system.runs.OfJob(each);
    done += !runs.empty() && runs.back().how == "done";
    Say("job ", each, ": runs ", runs.size(), ", the last ", runs.empty() ? "" : runs.back().how,
        ", shown as ",
        system.Client(*system.entries.front(), "GET", "/plans/" + each, "", true).body);
  }
  const std::string end = std::to_string(done) + " of 6 accepted jobs were done; " +
                          std::to_string(broken.size()) +
                          " had nothing running for 3 s, 14 s and more after the end of the "
                          "traffic, beside two workers with room for all";
  return Finish(broken.empty() ? 0 : 1, end);
}

}  // namespace

int main(int argc, char** argv) { RunCase(argc, argv, &Run); }
