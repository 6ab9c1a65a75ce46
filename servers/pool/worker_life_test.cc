// Workers that restart, under a new ID or the old one, or are cut off while calls and messages are
// in transit.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kNoViolations;

// Faults that a test sets for the events to come.
class ForcedFaults : public PoolFaults {
 public:
  // Each node's next call of this kind is executed late and not answered.
  void DelayNextCall(const std::vector<std::string>& nodes, WorkerCall call, Duration delay) {
    for (const std::string& node : nodes) next_fates_[{node, call}] = {delay, false};
  }
  // Each node's next call of this kind is lost.
  void LoseNextCall(const std::vector<std::string>& nodes, WorkerCall call) {
    for (const std::string& node : nodes) next_fates_[{node, call}] = {std::nullopt, false};
  }
  // Each node executes its next call of this kind, but the answer is lost.
  void LoseNextAnswer(const std::vector<std::string>& nodes, WorkerCall call) {
    for (const std::string& node : nodes) next_fates_[{node, call}] = {Duration::zero(), false};
  }
  bool HasHappened() const { return next_fates_.empty(); }
  // Cuts the node's agent off from its worker at the next tick.
  void CutOffNode(const std::string& node, Duration time) { next_cuts_[node] = time; }
  // In a cut, workers execute the calls and only their answers are lost.
  void LoseOnlyAnswersInCuts() { fate_in_cut_ = {Duration::zero(), false}; }
  // The worker refuses connections from the next tick on, and runs on.
  void RefuseConnections(const std::string& node, Duration time) { next_refusals_[node] = time; }
  void SetLapseTime(Duration time) { lapse_time_ = time; }
  void SetClockRate(double rate) { clock_rate_ = rate; }
  // Calls of a former incarnation are executed before the first call of an agent that knows the
  // current one.
  void AllowCallsBeforeTheFirst() { calls_before_the_first_ = true; }
  void DelayAnnouncements(Duration delay) { announcement_delay_ = delay; }
  // Workers that restart announce that they have left, and that arrives late.
  void DelayDepartures(Duration delay) { departure_delay_ = delay; }
  // Messages take time from now on; the next exchange takes as long as stated.
  void DelayNextExchange(const ExchangeDelays& delays) {
    slow_ = true;
    next_delays_ = delays;
  }

  CallFate FateOfCall(const std::string& node, WorkerCall call) override {
    const auto found = next_fates_.find({node, call});
    if (found == next_fates_.end()) return {};
    const CallFate fate = found->second;
    next_fates_.erase(found);
    return fate;
  }
  CallFate FateOfCallInCut(const std::string& /*node*/) override { return fate_in_cut_; }
  bool ExchangesTakeTime() override { return slow_; }
  ExchangeDelays DelaysOfExchange(const std::string& /*node*/) override {
    const ExchangeDelays delays = next_delays_.value_or(ExchangeDelays{});
    next_delays_.reset();
    return delays;
  }
  std::optional<Duration> DelayOfAnnouncement(const std::string& /*node*/) override {
    return announcement_delay_;
  }
  std::optional<Duration> DelayOfDeparture(const std::string& /*node*/) override {
    return departure_delay_;
  }
  bool KeepsId(const std::string& /*node*/) override { return true; }
  std::optional<Duration> CutOff(const std::string& node) override {
    const auto found = next_cuts_.find(node);
    if (found == next_cuts_.end()) return std::nullopt;
    const Duration time = found->second;
    next_cuts_.erase(found);
    return time;
  }
  std::optional<Duration> RefusesConnectionsFor(const std::string& node) override {
    const auto found = next_refusals_.find(node);
    if (found == next_refusals_.end()) return std::nullopt;
    const Duration time = found->second;
    next_refusals_.erase(found);
    return time;
  }
  Duration LapseTime(const std::string& /*node*/, Duration /*longest*/) override {
    return lapse_time_;
  }
  double ClockRate(const std::string& /*node*/) override { return clock_rate_; }
  bool ExecutesBeforeTheFirst(const std::string& /*node*/, WorkerCall /*call*/) override {
    return calls_before_the_first_;
  }

