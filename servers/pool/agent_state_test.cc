#include "servers/pool/agent_state.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

// An agent that knows its worker and obeys planner 1.
struct Agent {
  Agent() : state("n", "a", "first") {
    WorkerAnnouncement announcement;
    announcement.sequence = 1;
    announcement.facts.id = "i";
    announcement.facts.start_time_ms = 1;
    state.HandleAnnouncement(announcement);
    state.SetMember(true);
    state.RaiseEpoch(1);
    Hold(now, {});
  }

  WorkerLists Lists(const std::vector<RunningTask>& running) const {
    WorkerLists lists;
    lists.start_time_ms = 1;
    lists.clock = 1000;
    lists.running = running;
    return lists;
  }
  void Hold(Time sent, const std::vector<RunningTask>& running) {
    state.HandleLists(Lists(running), 1, sent, now);
  }

  AgentOrders Orders() const {
    AgentOrders orders;
    orders.epoch = 1;
    orders.lease = milliseconds(4000);
    orders.start_window = milliseconds(1500);
    orders.worker_start_time_ms = 1;
    return orders;
  }

  bool Reports(const RunId& run, StartOutcome outcome) {
    const std::vector<StartResult> results = state.Report(Duration::zero(), now).results;
    return std::any_of(results.begin(), results.end(), [&](const StartResult& result) {
      return result.run == run && result.outcome == outcome;
    });
  }

  // The call of a start that has just been ordered.
  StartCall Prepared(const RunId& run) {
    state.HandleOrders(Orders(), now, now);
    std::string why;
    const std::optional<StartCall> call =
        state.PrepareStart({run, "", "", ""}, now + milliseconds(1500), &why, now);
    EXPECT_TRUE(call) << why;
    return call.value_or(StartCall());
  }

  Time now = Time(std::chrono::hours(1));
  AgentState state;
};

const RunId kRun = {{"j", 0, 0, 0}, 7};

// Two looks at the worker are under way at once, as when a planner has just been followed, and the
// answers overtake each other: the one that was made first is read last. It lists a run that the
// other has told the end of, and a planner that believed it would take the run for running for
// good: its task never starts again, and the caller waits for a job that nobody works on.
TEST(AgentState, HeedsNoListThatIsOlderThanTheOneItHas) {
  Agent agent;
  WorkerLists newer = agent.Lists({});
  newer.clock = 1010;
  newer.ended = {{1, kRun, EndKind::kStopped, ""}};
  agent.state.HandleLists(newer, 1, agent.now, agent.now);
  WorkerLists older = agent.Lists({{kRun, "", 40}});
  older.clock = 1009;
  agent.state.HandleLists(older, 1, agent.now, agent.now);
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).running.empty());
}

// Both answers were made within one millisecond of the worker's clock, so that it does not tell
// which is the older one; the end does.
TEST(AgentState, BelievesAnEndBeforeAListOfTheSameMoment) {
  Agent agent;
  WorkerLists newer = agent.Lists({});
  newer.ended = {{1, kRun, EndKind::kStopped, ""}};
  agent.state.HandleLists(newer, 1, agent.now, agent.now);
  agent.Hold(agent.now, {{kRun, "", 40}});
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).running.empty());
}

// An answer under the planner before is read after one under the planner that followed it. The
// planner would take the agent for unheard until the next look at the worker, a second later, and
// start nothing that may still run there meanwhile.
TEST(AgentState, GoesOnBeingHeardWhenAnAnswerToThePlannerBeforeComesLate) {
  Agent agent;
  agent.state.RaiseEpoch(2);
  agent.state.HandleLists(agent.Lists({}), 2, agent.now, agent.now);
  agent.state.HandleLists(agent.Lists({}), 1, agent.now, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).epoch, 2);
}

// The planner takes a start back before the agent was told of it, and repeats the stop with every
// answer until it hears what became of the run. Looks at the worker take longer than the planner's
// polls; were each repetition to count as a new stop, no look would ever be late enough to settle
// it, and the task would never start again.
TEST(AgentState, SettlesAStopThatIsRepeatedFasterThanTheWorkerIsLookedAt) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.stops = {kRun};
  Time hold_sent = agent.now;
  bool settled = false;
  for (int poll = 0; poll < 12 && !settled; ++poll) {
    agent.now += milliseconds(500);
    for (const RunId& run : agent.state.HandleOrders(orders, agent.now, agent.now).stops) {
      agent.state.HandleStopAnswer(run, OrderAnswer::kAccepted, agent.now);
    }
    if (poll % 2 == 1) {
      agent.Hold(hold_sent, {});
      hold_sent = agent.now - milliseconds(10);
    }
    settled = agent.Reports(kRun, StartOutcome::kNotRun);
  }
  EXPECT_TRUE(settled);
}

