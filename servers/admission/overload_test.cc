// Load patterns of overloaded pools, replayed in simulated time with whole planners.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A planner refuses nothing before.
constexpr Duration kPlannerKnowsPool = seconds(6);
// With the sample queues, a job of 2 s is due after 7 s and worthless after 21 s.
constexpr Duration kWorthless = seconds(21);

// A sixth of the pool of two racks for 2 s.
JobSpec SmallJob(const std::string& id, const std::string& workspace,
                 const std::string& queue = "urgent") {
  return SampleJob(id, queue, workspace, SampleStep(8, 1, seconds(2)));
}

struct Burst {
  int accepted = 0;
  std::map<std::string, Duration> refused;
};

Burst SubmitBurst(PoolSimulation* simulation, const std::string& workspace, int jobs) {
  Burst burst;
  for (int i = 0; i < jobs; ++i) {
    const std::string id = workspace + std::to_string(i);
    const std::optional<Error> refusal = simulation->TrySubmit(SmallJob(id, workspace));
    burst.accepted += !refusal;
    if (!refusal) continue;
    EXPECT_EQ(refusal->kind(), ErrorKind::kOverloaded);
    EXPECT_EQ(refusal->outcome(), Outcome::kNotRun);
    burst.refused[id] = refusal->retry_after().value_or(Duration::zero());
  }
  return burst;
}

// Jobs of the workspace that end while they have a value for their callers.
int EndedInTime(PoolSimulation* simulation, const std::string& workspace, int jobs) {
  simulation->RunFor(kWorthless);
  int in_time = 0;
  for (int i = 0; i < jobs; ++i) {
    const std::string id = workspace + std::to_string(i);
    if (simulation->job_table().Find(id) == nullptr) continue;
    in_time += simulation->StateOf(id) == JobState::kCompleted;
  }
  return in_time;
}

// One workspace submits twice what the pool can do. Its own surplus is refused at once, nearly all
// that was accepted ends in time, and the jobs of others are accepted.
TEST(Overload, RefusesTheSurplusOfTheWorkspaceThatCausesIt) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  const Burst flood = SubmitBurst(&simulation, "one", 120);
  EXPECT_GE(flood.accepted, 50);
  EXPECT_LE(flood.accepted, 66);
  EXPECT_EQ(SubmitBurst(&simulation, "two", 10).refused.size(), 0U);
  EXPECT_GE(EndedInTime(&simulation, "one", 120), flood.accepted - 10);
  EXPECT_TRUE(simulation.violations().empty());
}

// The same load with the mechanism off shows that the test above replays what it says: half of the
// jobs that were accepted are worthless.
TEST(Overload, WithoutAdmissionAcceptsWorthlessJobs) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0), {}, nullptr,
                            {Mechanism::kAdmission});
  simulation.RunFor(kPlannerKnowsPool);
  EXPECT_EQ(SubmitBurst(&simulation, "one", 120).accepted, 120);
  EXPECT_LE(EndedInTime(&simulation, "one", 120), 70);
}

// All workspaces submit too much. Less urgent jobs would be accepted, or told to return, before
// urgent ones; and one workspace would be blamed for all.
TEST(Overload, UrgentJobsReturnFirstIfAllWorkspacesCauseIt) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  std::map<std::string, std::vector<Duration>> times;
  for (const std::string queue : {"batch", "urgent"}) {
    for (int i = 0; i < 160; ++i) {
      const std::string workspace = i % 2 == 0 ? "one" : "two";
      const std::string id = queue + std::to_string(i);
      const std::optional<Error> refusal = simulation.TrySubmit(SmallJob(id, workspace, queue));
      if (!refusal) continue;
      EXPECT_STREQ(refusal->what(), "refused for load: pool_overloaded");
      times[queue].push_back(refusal->retry_after().value_or(Duration::zero()));
    }
  }
  ASSERT_GE(times["batch"].size(), 90U);
  ASSERT_GE(times["urgent"].size(), 90U);
  EXPECT_TRUE(std::is_sorted(times["urgent"].begin(), times["urgent"].end()));
  // A batch job that asks again is told a time after all urgent ones.
  const std::optional<Error> batch = simulation.TrySubmit(SmallJob("batch159", "two", "batch"));
  ASSERT_TRUE(batch);
  EXPECT_GT(batch->retry_after(), times["urgent"].back());
}

// Submissions over several rounds: jobs that were accepted before the newest load was computed, and
// those that run, would be counted twice or not at all.
TEST(Overload, CountsWaitingAndRunningWorkOnce) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  int accepted = 0;
  for (int i = 0; i < 180; ++i) {
    accepted += !simulation.TrySubmit(SmallJob("j" + std::to_string(i), "one"));
    simulation.RunFor(milliseconds(25));
  }
  // 57 jobs are ahead at most, and 3 a second end.
  EXPECT_GE(accepted, 62);
  EXPECT_LE(accepted, 78);
}