 private:
  std::map<std::pair<std::string, WorkerCall>, CallFate> next_fates_;
  std::map<std::string, Duration> next_cuts_;
  std::map<std::string, Duration> next_refusals_;
  Duration lapse_time_{};
  double clock_rate_ = 1.0;
  bool calls_before_the_first_ = false;
  CallFate fate_in_cut_ = {std::nullopt, false};
  std::optional<Duration> announcement_delay_;
  std::optional<Duration> departure_delay_;
  bool slow_ = false;
  std::optional<ExchangeDelays> next_delays_;
};

std::vector<SimulatedWorker> SampleWorkers(size_t count) {
  std::vector<SimulatedWorker> workers = SampleRacks(1);
  workers.resize(count);
  return workers;
}

class WorkerLife : public testing::Test {
 protected:
  void Begin(size_t workers, const PoolBounds& bounds = {}) {
    simulation_ = std::make_unique<PoolSimulation>(SampleWorkers(workers), SampleOperatorState(0),
                                                   bounds, &faults_);
    for (const SimulatedWorker& worker : SampleWorkers(workers)) nodes_.push_back(worker.node);
    simulation_->RunFor(seconds(1));
  }
  void Submit(const std::string& id, Duration run_time) {
    simulation_->Submit(SampleJob(id, "batch", "one", SampleStep(1, 1, run_time)));
  }
  void RestartAll() {
    for (const std::string& node : nodes_) simulation_->RestartWorker(node);
  }

  ForcedFaults faults_;
  std::unique_ptr<PoolSimulation> simulation_;
  std::vector<std::string> nodes_;
};

// The late start fits the new life: same ID, same fence, and a deadline far ahead of its clock.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenTheNextLifeExecutesALateStart) {
  Begin(2);
  faults_.DelayNextCall(nodes_, WorkerCall::kStart, seconds(4));
  Submit("j", seconds(20));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  simulation_->RestartWorker(simulation_->RunsOf("j")[0].node);
  simulation_->RunFor(seconds(5));
  EXPECT_EQ(simulation_->calls_of_former_lives(), 1);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(30)));
}

