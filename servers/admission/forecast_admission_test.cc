#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "servers/admission/admission_policy.h"

namespace turmericshift::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(std::chrono::hours(1));
constexpr double kAccelerators = 100;

// A pool of 100 accelerators whose planner has been active for long.
PoolLoad Pool() {
  PoolLoad load;
  load.at = kNow;
  load.capacity = {1000, kAccelerators};
  load.planner_age = std::chrono::minutes(1);
  load.known_agents = 1;
  return load;
}

// Accepted work that takes the whole pool `pool_seconds`.
void AddWork(const std::string& workspace, int priority, double pool_seconds, PoolLoad* load) {
  load->workspaces[workspace].by_priority[priority] += {0, pool_seconds * kAccelerators};
}

// A job that is due after 4 s, worthless after 12 s, and takes the whole pool 0.5 s.
AdmissionRequest Job(const std::string& id, const std::string& workspace, int priority = 0) {
  AdmissionRequest request;
  request.id = id;
  request.workspace = workspace;
  request.service = "plans";
  request.priority = priority;
  request.work = {0, kAccelerators / 2};
  request.accelerators = 20;
  request.critical_path = seconds(2);
  request.until_due = seconds(4);
  request.until_worthless = seconds(12);
  request.has_free_room = [] { return false; };
  return request;
}

std::optional<Refusal> Decide(const AdmissionRequest& request, const PoolLoad& load,
                              Time now = kNow) {
  return MakeForecastAdmission()->Decide(request, load, now);
}

// Jobs that could still end in time would be refused.
TEST(ForecastAdmission, RefusesOnlyWhatWouldBeWorthless) {
  PoolLoad load = Pool();
  AddWork("a", 0, 9.9, &load);
  EXPECT_FALSE(Decide(Job("j", "a"), load));
  AddWork("a", 0, 0.2, &load);
  const std::optional<Refusal> refusal = Decide(Job("j", "a"), load);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kWorkspaceOverloaded);
}

// The caller that overloads the pool would get the jobs of all others refused.
TEST(ForecastAdmission, RefusesOnlyTheWorkspaceThatCausesTheOverload) {
  PoolLoad load = Pool();
  AddWork("flood", 0, 40, &load);
  AddWork("small", 0, 1, &load);
  AddWork("other", 0, 1, &load);
  const std::optional<Refusal> refusal = Decide(Job("j", "flood"), load);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kWorkspaceOverloaded);
  EXPECT_FALSE(Decide(Job("j", "small"), load));
  EXPECT_FALSE(Decide(Job("j", "new"), load));
}

// Jobs that could be on time would be refused for jobs that are lost already and that the planner
// starts after them, as long as any of those are left.
TEST(ForecastAdmission, OverdueWorkIsNotAhead) {
  PoolLoad load = Pool();
  AddWork("a", 0, 40, &load);
  load.workspaces["a"].overdue[0] = {0, 35 * kAccelerators};
  EXPECT_FALSE(Decide(Job("j", "a"), load));
  // A less urgent job waits for them.
  EXPECT_TRUE(Decide(Job("j", "a", 1), load));
}

// Work of one priority would be refused for work that starts only after it.
TEST(ForecastAdmission, LessUrgentWorkIsNotAhead) {
  PoolLoad load = Pool();
  for (const char* workspace : {"a", "b"}) AddWork(workspace, 1, 20, &load);
  EXPECT_FALSE(Decide(Job("j", "a", 0), load));
  const std::optional<Refusal> refusal = Decide(Job("j", "a", 1), load);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kPoolOverloaded);
}

