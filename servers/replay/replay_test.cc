#include <gtest/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "core/error.h"
#include "servers/replay/expectation_check.h"
#include "servers/replay/guarantee_oracle.h"
#include "servers/replay/replayer.h"
#include "servers/replay/trace_generator.h"

namespace turmericshift {
namespace {

// One zone of two workers with four accelerators each.
constexpr const char* kHeader =
    R"({"trace":1,"until":"1h","document_text":"[environment]\ndeployment = small\n[availability_zone z]\nstate = in\nworkers = 2\nworkers_per_rack = 2\nprocessors_per_worker = 8\nmemory_per_worker = 8GiB\naccelerators_per_worker = 4\n[workspace w]\nguarantee = 1 worker\naccelerator_cap = 8\n"})"
    "\n";

std::string Submit(const std::string& at, const std::string& key, int tasks,
                   const std::string& run_time) {
  return R"({"event":"submit","at":")" + at + R"(","runs":")" + run_time + R"(","job":{"key":")" +
         key + R"(","workspace":"w","accelerators":4,"tasks":)" + std::to_string(tasks) + "}}\n";
}

// Starts each waiting job on the workers that the test's script returns.
class ScriptedPolicy : public PlacementPolicy {
 public:
  using Script = std::function<std::vector<TaskOnWorker>(const WaitingJob&, const ZoneView&)>;
  explicit ScriptedPolicy(Script script) : script_(std::move(script)) {}

  Plan Decide(const ZoneView& view, Time /*now*/) override {
    Plan plan;
    for (const WaitingJob& job : view.waiting) {
      const std::vector<TaskOnWorker> tasks = script_(job, view);
      if (!tasks.empty()) plan.starts.push_back({job.id, job.last_attempt + 1, false, tasks});
    }
    return plan;
  }

 private:
  const Script script_;
};

std::string Register(const std::string& name, const ScriptedPolicy::Script& script) {
  PlacementPolicyRegistry::Instance().Register(
      name, [script] { return std::make_unique<ScriptedPolicy>(script); });
  return name;
}

// Starts the first waiting job, with one task on each worker whose accelerators are all free.
std::string FirstFreeWorker() {
  return Register("test_first_free", [](const WaitingJob& job, const ZoneView& view) {
    std::vector<TaskOnWorker> tasks;
    if (job.id != view.waiting.front().id) return tasks;
    for (const WorkerView& worker : view.workers) {
      if (worker.free_accelerators != 15 || static_cast<int>(tasks.size()) == job.spec.tasks) {
        continue;
      }
      tasks.push_back({static_cast<int>(tasks.size()), worker.name, 15});
    }
    if (static_cast<int>(tasks.size()) < job.spec.tasks) tasks.clear();
    return tasks;
  });
}

// As FirstFreeWorker(), but only on usable workers.
std::string FirstUsableWorker() {
  return Register("test_first_usable", [](const WaitingJob& job, const ZoneView& view) {
    std::vector<TaskOnWorker> tasks;
    if (job.id != view.waiting.front().id) return tasks;
    for (const WorkerView& worker : view.workers) {
      const bool enough = static_cast<int>(tasks.size()) == job.spec.tasks;
      if (enough || !worker.usable || worker.free_accelerators != 15) continue;
      tasks.push_back({static_cast<int>(tasks.size()), worker.name, 15});
    }
    if (static_cast<int>(tasks.size()) < job.spec.tasks) tasks.clear();
    return tasks;
  });
}

ReplayResult ReplayOf(const std::string& text, const std::string& policy) {
  return Replayer(ParseTrace("test", text), policy).Run();
}

bool Holds(const std::string& text, const std::string& policy) {
  const Trace trace = ParseTrace("test", text);
  const ReplayResult result = Replayer(trace, policy).Run();
  return CheckExpectations(trace, result).front().holds;
}

std::string ErrorOf(const std::string& text) {
  try {
    ParseTrace("test", text);
    return "";
  } catch (const Error& error) {
    return error.what();
  }
}