// The late hold acknowledges ends of the former life, and the new life counts its ends anew.
TEST_F(WorkerLife, ForgetsNoUnreadEndWhenTheNextLifeExecutesALateHold) {
  Begin(1);
  Submit("first", milliseconds(500));
  ASSERT_TRUE(simulation_->RunUntil("first", JobState::kCompleted, seconds(5)));
  simulation_->RunFor(seconds(1));
  faults_.DelayNextCall(nodes_, WorkerCall::kHold, seconds(5));
  simulation_->RunFor(seconds(1));
  ASSERT_TRUE(faults_.HasHappened());
  RestartAll();
  Submit("second", seconds(3));
  simulation_->RunFor(milliseconds(2500));
  faults_.CutOffNode(nodes_[0], seconds(2));
  simulation_->RunFor(milliseconds(2010));
  EXPECT_EQ(simulation_->calls_of_former_lives(), 1);
  EXPECT_TRUE(simulation_->RunUntil("second", JobState::kCompleted, seconds(20)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// By the new life's clock the late hold asks for the longest lease that the worker grants.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenALateHoldExtendsTheLeaseInTheNextLife) {
  Begin(2);
  faults_.DelayNextCall(nodes_, WorkerCall::kHold, seconds(4));
  simulation_->RunFor(milliseconds(500));
  ASSERT_TRUE(faults_.HasHappened());
  RestartAll();
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(3300));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  simulation_->Isolate(simulation_->RunsOf("j")[0].node);
  simulation_->RunFor(seconds(8));
  EXPECT_EQ(simulation_->calls_of_former_lives(), 2);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The new life accepts the start. The announcement that follows tells the planner that all runs of
// the former life are over, before a list shows that this one runs.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenAnAgentStartsItBeforeNoticingTheNextLife) {
  Begin(2);
  faults_.DelayAnnouncements(milliseconds(300));
  faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(nodes_[0]);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(200));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  simulation_->RunFor(seconds(2));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// By the new life's clock the start asks for the longest lease that the worker grants, and
// the planner counts only the shorter one that it grants.
TEST_F(WorkerLife, WaitsForTheLeaseThatTheNextLifeTookFromAnUnawareAgentsStart) {
  Begin(2);
  faults_.DelayAnnouncements(milliseconds(300));
  faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(nodes_[0]);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(200));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  simulation_->Isolate(nodes_[0]);
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The hold acknowledges ends of the former life, among them the number of an end of the new life
// that nobody has read.
TEST_F(WorkerLife, RunsNoTaskAgainWhenAnUnawareAgentAcknowledgesItsEndUnread) {
  Begin(1);
  Submit("first", milliseconds(500));
  ASSERT_TRUE(simulation_->RunUntil("first", JobState::kCompleted, seconds(5)));
  simulation_->RunFor(seconds(1));
  faults_.DelayAnnouncements(seconds(3));
  faults_.LoseNextCall(nodes_, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  RestartAll();
  Submit("second", milliseconds(300));
  simulation_->RunFor(milliseconds(500));
  ASSERT_EQ(simulation_->RunsOf("second").size(), 1U);
  EXPECT_TRUE(simulation_->RunUntil("second", JobState::kCompleted, seconds(10)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The same for a hold that was sent long after the worker had forgotten all ends of before, and
// that the next life executes late, after a start by an unaware agent.
TEST_F(WorkerLife, RunsNoTaskAgainWhenALateHoldRepeatsOldAcknowledgements) {
  faults_.AllowCallsBeforeTheFirst();
  Begin(1);
  Submit("first", milliseconds(500));
  ASSERT_TRUE(simulation_->RunUntil("first", JobState::kCompleted, seconds(5)));
  simulation_->RunFor(seconds(3));
  faults_.DelayAnnouncements(seconds(3));
  faults_.DelayNextCall(nodes_, WorkerCall::kHold, milliseconds(750));
  while (!faults_.HasHappened()) simulation_->RunFor(milliseconds(10));
  RestartAll();
  Submit("second", milliseconds(300));
  simulation_->RunFor(milliseconds(600));
  ASSERT_EQ(simulation_->RunsOf("second").size(), 1U);
  EXPECT_TRUE(simulation_->RunUntil("second", JobState::kCompleted, seconds(10)));
  EXPECT_EQ(simulation_->calls_of_former_lives(), 1);
  EXPECT_EQ(simulation_->RunsOf("second").size(), 1U);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The hold was sent before the worker restarted, and arrives after an agent that has not noticed it
// has started a task there which has ended.
TEST_F(WorkerLife, RunsNoTaskAgainWhenALateHoldAcknowledgesAnEndOfTheNextLifeUnread) {
  Begin(1);
  Submit("first", milliseconds(500));
  ASSERT_TRUE(simulation_->RunUntil("first", JobState::kCompleted, seconds(5)));
  simulation_->RunFor(seconds(1));
  faults_.AllowCallsBeforeTheFirst();
  faults_.DelayAnnouncements(seconds(3));
  faults_.DelayNextCall(nodes_, WorkerCall::kHold, milliseconds(700));
  simulation_->RunFor(milliseconds(60));
  ASSERT_TRUE(faults_.HasHappened());
  RestartAll();
  Submit("second", milliseconds(300));
  simulation_->RunFor(milliseconds(500));
  ASSERT_EQ(simulation_->RunsOf("second").size(), 1U);
  EXPECT_TRUE(simulation_->RunUntil("second", JobState::kCompleted, seconds(10)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The same for the hold that acknowledges the ends of before for the first time.
TEST_F(WorkerLife, RunsNoTaskAgainWhenALateAcknowledgementReachesTheNextLife) {
  faults_.AllowCallsBeforeTheFirst();
  Begin(1);
  Submit("first", milliseconds(500));
  ASSERT_TRUE(simulation_->RunUntil("first", JobState::kCompleted, seconds(5)));
  faults_.DelayAnnouncements(seconds(3));
  faults_.DelayNextCall(nodes_, WorkerCall::kHold, milliseconds(750));
  while (!faults_.HasHappened()) simulation_->RunFor(milliseconds(10));
  RestartAll();
  Submit("second", milliseconds(300));
  simulation_->RunFor(milliseconds(600));
  ASSERT_EQ(simulation_->RunsOf("second").size(), 1U);
  EXPECT_TRUE(simulation_->RunUntil("second", JobState::kCompleted, seconds(10)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The same for a start that was sent again, after lists that were requested since its first attempt
// had shown the former life.
TEST_F(WorkerLife, RunsNoTaskAgainWhenARepeatedStartReachesTheNextLife) {
  Begin(1);
  Submit("first", milliseconds(500));
  ASSERT_TRUE(simulation_->RunUntil("first", JobState::kCompleted, seconds(5)));
  simulation_->RunFor(seconds(1));
  faults_.DelayAnnouncements(seconds(3));
  faults_.LoseNextAnswer(nodes_, WorkerCall::kStart);
  Submit("second", milliseconds(300));
  simulation_->RunFor(milliseconds(150));
  ASSERT_TRUE(faults_.HasHappened());
  faults_.LoseNextCall(nodes_, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(50));
  ASSERT_TRUE(faults_.HasHappened());
  RestartAll();
  EXPECT_TRUE(simulation_->RunUntil("second", JobState::kCompleted, seconds(10)));
  EXPECT_EQ(simulation_->RunsOf("second").size(), 2U);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The answer carries a start for the former life and is read after the new life's first list.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenAnAnswerWithStartsArrivesInTheNextLife) {
  Begin(1);
  faults_.DelayNextExchange({milliseconds(100), milliseconds(600)});
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(200));
  ASSERT_TRUE(simulation_->RunsOf("j").empty());
  RestartAll();
  simulation_->RunFor(seconds(2));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(30)));
}

// Departures name an ID, which both lives share.
TEST_F(WorkerLife, UsesTheNextLifeWhenTheFormerLifesDepartureArrivesLate) {
  Begin(1);
  faults_.DelayDepartures(milliseconds(500));
  RestartAll();
  simulation_->RunFor(seconds(1));
  Submit("j", seconds(1));
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(30)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// An agent that has just started believes the announcement, and the planner takes the former life
// for a restart that ended the runs of the current one.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenANewAgentHearsALateAnnouncementOfAFormerLife) {
  Begin(2);
  faults_.DelayAnnouncements(seconds(3));
  simulation_->RunFor(milliseconds(10));
  faults_.DelayAnnouncements(milliseconds(10));
  simulation_->RunFor(milliseconds(500));
  simulation_->RestartWorker(nodes_[0]);
  simulation_->RunFor(seconds(1));
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(1400));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  faults_.DelayAnnouncements(seconds(10));
  faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
  simulation_->RestartAgent(nodes_[0]);
  simulation_->RunFor(seconds(2));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The agent's holds reach the worker and renew its lease, but no list ever tells the new planner
// what runs there.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenOnlyAnswersOfAWorkerAreLostAcrossPlanners) {
  Begin(2);
  Submit("j", seconds(60));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  faults_.LoseOnlyAnswersInCuts();
  faults_.CutOffNode(simulation_->RunsOf("j")[0].node, seconds(40));
  simulation_->RunFor(milliseconds(10));
  simulation_->ReplacePlanner();
  simulation_->RunFor(seconds(20));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The next life announces itself and never answers a call. The runs of the former life are over,
// and a planner that waited for the next one's lists would never start their tasks again.
TEST_F(WorkerLife, StartsTasksAgainWhenTheNextLifeAnnouncesItselfButNeverAnswers) {
  Begin(2);
  Submit("j", seconds(5));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  simulation_->RestartWorker(node);
  faults_.CutOffNode(node, seconds(300));
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(60)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The agent took an announcement of another writer for a new life of its worker. The planner gave
// up the worker's runs, which went on, and the worker's own announcements were ignored as older.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenAnotherWriterAnnouncesALife) {
  Begin(2);
  Submit("j", seconds(3));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  simulation_->AnnounceAsOtherWriter(node);
  simulation_->RunFor(seconds(4));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 1U);
  EXPECT_EQ(simulation_->planner().workers().at(node).facts.service, "plans");
}

// Another writer announced under the worker's ID that it leaves. The worker got no work for the
// rest of its life.
TEST_F(WorkerLife, KeepsUsingAWorkerThatAnotherWriterSaysIsLeaving) {
  Begin(1);
  simulation_->RunFor(seconds(1));
  simulation_->AnnounceOtherService(nodes_[0]);
  Submit("j", seconds(3));
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(6)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The agent has just started and hears the other writer before its worker.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenANewAgentHearsAnotherWriterFirst) {
  Begin(2);
  Submit("j", seconds(3));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  faults_.DelayAnnouncements(milliseconds(300));
  simulation_->RestartAgent(node);
  simulation_->AnnounceAsOtherWriter(node);
  simulation_->RunFor(seconds(4));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 1U);
}

// The lease is that of the former clock. A planner that is new knows of no former life, and counts
// only the leases that it grants itself.
TEST_F(WorkerLife, WaitsForTheLeaseOfAnUnawareAgentsStartAcrossPlanners) {
  Begin(2);
  faults_.DelayAnnouncements(milliseconds(300));
  faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(nodes_[0]);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(200));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  simulation_->RunFor(milliseconds(100));
  simulation_->ReplacePlanner();
  simulation_->RunFor(milliseconds(600));
  simulation_->Isolate(nodes_[0]);
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The same where the agent reports the start, and the planner hands over before the agent is lost.
// The successor counted only the leases that the former planner had granted.
TEST_F(WorkerLife, WaitsForTheLeaseOfAnUnawareAgentsStartAcrossAHandover) {
  Begin(2);
  faults_.DelayAnnouncements(milliseconds(300));
  faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(nodes_[0]);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(100));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  faults_.CutOffNode(nodes_[0], seconds(20));
  simulation_->RunFor(milliseconds(600));
  simulation_->Isolate(nodes_[0]);
  simulation_->HandOverPlanner();
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 2U);
}

// A hold of the former incarnation's agent takes the longest lease in the next one, before the
// agent learns of the restart. A planner that hears of the worker only afterwards counted only the
// leases that it grants itself.
TEST_F(WorkerLife, WaitsForTheLeaseOfAnUnawareAgentsHoldAcrossAHandover) {
  faults_.DelayAnnouncements(milliseconds(60));
  for (Duration planned{}; planned < seconds(3); planned += milliseconds(100)) {
    Begin(2);
    simulation_->RestartWorker(nodes_[0]);
    simulation_->RunFor(milliseconds(100) + planned);
    simulation_->HandOverPlanner();
    simulation_->RunFor(milliseconds(200));
    Submit("j", seconds(20));
    simulation_->RunFor(milliseconds(200));
    ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
    const std::string node = simulation_->RunsOf("j")[0].node;
    simulation_->Isolate(node);
    simulation_->RunFor(seconds(10));
    EXPECT_EQ(simulation_->violations(), kNoViolations) << Seconds(planned);
    EXPECT_EQ(simulation_->RunsOf("j").size(), 2U) << Seconds(planned) << node;
  }
}

// The next incarnation runs a task that an unaware agent has started, and executes that agent's
// holds, whose answers are lost. Each renews the longest lease; the planner went by the first one.
TEST_F(WorkerLife, WaitsForTheLeasesOfUnansweredHoldsAfterAnUnawareAgentsStart) {
  faults_.DelayAnnouncements(seconds(30));
  Begin(2);
  simulation_->RunFor(seconds(30));
  faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(nodes_[0]);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(100));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  faults_.LoseOnlyAnswersInCuts();
  faults_.CutOffNode(nodes_[0], seconds(20));
  simulation_->RunFor(milliseconds(1900));
  simulation_->Isolate(nodes_[0]);
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 2U);
}

// The same for a hold that was sent before the restart and is executed late, while the agent still
// has not noticed: the agent counts no lease for a hold that is unanswered.
TEST_F(WorkerLife, WaitsForTheLeaseOfALateHoldWhileTheAgentIsUnaware) {
  faults_.DelayAnnouncements(seconds(30));
  faults_.AllowCallsBeforeTheFirst();
  Begin(2);
  simulation_->RunFor(seconds(30));
  faults_.DelayNextCall({nodes_[0]}, WorkerCall::kHold, milliseconds(3000));
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(nodes_[0]);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(100));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[0]);
  faults_.LoseOnlyAnswersInCuts();
  faults_.CutOffNode(nodes_[0], seconds(20));
  simulation_->RunFor(milliseconds(1900));
  simulation_->Isolate(nodes_[0]);
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->calls_of_former_lives(), 1);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 2U);
}

