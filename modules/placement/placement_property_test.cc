// Invariants for any cluster, document and order of events: guarantees can be met, gangs start
// whole, no room is given twice, nothing starts while the zone is out, and every waiting job has a
// reason.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "modules/placement/cell_policy.h"
#include "modules/placement/first_fit.h"
#include "modules/placement/placement_test_support.h"
#include "modules/placement/register_types.h"
#include "servers/planner/zone_room.h"

namespace turmericshift {
namespace {

constexpr int kSettleRounds = 4;
constexpr Duration kStep = std::chrono::seconds(30);

enum class Fault { kNone, kPartialGang, kSameRoomTwice, kIgnoresZone, kNeverBorrows };

// A first-fit policy with one fault that the checks must detect.
class FaultyPolicy : public PlacementPolicy {
 public:
  explicit FaultyPolicy(Fault fault) : fault_(fault) {}

  Plan Decide(const ZoneView& view, Time now) override {
    ZoneView seen = view;
    if (fault_ == Fault::kIgnoresZone) seen.in = true;
    Plan plan = FirstFit().Decide(seen, now);
    for (StartDecision& start : plan.starts) {
      if (fault_ == Fault::kPartialGang && start.tasks.size() > 1) start.tasks.pop_back();
    }
    if (fault_ == Fault::kSameRoomTwice && plan.starts.size() > 1) {
      plan.starts[1].tasks = plan.starts[0].tasks;
    }
    return plan;
  }

 private:
  const Fault fault_;
};

// Drives a planner with generated events.
class Harness {
 public:
  Harness(const Environment& environment, std::unique_ptr<PlacementPolicy> policy)
      : environment_(environment), planner_(PlannerWithWorkers(environment, std::move(policy))) {}

  ZonePlanner& planner() { return *planner_; }

  void Submit(const JobSpec& spec) { planner_->JobAccepted(TestJob(++jobs_, spec), now_); }

  void Step(int event) {
    now_ += kStep;
    const std::vector<RunningJob> running = planner_->view().running;
    if (event % 3 == 0) {
      Submit(TestSpec("ws" + std::to_string(event / 3 % 3), event / 9 % 9, 1 + event / 81 % 4,
                      event / 324 % 64));
    } else if (event % 3 == 1 && !running.empty()) {
      const RunningJob& job = running[event / 3 % running.size()];
      const bool done = event % 2 == 0 && !job.stopping;
      planner_->AttemptEnded(job.id, job.attempt, done ? AttemptEnd::kDone : AttemptEnd::kStopped,
                             now_);
    }
  }

  // Makes a decision, checks its invariants, and ends the attempts that it stops.
  void DecideAndStop() {
    const ZoneView before = planner_->view();
    const Plan plan = planner_->Decide(now_);
    RC_ASSERT(PlanProblem(before, plan) == "");
    for (const WaitingJob& job : planner_->view().waiting) {
      RC_ASSERT(!planner_->WaitReasonFor(job.id).empty());
    }
    for (const StopDecision& stop : plan.stops) {
      planner_->AttemptEnded(stop.job, stop.attempt, AttemptEnd::kStopped, now_);
    }
  }

  // Submits jobs for all unbound cells of every workspace. All of them must start once the stopped
  // attempts have ended, although no other job ends.
  void ClaimAll() {
    for (int round = 0; round < kSettleRounds; ++round) DecideAndStop();
    ZoneRoom room(planner_->view());
    std::vector<std::string> claims;
    for (const auto& [name, workspace] : environment_.workspaces) {
      const int index = room.WorkspaceIndex(name);
      for (int level = kCellLevelCount - 1; level >= 0; --level) {
        for (int cell = 0; cell < room.Unbound(index, static_cast<CellLevel>(level)); ++cell) {
          claims.push_back("job" + std::to_string(jobs_ + 1));
          Submit(ClaimOf(name, static_cast<CellLevel>(level), room.sizes()));
        }
      }
    }
    for (int round = 0; round < kSettleRounds; ++round) DecideAndStop();
    for (const std::string& claim : claims) {
      RC_ASSERT(planner_->WaitReasonFor(claim) == "");
    }
  }

 private:
  static JobSpec ClaimOf(const std::string& workspace, CellLevel level, const CellSizes& sizes) {
    JobSpec spec;
    spec.workspace = workspace;
    spec.urgent = true;
    spec.repeatable = false;
    spec.tasks = level == CellLevel::kRack ? sizes.workers_per_rack() : 1;
    spec.adjacency = level == CellLevel::kRack ? Adjacency::kSameRack : Adjacency::kAny;
    spec.shape = sizes.Shape(std::min(level, CellLevel::kWorker));
    return spec;
  }