TEST(TraceTest, ErrorsNameTheLine) {
  const std::string header = kHeader;
  EXPECT_EQ(ErrorOf(header), "");
  EXPECT_NE(ErrorOf("").find("test:1: the header"), std::string::npos);
  EXPECT_NE(ErrorOf(header + "{\"event\":").find("test:2:"), std::string::npos);
  EXPECT_NE(ErrorOf(header + "\n{\"event\":\"log_out\",\"at\":\"1s\"}").find("test:3:"),
            std::string::npos);
  EXPECT_NE(ErrorOf(header + R"({"event":"log_down","at":"1s","zone":"z"})").find("unknown field"),
            std::string::npos);
  EXPECT_NE(ErrorOf(header + R"({"event":"log_down"})").find("'at' is missing"), std::string::npos);
  EXPECT_NE(ErrorOf(header + R"({"event":"log_down","at":"soon"})").find("test:2:"),
            std::string::npos);
}

TEST(TraceTest, TimesAreSumsOfDurations) {
  const Trace trace =
      ParseTrace("test", std::string(kHeader) + R"({"event":"log_down","at":"1h30min5s"})");
  EXPECT_EQ(trace.events.front().at, std::chrono::seconds(5405));
}

// The expected values come from a second implementation. If the platform's library chose the
// numbers, a trace that passes here would fail elsewhere.
TEST(TraceTest, GeneratedNumbersAreTheSameEverywhere) {
  TraceRandom random(1);
  EXPECT_DOUBLE_EQ(random.UniformReal(), 0.5665615751722809);
  EXPECT_DOUBLE_EQ(random.UniformReal(), 0.7457817572627011);
}

TEST(ReplayTest, JobsRunForTheirTrueTimeWithinCapacity) {
  const ReplayResult result = ReplayOf(
      kHeader + Submit("1s", "a", 2, "10min") + Submit("2s", "b", 1, "5min"), FirstFreeWorker());
  const ReplayJob& first = result.jobs.at("w/a");
  const ReplayJob& second = result.jobs.at("w/b");
  EXPECT_EQ(first.state, JobState::kDone);
  EXPECT_EQ(*first.ended, std::chrono::seconds(602));
  EXPECT_GE(*second.started, *first.ended);
  EXPECT_EQ(second.state, JobState::kDone);
}

TEST(ReplayTest, ErrorsNameEventsThatDoNotFitTheDocument) {
  try {
    ReplayOf(std::string(kHeader) + R"({"event":"worker_down","at":"1s","worker":"z-9"})",
             FirstFreeWorker());
    FAIL() << "the worker is not in the document";
  } catch (const Error& error) {
    EXPECT_STREQ(error.what(), "test:2: the document has no worker 'z-9'");
  }
}

TEST(ReplayTest, ReplayIsDeterministic) {
  const std::string text =
      std::string(kHeader) +
      R"({"event":"generate","at":"0s","until":"40min","count":30,"prefix":"g","runs":["1min","9min"],"off_by":4,"job":{"workspace":"w","accelerators":4}})";
  EXPECT_EQ(ReplayOf(text, FirstFreeWorker()).lines, ReplayOf(text, FirstFreeWorker()).lines);
}

// The log is down for ten minutes. Submissions during that time are refused as "not run" and
// retried, ends are recorded later, and no job is lost.
TEST(ReplayTest, JobsSurviveALogOutage) {
  const ReplayResult result =
      ReplayOf(kHeader + Submit("1s", "a", 2, "5min") + Submit("6min", "b", 1, "1min") +
                   R"({"event":"log_down","at":"1min"}
{"event":"log_up","at":"11min"})",
               FirstFreeWorker());
  EXPECT_EQ(result.jobs.at("w/a").state, JobState::kDone);
  EXPECT_EQ(*result.jobs.at("w/a").ended, std::chrono::minutes(11));
  EXPECT_EQ(result.jobs.at("w/b").state, JobState::kDone);
  EXPECT_GE(*result.jobs.at("w/b").started, std::chrono::minutes(11));
}

// An entry dies and another one takes over its zone. The running job must be found, not started
// again.
TEST(ReplayTest, ANewPlannerFindsRunningJobs) {
  const ReplayResult result = ReplayOf(
      kHeader + Submit("1s", "a", 1, "5min") + R"({"event":"entry_lost","at":"1min","zone":"z"})",
      FirstFreeWorker());
  EXPECT_EQ(result.jobs.at("w/a").attempts, 1);
  EXPECT_EQ(result.jobs.at("w/a").state, JobState::kDone);
}