// An attempt to start the run is under way, and the next one was executed. The run is done and its
// end acknowledged before the worker restarts and executes the late attempt.
TEST_F(WorkerLife, RunsNoTaskAgainWhenALateAttemptReachesTheNextLife) {
  faults_.AllowCallsBeforeTheFirst();
  faults_.DelayAnnouncements(seconds(30));
  Begin(1);
  simulation_->RunFor(seconds(30));
  faults_.DelayNextCall(nodes_, WorkerCall::kStart, milliseconds(2500));
  Submit("j", milliseconds(300));
  while (!faults_.HasHappened()) simulation_->RunFor(milliseconds(10));
  simulation_->RunFor(milliseconds(2300));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  faults_.LoseNextCall(nodes_, WorkerCall::kHold);
  simulation_->RunFor(milliseconds(140));
  RestartAll();
  simulation_->RunFor(seconds(2));
  EXPECT_EQ(simulation_->calls_of_former_lives(), 1);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// All attempts to start a run are lost but one, which is late, and the worker has accepted the stop
// that follows. It restarts before it executes the late attempt.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenALateAttemptReachesTheNextLifeAfterAStop) {
  faults_.AllowCallsBeforeTheFirst();
  faults_.DelayAnnouncements(seconds(30));
  for (Duration before{}; before < milliseconds(700); before += milliseconds(100)) {
    nodes_.clear();
    Begin(2);
    simulation_->RunFor(seconds(30));
    faults_.DelayNextCall({nodes_[0]}, WorkerCall::kStart, milliseconds(3500));
    Submit("j", seconds(20));
    while (!faults_.HasHappened()) simulation_->RunFor(milliseconds(10));
    faults_.CutOffNode(nodes_[0], milliseconds(900));
    simulation_->RunFor(milliseconds(2700) + before);
    ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
    ASSERT_EQ(simulation_->RunsOf("j")[0].node, nodes_[1]);
    faults_.LoseNextCall({nodes_[0]}, WorkerCall::kHold);
    simulation_->RunFor(milliseconds(100));
    simulation_->RestartWorker(nodes_[0]);
    simulation_->RunFor(seconds(2));
    EXPECT_EQ(simulation_->violations(), kNoViolations) << Seconds(before);
  }
}