  const Environment environment_;
  std::unique_ptr<ZonePlanner> planner_;
  Time now_{};
  int jobs_ = 0;
};

Environment AnyEnvironment() {
  const int workers = *rc::gen::inRange(1, 8);
  const int accelerators = *rc::gen::element(4, 8);
  const auto cells =
      *rc::gen::resize(8, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
  return SmallEnvironment(workers, accelerators, cells);
}

std::unique_ptr<PlacementPolicy> AnyPolicy() {
  RegisterPlacementTypes();
  const auto name = *rc::gen::element<std::string>("cells", "cells", "best_fit", "first_fit");
  return PlacementPolicyRegistry::Instance().Create(name);
}

std::vector<int> AnyEvents() {
  return *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 324 * 64));
}

TEST(PlacementPropertyTest, PlansKeepInvariants) {
  EXPECT_TRUE(rc::check([] {
    Harness run(AnyEnvironment(), AnyPolicy());
    for (const int event : AnyEvents()) {
      run.Step(event);
      run.DecideAndStop();
      RC_ASSERT(GuaranteesHold(run.planner().view()));
    }
  }));
}

// Jobs of other workspaces run on a workspace's guaranteed room when the workspace claims it.
// Guards against guaranteed room that can't be reclaimed.
TEST(PlacementPropertyTest, EveryGuaranteeCanBeClaimed) {
  EXPECT_TRUE(rc::check([] {
    Harness run(AnyEnvironment(), std::make_unique<CellPolicy>());
    for (const int event : AnyEvents()) {
      run.Step(event);
      run.DecideAndStop();
    }
    run.ClaimAll();
  }));
}

// Jobs without accelerators use a cell as well. When the block of such a cell was recomputed at
// each decision, the block moved to accelerators of jobs that had started later, and a workspace
// waited for its guarantee forever. In another fault, jobs on lent room repeatedly started on the
// room that had just been reclaimed for a guarantee.
TEST(PlacementPropertyTest, WorkWithoutAcceleratorsKeepsItsBlock) {
  EXPECT_TRUE(rc::check([] {
    constexpr int kLentJobWithoutAccelerators = 7050;
    constexpr int kGuaranteedJobWithoutAccelerators = 0;
    Harness run(SmallEnvironment(1, 4, {0, 0, 0, 0}), std::make_unique<CellPolicy>());
    for (const int event : {kLentJobWithoutAccelerators, kGuaranteedJobWithoutAccelerators}) {
      run.Step(event);
      run.DecideAndStop();
    }
    run.ClaimAll();
  }));
}

// The planner's own check of plans must reject invalid plans of any policy, even a broken one.
TEST(PlacementPropertyTest, PlannerRejectsFaultyPlans) {
  EXPECT_TRUE(rc::check([] {
    const Fault fault = *rc::gen::element(Fault::kPartialGang, Fault::kSameRoomTwice,
                                          Fault::kIgnoresZone, Fault::kNeverBorrows);
    Environment environment = AnyEnvironment();
    environment.zones[kTestZone].in = *rc::gen::arbitrary<bool>();
    Harness run(environment, std::make_unique<FaultyPolicy>(fault));
    for (const int event : AnyEvents()) {
      run.Step(event);
      run.DecideAndStop();
    }
  }));
}

// The checks above must detect each fault when the planner does not filter the plan.
class InjectedFaultTest : public testing::TestWithParam<std::pair<Fault, std::string>> {};

TEST_P(InjectedFaultTest, IsDetected) {
  const auto& [fault, problem] = GetParam();
  Environment environment = SmallEnvironment(2, 8, {3});
  environment.zones[kTestZone].in = fault != Fault::kIgnoresZone;
  Harness run(environment, std::make_unique<FirstFit>());
  // ws1 has no guarantee, so a job of ws1 that is not marked as borrowed takes the worker that is
  // guaranteed to ws0.
  for (int job = 0; job < 2; ++job) run.Submit(TestSpec("ws1", 4, 2, 1));
  const ZoneView& view = run.planner().view();
  EXPECT_EQ(PlanProblem(view, FaultyPolicy(fault).Decide(view, Time{})), problem);
}

INSTANTIATE_TEST_SUITE_P(
    All, InjectedFaultTest,
    testing::Values(std::pair(Fault::kPartialGang, "starts part of a gang"),
                    std::pair(Fault::kSameRoomTwice, "gives room twice"),
                    std::pair(Fault::kIgnoresZone, "starts a job while the zone is out"),
                    std::pair(Fault::kNeverBorrows, "makes a guarantee impossible to meet")));

}  // namespace
}  // namespace turmericshift