// One of two workers fails all tasks that it starts. A job must be retried on the other worker, and
// only a job that fails on every worker has failed.
TEST(ReplayTest, AFailingWorkerDoesNotFailItsJobs) {
  const ReplayResult result = ReplayOf(
      std::string(kHeader) + R"({"event":"worker_fails_all","at":"0s","worker":"z-0"})" + "\n" +
          Submit("1s", "a", 1, "5min") +
          R"({"event":"submit","at":"10min","fails":true,"runs":"1min","job":{"key":"b","workspace":"w","accelerators":4}})",
      FirstUsableWorker());
  EXPECT_EQ(result.jobs.at("w/a").state, JobState::kDone);
  EXPECT_EQ(result.jobs.at("w/a").attempts, 2);
  EXPECT_EQ(result.jobs.at("w/b").state, JobState::kFailed);
}

// A gang loses one of its two workers. The other member runs until its lease expires, so a second
// attempt before that would do the work twice.
TEST(ReplayTest, AGangThatLostAWorkerRestartsAfterTheLease) {
  const std::string text = kHeader + Submit("1s", "a", 2, "20min") +
                           R"({"event":"worker_down","at":"5min","worker":"z-0"}
{"event":"worker_up","at":"5min1s","worker":"z-0"}
)";
  const ReplayResult result = ReplayOf(text, FirstUsableWorker());
  EXPECT_EQ(result.jobs.at("w/a").state, JobState::kDone);
  EXPECT_EQ(result.jobs.at("w/a").attempts, 2);
  EXPECT_TRUE(Holds(text + R"({"expect":"no_two_attempts_at_once"})", FirstUsableWorker()));
}

TEST(ReplayTest, WaitingAndRunningJobsAreCancelled) {
  const ReplayResult result =
      ReplayOf(kHeader + Submit("1s", "a", 2, "5min") + Submit("2s", "b", 1, "5min") +
                   R"({"event":"cancel_wave","at":"1min","prefix":"w/"})",
               FirstFreeWorker());
  EXPECT_EQ(result.jobs.at("w/a").state, JobState::kCancelled);
  EXPECT_EQ(result.jobs.at("w/b").state, JobState::kCancelled);
}

// A policy starts one member of two. The job would compute nothing and use its room forever, so the
// planner must drop the start, and the trace must show that the job never ran.
TEST(ReplayTest, PlannerDropsAPartialGang) {
  const std::string part = Register("test_part", [](const WaitingJob&, const ZoneView&) {
    return std::vector<TaskOnWorker>{{0, "z-0", 15}};
  });
  const std::string text = kHeader + Submit("1s", "a", 2, "50min");
  const std::string whole = R"({"expect":"no_partial_gang"})";
  const std::string started = R"({"expect":"job","job":"w/a","started_before":"1min"})";
  EXPECT_TRUE(Holds(text + whole, part));
  EXPECT_TRUE(Holds(text + started, FirstFreeWorker()));
  EXPECT_FALSE(Holds(text + started, part));
}

// A broken planner releases a partial gang. The lines that the replay records must show it.
TEST(ReplayTest, RecordedLinesShowAPartialGang) {
  const Trace trace = ParseTrace("test", kHeader);
  ReplayPlatform platform(ParseEnvironment("test", trace.document), trace);
  TracedJob job;
  job.spec.tasks = 2;
  job.spec.shape.accelerators = 4;
  job.run_time = std::chrono::minutes(50);
  const Time start(std::chrono::hours(1));
  platform.Start("z", {"w/a", 1, false, {{0, "z-0", 15}}}, job, start);
  ReplayRecorder recorder(start);
  recorder.Write(HistoryEventKind::kGangPlanned, {{"job", "w/a"}, {"attempt", 1}, {"tasks", 2}},
                 start);
  recorder.WriteMembers(HistoryEventKind::kGangReleased, *platform.Attempt({"w/a", 1}), start);
  const Time end = start + std::chrono::minutes(50);
  recorder.WriteMembers(HistoryEventKind::kGangForgotten, *platform.Attempt({"w/a", 1}), end);
  const CheckResult result =
      CheckHistory(recorder.ToHistory("test"), HistoryBounds(), {"no_partial_gang"}).front();
  EXPECT_EQ(result.verdict, CheckVerdict::kViolated);
}