// The rest of a burst that can only end late would have new jobs refused, which the planner starts
// before it.
TEST(Overload, OverdueJobsDoNotDelayNewOnes) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  SubmitBurst(&simulation, "one", 120);
  // 13 s of work are left of the burst. Its jobs are due after 7 s and take 2 s.
  simulation.RunFor(seconds(6));
  int accepted = 0;
  for (int i = 0; i < 60; ++i) {
    accepted += !simulation.TrySubmit(SmallJob("new" + std::to_string(i), "one"));
  }
  EXPECT_GE(accepted, 50);
}

// Callers that return when they are told to would come back as a wave, again and again.
TEST(Overload, RefusedCallersReturnOneAfterTheOther) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  const Burst flood = SubmitBurst(&simulation, "one", 120);
  std::multimap<Time, std::string> returns;
  for (const auto& [id, after] : flood.refused) returns.emplace(simulation.now() + after, id);
  std::map<int64_t, int> calls_by_second;
  int calls = 0;
  const Time end = simulation.now() + seconds(90);
  while (!returns.empty() && simulation.now() < end) {
    const auto next = returns.begin();
    if (simulation.now() < next->first) {
      simulation.RunFor(next->first - simulation.now());
      continue;
    }
    const std::string id = next->second;
    returns.erase(next);
    ++calls;
    ++calls_by_second[simulation.now().time_since_epoch() / seconds(1)];
    const std::optional<Error> refusal = simulation.TrySubmit(SmallJob(id, "one"));
    if (refusal) returns.emplace(simulation.now() + *refusal->retry_after(), id);
  }
  EXPECT_TRUE(returns.empty());
  EXPECT_LE(calls, 2 * static_cast<int>(flood.refused.size()));
  for (const auto& [second, count] : calls_by_second) EXPECT_LE(count, 6) << second;
}

// A pool with free workers would refuse jobs because of the work of others that run.
TEST(Overload, NeverRefusesWhileRoomIsFree) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  simulation.Submit(SampleJob("long", "urgent", "one", SampleStep(32, 1, seconds(600))));
  simulation.RunFor(seconds(2));
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(simulation.TrySubmit(SmallJob("j" + std::to_string(i), "one")));
    simulation.RunFor(seconds(3));
  }
}

// A workspace within its guarantee would be refused because others have filled the pool.
TEST(Overload, NeverRefusesWhatAGuaranteeCovers) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(16));
  simulation.RunFor(kPlannerKnowsPool);
  EXPECT_GT(SubmitBurst(&simulation, "two", 120).refused.size(), 0U);
  EXPECT_FALSE(simulation.TrySubmit(SmallJob("one", "one")));
}

// A caller that repeats its submission of an accepted job would be told that it does not run.
// JobIntake does not ask for known jobs; the schedule of returns must not matter to them either.
TEST(Overload, ReturnedJobIsAcceptedOnlyOnce) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  const Burst flood = SubmitBurst(&simulation, "one", 120);
  ASSERT_GT(flood.refused.size(), 0U);
  const auto& [id, after] = *flood.refused.begin();
  const std::optional<Error> again = simulation.TrySubmit(SmallJob(id, "one"));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->retry_after(), after);
}

// A successor knows neither the runs nor the capacity at first, and would refuse jobs for that.
TEST(Overload, ANewPlannerRefusesNothing) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  SubmitBurst(&simulation, "one", 120);
  simulation.RunFor(seconds(1));
  ASSERT_GT(SubmitBurst(&simulation, "one", 140).refused.size(), 0U);
  ASSERT_TRUE(simulation.TrySubmit(SmallJob("late", "one")));
  simulation.RunFor(milliseconds(100));
  simulation.ReplacePlanner();
  simulation.RunFor(seconds(1));
  EXPECT_FALSE(simulation.TrySubmit(SmallJob("late", "one")));
}

// Agents that are cut off from the planner would make the pool look smaller than it is.
TEST(Overload, APlannerThatHearsTooFewAgentsRefusesNothing) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  SubmitBurst(&simulation, "one", 120);
  ASSERT_TRUE(simulation.TrySubmit(SmallJob("late", "one")));
  simulation.Isolate("w0-0");
  simulation.RunFor(seconds(4));
  EXPECT_FALSE(simulation.TrySubmit(SmallJob("late", "one")));
}

// While the store does not answer, no round is planned, and the load that jobs would be refused for
// is that of long ago.
TEST(Overload, RefusesNothingForAnOldLoad) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(kPlannerKnowsPool);
  SubmitBurst(&simulation, "one", 120);
  ASSERT_TRUE(simulation.TrySubmit(SmallJob("late", "one")));
  simulation.SetStoreDown(true);
  simulation.RunFor(seconds(5));
  EXPECT_FALSE(simulation.TrySubmit(SmallJob("late", "one")));
}

}  // namespace
}  // namespace turmericshift::pool