// The planner learned of the restart and heard nothing more until it had given the worker's runs
// up. It forgot the lease that the next incarnation may still take before its lists are read.
TEST_F(WorkerLife, WaitsForTheLeaseOfALateHoldAfterASilence) {
  faults_.DelayAnnouncements(milliseconds(60));
  faults_.AllowCallsBeforeTheFirst();
  Begin(2);
  Submit("first", seconds(60));
  simulation_->RunFor(milliseconds(500));
  ASSERT_EQ(simulation_->RunsOf("first").size(), 1U);
  const std::string node = simulation_->RunsOf("first")[0].node;
  faults_.DelayNextCall({node}, WorkerCall::kHold, milliseconds(9500));
  simulation_->RunFor(milliseconds(100));
  ASSERT_TRUE(faults_.HasHappened());
  simulation_->RestartWorker(node);
  simulation_->RunFor(milliseconds(150));
  faults_.CutOffNode(node, seconds(9));
  simulation_->Isolate(node);
  simulation_->RunFor(seconds(9));
  ASSERT_EQ(simulation_->RunsOf("first").size(), 2U);
  simulation_->Cancel("first");
  simulation_->Heal(node);
  simulation_->RunFor(milliseconds(450));
  ASSERT_EQ(simulation_->calls_of_former_lives(), 1);
  Submit("j", seconds(20));
  simulation_->RunFor(milliseconds(200));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  ASSERT_EQ(simulation_->RunsOf("j")[0].node, node);
  simulation_->Isolate(node);
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 2U);
}