// The worker does not answer a start, and carries it out seconds later or never. Until its lists
// or a stop have settled it, the agent says neither that it runs nor that it does not.
TEST(AgentState, SaysNothingOfAStartWithoutAnAnswerUntilItIsSettled) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  ASSERT_EQ(agent.state.HandleOrders(orders, agent.now, agent.now).starts.size(), 1U);
  agent.state.HandleStartAnswer(kRun, OrderAnswer::kUnanswered);
  agent.Hold(agent.now, {});
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).results.empty());
  EXPECT_EQ(agent.state.UncertainRuns(), std::vector<RunId>{kRun});
  agent.Hold(agent.now, {{kRun, ""}});
  EXPECT_TRUE(agent.Reports(kRun, StartOutcome::kStarted));
}

TEST(AgentState, CarriesAnOrderOutOnceThoughItIsRepeated) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  EXPECT_EQ(agent.state.HandleOrders(orders, agent.now, agent.now).starts.size(), 1U);
  EXPECT_TRUE(agent.state.HandleOrders(orders, agent.now, agent.now).starts.empty());
}

// A planner that has been followed does not know it yet and goes on giving orders.
TEST(AgentState, ObeysNoOlderPlanner) {
  Agent agent;
  agent.state.RaiseEpoch(2);
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  EXPECT_TRUE(agent.state.HandleOrders(orders, agent.now, agent.now).starts.empty());
}

// The VM sleeps between an order and its being carried out, or the planner has been silent since.
TEST(AgentState, StartsNothingThatIsOutOfDateOrWithoutALease) {
  Agent agent;
  const StartOrder order = {kRun, "payload", "", ""};
  std::string why;
  EXPECT_FALSE(agent.state.PrepareStart(order, agent.now + milliseconds(100), &why, agent.now));
  EXPECT_EQ(why, "no lease");
  agent.state.HandleOrders(agent.Orders(), agent.now, agent.now);
  EXPECT_TRUE(agent.state.PrepareStart(order, agent.now + milliseconds(100), &why, agent.now));
  EXPECT_FALSE(agent.state.PrepareStart(order, agent.now, &why, agent.now));
}

TEST(AgentState, StartsNothingOnAWorkerThatLeaves) {
  Agent agent;
  agent.state.HandleOrders(agent.Orders(), agent.now, agent.now);
  WorkerAnnouncement leaving;
  leaving.sequence = 2;
  leaving.facts.id = "i";
  leaving.facts.start_time_ms = 1;
  leaving.facts.draining = true;
  agent.state.HandleAnnouncement(leaving);
  std::string why;
  EXPECT_FALSE(
      agent.state.PrepareStart({kRun, "", "", ""}, agent.now + milliseconds(100), &why, agent.now));
}

// A worker refuses connections: it has not got the lease that a call was to bring. Counted as if it
// had, its tasks would never be taken for over while the agent keeps trying.
TEST(AgentState, CountsNoLeaseThatAWorkerDidNotGet) {
  Agent agent;
  agent.state.HandleOrders(agent.Orders(), agent.now, agent.now);
  const HoldCall call = agent.state.NextHold(Duration::zero(), agent.now);
  ASSERT_TRUE(call.lease_until);
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kNotListening, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lease_left, Duration::zero());
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kUnanswered, agent.now);
  EXPECT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(3900));
}

// A heartbeat of a life that is over arrives late.
TEST(AgentState, IgnoresAnAnnouncementOfAFormerLife) {
  Agent agent;
  WorkerAnnouncement reborn;
  reborn.sequence = 1;
  reborn.facts.id = "i2";
  reborn.facts.start_time_ms = 2;
  agent.state.HandleAnnouncement(reborn);
  WorkerAnnouncement late;
  late.sequence = 9;
  late.facts.id = "i";
  late.facts.start_time_ms = 1;
  agent.state.HandleAnnouncement(late);
  EXPECT_EQ(agent.state.worker().id, "i2");
}

// A worker leaves a start unanswered and carries it out two seconds later or more, when the task
// may have been given to another. The start's own deadline is over by then, so that the worker
// refuses it; the lease that it would have run on reaches further.
TEST(AgentState, GivesAStartADeadlineThatALateOneMisses) {
  Agent agent;
  const StartCall call = agent.Prepared(kRun);
  constexpr WorkerMillis kClock = 1000;
  EXPECT_LT(call.lease_until, kClock + 2000);
  EXPECT_GE(*agent.state.NextHold({}, agent.now).lease_until, kClock + 4000);
}

// A start is under way to a worker that has just come back from a crash, and a look at it goes
// unanswered at the same time. Told that no lease is left there, the planner would give the task to
// another worker while this one begins it.
TEST(AgentState, CountsTheLeaseOfAStartThatIsStillUnderWay) {
  Agent agent;
  const StartCall call = agent.Prepared(kRun);
  agent.state.NoteLeaseSent(call.lease_until);
  agent.state.WorkerFailed(OrderAnswer::kUnanswered);
  EXPECT_GE(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(1600));
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kNotListening, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lease_left, Duration::zero());
}

}  // namespace
}  // namespace turmericshift::pool