// An accelerator-bound pool has idle cores; with both in one sum, its backlog would look half.
TEST(ForecastAdmission, ForecastsByTheScarcestResource) {
  PoolLoad load = Pool();
  load.capacity = {10'000, kAccelerators};
  AddWork("a", 0, 11, &load);
  EXPECT_TRUE(Decide(Job("j", "a"), load));
}

// A caller with idle workers before its eyes, or a contract, would be refused.
TEST(ForecastAdmission, NeverRefusesWhatIsFreeGuaranteedOrScheduled) {
  PoolLoad load = Pool();
  AddWork("a", 0, 40, &load);
  AdmissionRequest free = Job("j", "a");
  free.has_free_room = [] { return true; };
  EXPECT_FALSE(Decide(free, load));
  AdmissionRequest scheduled = Job("j", "a");
  scheduled.exempt = true;
  EXPECT_FALSE(Decide(scheduled, load));
  load.workspaces["a"].guaranteed_accelerators = 40;
  load.workspaces["a"].urgent_accelerators = 20;
  EXPECT_FALSE(Decide(Job("j", "a"), load));
  load.workspaces["a"].urgent_accelerators = 21;
  EXPECT_TRUE(Decide(Job("j", "a"), load));
  load.workspaces["a"].urgent_accelerators = 0;
  AddWork("a", 1, 40, &load);
  EXPECT_TRUE(Decide(Job("j", "a", 1), load));
}

// A planner that has just taken over, or does not hear its agents, would refuse jobs for a load
// that it does not know; as would one whose store has not answered for a while.
TEST(ForecastAdmission, RefusesNothingWithoutKnowledgeOfThePool) {
  PoolLoad load = Pool();
  AddWork("a", 0, 40, &load);
  ASSERT_TRUE(Decide(Job("j", "a"), load));
  load.planner_age = milliseconds(4999);
  EXPECT_FALSE(Decide(Job("j", "a"), load));
  load = Pool();
  AddWork("a", 0, 40, &load);
  load.known_agents = 0.89;
  EXPECT_FALSE(Decide(Job("j", "a"), load));
  load.known_agents = 0.9;
  EXPECT_TRUE(Decide(Job("j", "a"), load));
  EXPECT_FALSE(Decide(Job("j", "a"), load, kNow + milliseconds(2001)));
  load.capacity = {};
  EXPECT_FALSE(Decide(Job("j", "a"), load));
}

// The pool works on while the load is not computed anew; jobs would be refused for work that is
// done.
TEST(ForecastAdmission, DeductsTheAgeOfTheLoad) {
  PoolLoad load = Pool();
  AddWork("a", 0, 10.2, &load);
  EXPECT_TRUE(Decide(Job("j", "a"), load, kNow + milliseconds(100)));
  EXPECT_FALSE(Decide(Job("j", "a"), load, kNow + milliseconds(300)));
}

// Callers that are refused at the same moment would return as a wave, and late ones first.
TEST(ForecastAdmission, ReturnsFollowUrgencyThenFirstRefusal) {
  PoolLoad load = Pool();
  for (const char* workspace : {"a", "b", "c"}) AddWork(workspace, 0, 10, &load);
  const std::unique_ptr<AdmissionPolicy> policy = MakeForecastAdmission();
  const auto refuse = [&](const std::string& id, int priority) {
    const std::optional<Refusal> refusal = policy->Decide(Job(id, "a", priority), load, kNow);
    EXPECT_TRUE(refusal) << id;
    return refusal ? refusal->retry_after : Duration::zero();
  };
  // The work ahead takes 30 s; that of one job 0.5 s, and with the margin 0.55 s.
  EXPECT_EQ(refuse("batch", 1), seconds(30));
  EXPECT_EQ(refuse("urgent1", 0), seconds(30));
  EXPECT_EQ(refuse("urgent2", 0), milliseconds(30'550));
  EXPECT_EQ(refuse("batch", 1), milliseconds(31'100));
  EXPECT_EQ(refuse("urgent1", 0), seconds(30));
}

// A job that was submitted in vain for long would be accepted although it has no value left.
TEST(ForecastAdmission, CountsFromTheFirstSubmission) {
  PoolLoad full = Pool();
  AddWork("a", 0, 11, &full);
  const std::unique_ptr<AdmissionPolicy> policy = MakeForecastAdmission();
  ASSERT_TRUE(policy->Decide(Job("j", "a"), full, kNow));
  PoolLoad less = Pool();
  less.at = kNow + seconds(5);
  AddWork("a", 0, 6, &less);
  EXPECT_TRUE(policy->Decide(Job("j", "a"), less, less.at));
  EXPECT_FALSE(policy->Decide(Job("other", "a"), less, less.at));
}

// A job that was refused once would be refused for ever, also when the pool is nearly idle.
TEST(ForecastAdmission, AdmitsAReturningJobOnceThePoolServesInTime) {
  PoolLoad full = Pool();
  AddWork("a", 0, 11, &full);
  const std::unique_ptr<AdmissionPolicy> policy = MakeForecastAdmission();
  const std::optional<Refusal> refusal = policy->Decide(Job("j", "a"), full, kNow);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(policy->refused_jobs(), 1U);
  PoolLoad later = Pool();
  later.at = kNow + refusal->retry_after;
  AddWork("a", 0, 2, &later);
  EXPECT_FALSE(policy->Decide(Job("j", "a"), later, later.at));
  EXPECT_EQ(policy->refused_jobs(), 0U);
}

// Accepted work of a workspace that operators removed still occupies the pool.
TEST(ForecastAdmission, CountsWorkOfARemovedWorkspace) {
  PoolLoad load = Pool();
  AddWork("removed", 0, 30, &load);
  AddWork("a", 0, 30, &load);
  const std::optional<Refusal> refusal = Decide(Job("j", "a"), load);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kPoolOverloaded);
}

// The mechanism is switched off, and jobs would still be refused.
TEST(AdmitAll, NeverRefuses) {
  PoolLoad load = Pool();
  AddWork("a", 0, 1000, &load);
  EXPECT_FALSE(MakeAdmitAll()->Decide(Job("j", "a"), load, kNow));
  EXPECT_FALSE(MakeAdmitAll()->needs_load());
}

}  // namespace
}  // namespace turmericshift::admission