// The agent, which reaches the planner, is refused by a worker that runs on. The planner gave the
// runs up as soon as their lease had expired, while the worker was still ending them.
TEST_F(WorkerLife, RunsNoTaskTwiceWhileAWorkerThatRefusesConnectionsEndsLapsedRuns) {
  PoolBounds bounds;
  bounds.stop = milliseconds(1000);
  faults_.SetLapseTime(bounds.stop);
  Begin(2, bounds);
  Submit("j", seconds(20));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  faults_.RefuseConnections(simulation_->RunsOf("j")[0].node, seconds(20));
  simulation_->RunFor(seconds(8));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 2U);
}

// An agent's first report to a new planner opens the path on which runs are given up by its word,
// so that the first runs of that planner on all workers of a zone ran twice at the same moment.
TEST_F(WorkerLife, RunsNoTaskTwiceOnWorkersThatRefuseConnectionsAfterAPlannerChange) {
  PoolBounds bounds;
  bounds.stop = milliseconds(400);
  faults_.SetLapseTime(bounds.stop);
  faults_.SetClockRate(0.982);
  for (Duration refused_after{}; refused_after < seconds(2); refused_after += milliseconds(20)) {
    Begin(2, bounds);
    simulation_->HandOverPlanner();
    Submit("j", seconds(20));
    simulation_->RunFor(milliseconds(100));
    ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
    simulation_->RunFor(refused_after);
    faults_.RefuseConnections(simulation_->RunsOf("j")[0].node, seconds(20));
    simulation_->RunFor(seconds(8));
    EXPECT_EQ(simulation_->violations(), kNoViolations) << Seconds(refused_after);
    EXPECT_EQ(simulation_->RunsOf("j").size(), 2U) << Seconds(refused_after);
  }
}