// A policy that never starts some job can still have good mean values. The expectations must detect
// the job.
TEST(ReplayTest, AForgottenJobViolatesExpectations) {
  const std::string idle = Register(
      "test_idle", [](const WaitingJob&, const ZoneView&) { return std::vector<TaskOnWorker>(); });
  const std::string job = kHeader + Submit("1s", "a", 1, "5min");
  const std::string done = R"({"expect":"job","job":"w/a","state":"done","ended_before":"6min"})";
  const std::string open = R"({"expect":"jobs_open","below":1})";
  EXPECT_TRUE(Holds(job + done, FirstFreeWorker()));
  EXPECT_TRUE(Holds(job + open, FirstFreeWorker()));
  EXPECT_FALSE(Holds(job + done, idle));
  EXPECT_FALSE(Holds(job + open, idle));
}

// A planner that has just taken over assigns accelerators that are in use. The workers must refuse.
TEST(ReplayTest, StartsOnOccupiedRoomAreRefused) {
  const Trace trace = ParseTrace("test", kHeader);
  ReplayPlatform platform(ParseEnvironment("test", trace.document), trace);
  TracedJob job;
  job.spec.shape.accelerators = 4;
  job.run_time = std::chrono::minutes(5);
  const StartDecision first = {"w/a", 1, false, {{0, "z-0", 15}}};
  EXPECT_EQ(platform.StartRefusal(first, job.spec), "");
  platform.Start("z", first, job, Time(std::chrono::hours(1)));
  EXPECT_NE(platform.StartRefusal({"w/b", 1, false, {{0, "z-0", 1}}}, job.spec), "");
  EXPECT_NE(platform.StartRefusal({"w/a", 2, false, {{0, "z-0", 15}}}, job.spec), "");
  EXPECT_NE(platform.StartRefusal({"w/c", 1, false, {{0, "z-1", 3}, {1, "z-1", 6}}}, job.spec), "");
  EXPECT_NE(platform.StartRefusal({"w/d", 1, false, {{0, "z-1", 31}}}, job.spec), "");
  EXPECT_EQ(platform.StartRefusal({"w/e", 1, false, {{0, "z-1", 15}}}, job.spec), "");
}

TEST(GuaranteeOracleTest, CoversJobsInOrderUntilTheCellsAreUsed) {
  const Trace trace = ParseTrace("test", kHeader);
  ZoneView view;
  view.zone = "z";
  view.environment = std::make_shared<const Environment>(ParseEnvironment("test", trace.document));
  WaitingJob job;
  job.spec.workspace = "w";
  job.spec.shape = {1, 1 << 20, 2};
  for (const char* id : {"a", "b", "c"}) {
    job.id = id;
    view.waiting.push_back(job);
    ++job.sequence;
  }
  const std::vector<CellCount> cells = {{CellLevel::kWorker, 1}};
  EXPECT_EQ(CoveredJobs(view, "w", cells), (std::set<std::string>{"a", "b"}));
  RunningJob running;
  running.spec = job.spec;
  view.running.push_back(running);
  EXPECT_EQ(CoveredJobs(view, "w", cells), (std::set<std::string>{"a"}));
  // More than the guarantee is running, so nothing is left to claim.
  view.running.push_back(running);
  view.running.push_back(running);
  EXPECT_TRUE(CoveredJobs(view, "w", cells).empty());
}

TEST(FreeRoomTest, RoomCountsAsUsableForAWaitingJobOrAWholeWorker) {
  ZoneView view;
  WorkerView worker;
  worker.name = "a";
  worker.capacity = {8, 8, 4};
  worker.free_processors = 8;
  worker.free_memory_bytes = 8;
  worker.free_accelerators = 15;
  view.workers.push_back(worker);
  worker.name = "b";
  worker.free_accelerators = 3;
  view.workers.push_back(worker);
  EXPECT_EQ(FreeRoomOf(view).free, 6);
  EXPECT_EQ(FreeRoomOf(view).unusable, 2);
  WaitingJob job;
  job.spec.shape = {1, 1, 2};
  view.waiting.push_back(job);
  EXPECT_EQ(FreeRoomOf(view).unusable, 0);
}

}  // namespace
}  // namespace turmericshift