// The agent's calls arrive, but it reads no answer. Leases that it computed from the worker's clock
// of long ago ended later than the planner assumed, because that clock is slow.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenTheReadingOfASlowClockIsOld) {
  PoolBounds bounds;
  bounds.stop = milliseconds(400);
  faults_.SetLapseTime(bounds.stop);
  faults_.SetClockRate(0.98);
  faults_.LoseOnlyAnswersInCuts();
  Begin(2, bounds);
  Submit("j", seconds(100));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  faults_.CutOffNode(node, seconds(60));
  simulation_->RunFor(seconds(40));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  simulation_->Isolate(node);
  simulation_->RunFor(seconds(10));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
  EXPECT_EQ(simulation_->RunsOf("j").size(), 2U);
}

// The new process of an agent never reads its worker, which is lost. The planner kept what the
// former process had reported: runs were not given up, and more tasks were placed on the worker.
TEST_F(WorkerLife, StartsTasksElsewhereWhenANewAgentNeverReadsItsWorker) {
  Begin(2);
  Submit("j", seconds(3));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  faults_.RefuseConnections(node, seconds(600));
  simulation_->RunFor(milliseconds(500));
  simulation_->RestartAgent(node);
  simulation_->RunFor(milliseconds(100));
  Submit("next", seconds(1));
  EXPECT_TRUE(simulation_->RunUntil("next", JobState::kCompleted, seconds(3)));
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(12)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The same with a member of a gang on the lost worker, and an agent that is replaced repeatedly.
TEST_F(WorkerLife, StartsAGangElsewhereWhenNewAgentsNeverReadTheWorkerOfAMember) {
  Begin(3);
  StepSpec step = SampleStep(2, 8, seconds(9));
  step.gang = true;
  simulation_->Submit(SampleJob("gang", "batch", "one", step));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("gang").size(), 2U);
  const std::string node = simulation_->RunsOf("gang")[0].node;
  faults_.RefuseConnections(node, seconds(600));
  for (int restart = 0; restart < 4; ++restart) {
    simulation_->RunFor(milliseconds(1200));
    simulation_->RestartAgent(node);
  }
  EXPECT_TRUE(simulation_->RunUntil("gang", JobState::kCompleted, seconds(20)));
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The worker is sound and read again before its lease ends. A planner that gave its runs up at the
// new process's first report would run the task twice.
TEST_F(WorkerLife, KeepsARunWhoseWorkerTheNewAgentReadsBeforeItsLeaseEnds) {
  Begin(2);
  Submit("j", seconds(12));
  simulation_->RunFor(seconds(1));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  faults_.CutOffNode(node, milliseconds(3000));
  simulation_->RunFor(milliseconds(500));
  simulation_->RestartAgent(node);
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(15)));
  EXPECT_EQ(simulation_->RunsOf("j").size(), 1U);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

// The worker is sound and cut off from the new process for any time around the end of its lease.
TEST_F(WorkerLife, RunsNoTaskTwiceWhenANewAgentReadsItsWorkerLate) {
  PoolBounds bounds;
  bounds.stop = milliseconds(400);
  faults_.SetLapseTime(bounds.stop);
  faults_.SetClockRate(0.98);
  for (Duration cut = seconds(3); cut < seconds(14); cut += milliseconds(100)) {
    Begin(2, bounds);
    Submit("j", seconds(20));
    simulation_->RunFor(seconds(1));
    ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
    const std::string node = simulation_->RunsOf("j")[0].node;
    faults_.CutOffNode(node, cut);
    simulation_->RunFor(milliseconds(500));
    simulation_->RestartAgent(node);
    EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(60))) << Seconds(cut);
    EXPECT_EQ(simulation_->violations(), kNoViolations) << Seconds(cut);
  }
}

// A run ends as done while its agent is cut off, and its task is started elsewhere. The end was
// left out when it was read, so that the next step waited for further runs of a task that was done.
TEST_F(WorkerLife, GoesOnWithTheNextStepWhenARunThatWasGivenUpIsDone) {
  Begin(2);
  JobSpec job = SampleJob("j", "batch", "one", SampleStep(1, 1, seconds(6)));
  StepSpec next = SampleStep(1, 1, seconds(1));
  next.after = {0};
  job.steps.push_back(next);
  simulation_->Submit(job);
  simulation_->RunFor(seconds(5));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 1U);
  const std::string node = simulation_->RunsOf("j")[0].node;
  simulation_->Isolate(node);
  simulation_->RunFor(milliseconds(5500));
  ASSERT_EQ(simulation_->RunsOf("j").size(), 2U);
  simulation_->Heal(node);
  EXPECT_TRUE(simulation_->RunUntil("j", JobState::kCompleted, seconds(3)));
  simulation_->RunFor(seconds(2));
  const std::vector<SimulatedRun> runs = simulation_->RunsOf("j");
  ASSERT_EQ(runs.size(), 3U);
  EXPECT_EQ(runs[0].end_kind, EndKind::kDone);
  EXPECT_EQ(runs[1].end_kind, EndKind::kStopped);
  EXPECT_EQ(simulation_->violations(), kNoViolations);
}

}  // namespace
}  // namespace turmericshift::pool
