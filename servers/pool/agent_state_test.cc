#include "servers/pool/agent_state.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "servers/pool/worker_fence.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

// An agent that knows its worker and follows planner 1.
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

  bool ReportsResult(const RunId& run, StartOutcome outcome) {
    const std::vector<StartResult> results = state.Report(Duration::zero(), now).results;
    return std::any_of(results.begin(), results.end(), [&](const StartResult& result) {
      return result.run == run && result.outcome == outcome;
    });
  }

  // Returns the call for a start that has just been ordered.
  StartCall PrepareCall(const RunId& run) {
    state.HandleOrders(Orders(), now, now);
    std::string reason;
    const std::optional<StartCall> call =
        state.PrepareStart({run, "", "", ""}, now + milliseconds(1500), &reason, now);
    EXPECT_TRUE(call) << reason;
    return call.value_or(StartCall());
  }

  Time now = Time(std::chrono::hours(1));
  AgentState state;
};

const RunId kRun = {{"j", 0, 0, 0}, 7};

// Two holds are in flight, as after a change of planner, and the older answer is read last. It
// lists a run whose end the newer one has reported. A planner that believed it would consider the
// run alive forever: its task never starts again and the caller waits for a job that no worker
// runs.
TEST(AgentState, IgnoresListOlderThanCurrentOne) {
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

// Both answers carry the same millisecond of the worker's clock, so the clock does not show which
// answer is older. The list with the reported end must be preferred.
TEST(AgentState, PrefersEndOverListWithSameClockValue) {
  Agent agent;
  WorkerLists newer = agent.Lists({});
  newer.ended = {{1, kRun, EndKind::kStopped, ""}};
  agent.state.HandleLists(newer, 1, agent.now, agent.now);
  agent.Hold(agent.now, {{kRun, "", 40}});
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).running.empty());
}

// An answer under the previous planner's epoch is read after one under the new epoch. If the older
// epoch replaced the newer one, the planner would consider the agent unread until the next hold, a
// second later, and start nothing that may still run there.
TEST(AgentState, KeepsEpochWhenAnswerUnderPreviousEpochArrivesLate) {
  Agent agent;
  agent.state.RaiseEpoch(2);
  agent.state.HandleLists(agent.Lists({}), 2, agent.now, agent.now);
  agent.state.HandleLists(agent.Lists({}), 1, agent.now, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).epoch, 2);
}

// The planner withdraws a start before the agent knows of it and repeats the stop with every answer
// until it knows the result. Holds take longer than the planner's polls; if each repetition counted
// as a new stop, no hold would be sent after the newest stop and settle it, and the task would
// never start again.
TEST(AgentState, SettlesStopRepeatedFasterThanHoldsAreAnswered) {
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
    settled = agent.ReportsResult(kRun, StartOutcome::kNotRun);
  }
  EXPECT_TRUE(settled);
}

// The worker has accepted the stop and its list shows no run, while the start is still repeated. If
// the worker restarts under its ID, it forgets the stop and executes the next attempt, while the
// planner, told that the run is over, has started the task elsewhere.
TEST(AgentState, SettlesNoStopWhileTheStartIsBeingSent) {
  Agent agent;
  const AgentOrders orders = [&] {
    AgentOrders result = agent.Orders();
    result.version = 1;
    result.starts = {{kRun, "", "", ""}};
    return result;
  }();
  ASSERT_EQ(agent.state.HandleOrders(orders, agent.now, agent.now).starts.size(), 1U);
  const StartCall call = agent.PrepareCall(kRun);
  agent.state.NoteStartSent();
  agent.state.HandleStopAnswer(kRun, OrderAnswer::kAccepted, agent.now);
  agent.now += milliseconds(10);
  agent.Hold(agent.now, {});
  EXPECT_FALSE(agent.ReportsResult(kRun, StartOutcome::kNotRun));
  agent.now += milliseconds(10);
  agent.state.NoteStartAnswered(call, {OrderAnswer::kUnanswered, std::nullopt}, agent.now);
  agent.state.HandleStartAnswer(kRun, OrderAnswer::kUnanswered);
  agent.now += milliseconds(10);
  agent.Hold(agent.now, {});
  EXPECT_TRUE(agent.ReportsResult(kRun, StartOutcome::kNotRun));
}

// The worker does not answer a start and carries it out seconds later or never. Until its lists or
// a stop settle the matter, the agent reports neither that the task runs nor that it does not.
TEST(AgentState, ReportsNoResultForUnansweredStartUntilSettled) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  ASSERT_EQ(agent.state.HandleOrders(orders, agent.now, agent.now).starts.size(), 1U);
  agent.state.HandleStartAnswer(kRun, OrderAnswer::kUnanswered);
  agent.Hold(agent.now, {});
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).results.empty());
  EXPECT_EQ(agent.state.UncertainRuns(), std::vector<RunId>{kRun});
  agent.Hold(agent.now, {{kRun, ""}});
  EXPECT_TRUE(agent.ReportsResult(kRun, StartOutcome::kStarted));
}

TEST(AgentState, ExecutesRepeatedOrderOnce) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  EXPECT_EQ(agent.state.HandleOrders(orders, agent.now, agent.now).starts.size(), 1U);
  EXPECT_TRUE(agent.state.HandleOrders(orders, agent.now, agent.now).starts.empty());
}

// A planner that has been succeeded may not know it yet and continues to send orders.
TEST(AgentState, IgnoresOrdersOfOlderPlanner) {
  Agent agent;
  agent.state.RaiseEpoch(2);
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  EXPECT_TRUE(agent.state.HandleOrders(orders, agent.now, agent.now).starts.empty());
}

// The VM was suspended between an order and its execution, or the lease has expired because the
// planner did not answer.
TEST(AgentState, RejectsStartThatExpiredOrHasNoLease) {
  Agent agent;
  const StartOrder order = {kRun, "payload", "", ""};
  std::string reason;
  EXPECT_FALSE(agent.state.PrepareStart(order, agent.now + milliseconds(100), &reason, agent.now));
  EXPECT_EQ(reason, "no lease");
  agent.state.HandleOrders(agent.Orders(), agent.now, agent.now);
  EXPECT_TRUE(agent.state.PrepareStart(order, agent.now + milliseconds(100), &reason, agent.now));
  EXPECT_FALSE(agent.state.PrepareStart(order, agent.now, &reason, agent.now));
}

TEST(AgentState, RejectsStartOnDrainingWorker) {
  Agent agent;
  agent.state.HandleOrders(agent.Orders(), agent.now, agent.now);
  WorkerAnnouncement leaving;
  leaving.sequence = 2;
  leaving.facts.id = "i";
  leaving.facts.start_time_ms = 1;
  leaving.facts.draining = true;
  agent.state.HandleAnnouncement(leaving);
  std::string reason;
  EXPECT_FALSE(agent.state.PrepareStart({kRun, "", "", ""}, agent.now + milliseconds(100), &reason,
                                        agent.now));
}

// A worker that refuses the connection has not received the lease of the call. If that lease
// counted, the worker's tasks would never be considered over while the agent keeps trying.
TEST(AgentState, IgnoresLeaseThatWorkerDidNotReceive) {
  Agent agent;
  agent.state.HandleOrders(agent.Orders(), agent.now, agent.now);
  const HoldCall call = agent.state.NextHold(Duration::zero(), agent.now);
  ASSERT_TRUE(call.lease_until);
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kNotListening, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lease_left, Duration::zero());
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kUnanswered, agent.now);
  EXPECT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(3900));
}

// Nothing has been read from the worker for long, while its calls arrive. Its clock may have run
// slow all the time, and a lease by a clock that had not ended later than the planner assumed.
TEST(AgentState, GrantsNoLongerLeasesByAnOldReadingOfASlowClock) {
  constexpr WorkerMillis kClock = 1000;
  constexpr WorkerMillis kAgeMs = 50'000;
  constexpr WorkerMillis kSlowClock = kClock + kAgeMs * 98 / 100;
  Agent agent;
  agent.now += milliseconds(kAgeMs);
  const StartCall start = agent.PrepareCall(kRun);
  const HoldCall hold = agent.state.NextHold(Duration::zero(), agent.now);
  EXPECT_LE(*hold.lease_until, kSlowClock + 4000);
  EXPECT_LE(start.lease_until, kSlowClock + 1600);
  // The worker's clock may be as slow as the agent assumes from now on, and no slower.
  agent.state.StartNotSent(kRun, "not sent");
  agent.state.NoteLeaseSent(hold.lease_until);
  const Duration left = agent.state.Report(Duration::zero(), agent.now).lease_left;
  EXPECT_GE(left, milliseconds(*hold.lease_until - kSlowClock) / 0.9805);
  EXPECT_LE(left, milliseconds(4100));
}

// A message of another writer that the worker has left made the agent report no runs. A planner
// that began in that moment would have started their tasks again.
TEST(AgentState, ReportsTheRunsOfAWorkerThatHasNotAnnouncedThatItLeaves) {
  Agent agent;
  agent.now += milliseconds(10);
  WorkerLists lists = agent.Lists({{kRun, "", 40}});
  lists.clock = 1010;
  agent.state.HandleLists(lists, 1, agent.now, agent.now);
  agent.state.HandleDeparture("i");
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).running.size(), 1U);
  EXPECT_TRUE(agent.state.may_host_runs(agent.now));
  agent.state.WorkerFailed(OrderAnswer::kUnanswered);
  EXPECT_FALSE(agent.state.may_host_runs(agent.now));
  EXPECT_TRUE(agent.state.is_gone(agent.now));
}

// The start reached a new incarnation, whose clock began anew. By the clock in its answer the lease
// is the longest one, not the short one that was meant.
TEST(AgentState, ReportsTheLeaseThatAnUnknownIncarnationHasTaken) {
  Agent agent;
  const StartCall call = agent.PrepareCall(kRun);
  agent.state.NoteStartSent();
  EXPECT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(6000));
  agent.state.NoteStartAnswered(call, {OrderAnswer::kAccepted, call.lease_until - 1600}, agent.now);
  agent.state.HandleStartAnswer(kRun, OrderAnswer::kAccepted);
  EXPECT_LT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(1700));
  agent.state.NoteStartSent();
  agent.state.NoteStartAnswered(call, {OrderAnswer::kAccepted, call.lease_until - 60'000},
                                agent.now);
  EXPECT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(6000));
}

// A start without an answer may have reached a new incarnation until the lists show that there is
// none.
TEST(AgentState, ReportsTheLongestLeaseAfterAnUnansweredStartUntilTheNextLists) {
  Agent agent;
  const StartCall call = agent.PrepareCall(kRun);
  agent.state.NoteStartSent();
  agent.state.NoteStartAnswered(call, {OrderAnswer::kUnanswered, std::nullopt}, agent.now);
  agent.state.HandleStartAnswer(kRun, OrderAnswer::kUnanswered);
  EXPECT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(6000));
  agent.now += milliseconds(10);
  agent.Hold(agent.now, {});
  EXPECT_LT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(1700));
}

// The agent's former process had raised the token for a new incarnation and was replaced before the
// planner learned of it. The worker refused all calls of the new process, and was never used again.
TEST(AgentState, RaisesTheTokenThatAnUnknownIncarnationRefuses) {
  AgentState state("n", "a", "second");
  state.RaiseEpoch(NextEpoch(0));
  const HoldCall call = state.NextHold(Duration::zero(), Time());
  state.HoldFailed(call, OrderAnswer::kFenced);
  EXPECT_EQ(state.fence(), NextFence(call.fence));
  state.HoldFailed(call, OrderAnswer::kFenced);
  EXPECT_EQ(state.fence(), NextFence(call.fence));
}

// A delayed call for a former incarnation has raised the worker's token above the one that the
// planner assigned. The worker refused every call from then on and was never used again.
TEST(AgentState, RaisesTheTokenThatTheKnownIncarnationRefuses) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.fence = 5;
  agent.state.HandleOrders(orders, agent.now, agent.now);
  agent.state.HandleLists(agent.Lists({}), 5, agent.now, agent.now);
  const HoldCall refused = agent.state.NextHold({}, agent.now);
  ASSERT_EQ(refused.fence, 5);
  ASSERT_TRUE(refused.lease_until);
  agent.state.HoldFailed(refused, OrderAnswer::kFenced);
  EXPECT_EQ(agent.state.fence(), 6);
  // The answer to a call under the former token says nothing about the next one.
  agent.state.HoldFailed(refused, OrderAnswer::kFenced);
  EXPECT_EQ(agent.state.fence(), 6);
  agent.state.HandleLists(agent.Lists({}), 6, agent.now, agent.now);
  EXPECT_EQ(agent.state.Report({}, agent.now).fence, 6);
  // No lease before the planner knows the token.
  EXPECT_FALSE(agent.state.NextHold({}, agent.now).lease_until);
  orders.fence = 6;
  agent.state.HandleOrders(orders, agent.now, agent.now);
  EXPECT_TRUE(agent.state.NextHold({}, agent.now).lease_until);
}

// An announcement of a previous incarnation arrives after one of the current incarnation.
TEST(AgentState, IgnoresAnnouncementOfPreviousIncarnation) {
  Agent agent;
  WorkerAnnouncement restarted;
  restarted.sequence = 1;
  restarted.facts.id = "i2";
  restarted.facts.start_time_ms = 2;
  agent.state.HandleAnnouncement(restarted);
  WorkerAnnouncement delayed;
  delayed.sequence = 9;
  delayed.facts.id = "i";
  delayed.facts.start_time_ms = 1;
  agent.state.HandleAnnouncement(delayed);
  EXPECT_EQ(agent.state.worker().id, "i2");
}

// Another writer used the worker's ID and start time. The worker counted as leaving for the rest of
// its life, and its own announcements, with lower sequence numbers, were ignored.
TEST(AgentState, IgnoresAnAnnouncementThatNamesAnotherService) {
  Agent agent;
  WorkerAnnouncement own;
  own.sequence = 2;
  own.facts.id = "i";
  own.facts.start_time_ms = 1;
  own.facts.service = "plans";
  agent.state.HandleAnnouncement(own);
  WorkerAnnouncement foreign = own;
  foreign.sequence = 1000;
  foreign.facts.service = "another";
  foreign.facts.draining = true;
  agent.state.HandleAnnouncement(foreign);
  EXPECT_FALSE(agent.state.worker().draining);
  own.sequence = 3;
  own.facts.version = "v3";
  agent.state.HandleAnnouncement(own);
  EXPECT_EQ(agent.state.worker().version, "v3");
  EXPECT_EQ(agent.state.worker().service, "plans");
}

// An agent that heard the other writer first would otherwise never use its worker.
TEST(AgentState, BelievesTheServiceThatIsAnnouncedRepeatedly) {
  AgentState state("n", "a", "first");
  WorkerAnnouncement foreign;
  foreign.sequence = 1000;
  foreign.facts.id = "i";
  foreign.facts.start_time_ms = 1;
  foreign.facts.service = "another";
  foreign.facts.draining = true;
  state.HandleAnnouncement(foreign);
  WorkerAnnouncement own = foreign;
  own.facts.service = "plans";
  own.facts.draining = false;
  for (own.sequence = 1; own.sequence <= 2; ++own.sequence) state.HandleAnnouncement(own);
  EXPECT_EQ(state.worker().service, "plans");
  EXPECT_FALSE(state.worker().draining);
}

// A worker leaves a start unanswered and processes it at least two seconds later, when the task may
// have been given to another worker. By then the start's own lease has expired, so the worker
// refuses it; leases granted by holds last longer than that.
TEST(AgentState, LimitsLeaseOfStartSoThatLateStartIsRefused) {
  Agent agent;
  const StartCall call = agent.PrepareCall(kRun);
  constexpr WorkerMillis kClock = 1000;
  EXPECT_LT(call.lease_until, kClock + 2000);
  EXPECT_GE(*agent.state.NextHold({}, agent.now).lease_until, kClock + 4000);
}

// A start is in flight to a worker that has just recovered from a crash, and a hold goes unanswered
// at the same time. If the agent reported that no lease is left, the planner would give the task to
// another worker while this one starts it.
TEST(AgentState, CountsLeaseOfStartInFlight) {
  Agent agent;
  const StartCall call = agent.PrepareCall(kRun);
  agent.state.NoteLeaseSent(call.lease_until);
  agent.state.WorkerFailed(OrderAnswer::kUnanswered);
  EXPECT_GE(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(1600));
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kNotListening, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lease_left, Duration::zero());
}

// A start that was ordered for the former start of the worker was carried out by the next one,
// while the planner gave the run up and placed the task again.
TEST(AgentState, SendsNoStartThatWasOrderedForAFormerIncarnation) {
  Agent agent;
  WorkerLists restarted = agent.Lists({});
  restarted.start_time_ms = 2;
  agent.state.HandleLists(restarted, 1, agent.now, agent.now);
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "", "", ""}};
  const AgentOrders accepted = agent.state.HandleOrders(orders, agent.now, agent.now);
  std::string reason;
  EXPECT_TRUE(accepted.starts.empty() ||
              !agent.state.PrepareStart(accepted.starts.front(), agent.now + milliseconds(1500),
                                        &reason, agent.now));
}

// The start waits for a thread while a new planner takes over and reads the worker, which does not
// run the task yet. Sent under the new planner's token, the start would run the task a second time.
TEST(AgentState, SendsNoStartOfAPlannerThatHasBeenReplaced) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "payload", "", ""}};
  const AgentOrders accepted = agent.state.HandleOrders(orders, agent.now, agent.now);
  ASSERT_EQ(accepted.starts.size(), 1U);
  AgentOrders of_successor = agent.Orders();
  of_successor.epoch = 2;
  agent.state.HandleOrders(of_successor, agent.now, agent.now);
  agent.state.HandleLists(agent.Lists({}), 2, agent.now, agent.now);
  agent.state.HandleOrders(of_successor, agent.now, agent.now);
  ASSERT_TRUE(agent.state.is_read());
  std::string reason;
  EXPECT_FALSE(agent.state.PrepareStart(accepted.starts[0], agent.now + milliseconds(1500), &reason,
                                        agent.now));
  EXPECT_EQ(reason, "a newer planner has taken over");
}

// A start without the worker's ID is carried out by whichever incarnation listens at the address.
TEST(AgentState, SendsNoStartWithoutTheWorkersId) {
  Agent agent;
  WorkerLists restarted = agent.Lists({});
  restarted.start_time_ms = 2;
  agent.state.HandleLists(restarted, 1, agent.now, agent.now);
  AgentOrders orders = agent.Orders();
  orders.worker_start_time_ms = 2;
  agent.state.HandleOrders(orders, agent.now, agent.now);
  std::string reason;
  const std::optional<StartCall> call = agent.state.PrepareStart(
      {kRun, "", "", ""}, agent.now + milliseconds(1500), &reason, agent.now);
  EXPECT_FALSE(call && call->worker_id.empty());
}

// A lease on the former clock, answered after the restart, was converted with the new clock: it
// seemed to last for as long as the former clock was ahead, and the worker's tasks waited for it.
TEST(AgentState, CountsNoLeaseOfAFormerIncarnationByTheNewClock) {
  Agent agent;
  const WorkerMillis lease_until = 36'000'000;
  agent.state.NoteLeaseSent(lease_until);
  WorkerLists restarted = agent.Lists({});
  restarted.start_time_ms = 2;
  agent.state.HandleLists(restarted, 1, agent.now, agent.now);
  agent.state.NoteLeaseAnswered(lease_until, OrderAnswer::kOtherIncarnation, agent.now);
  EXPECT_LE(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(10'000));
}

// Until its first call under the new token, a worker that has restarted under its ID executes calls
// for its former incarnation, which may take the longest lease. The agent forgot that lease.
TEST(AgentState, CountsTheLongestLeaseOfCallsForAFormerIncarnationWithTheSameId) {
  for (const char* id : {"i", "other"}) {
    Agent agent;
    AgentOrders orders = agent.Orders();
    orders.fence = 1;
    orders.lease = Duration::zero();
    agent.state.HandleOrders(orders, agent.now, agent.now);
    WorkerLists next = agent.Lists({});
    next.start_time_ms = 2;
    agent.state.HandleLists(next, 1, agent.now, agent.now);
    WorkerAnnouncement announcement;
    announcement.sequence = 1;
    announcement.facts.id = id;
    announcement.facts.start_time_ms = 2;
    agent.state.HandleAnnouncement(announcement);
    orders.worker_start_time_ms = 2;
    orders.fence = 2;
    agent.state.HandleOrders(orders, agent.now, agent.now);
    agent.now += milliseconds(500);
    agent.state.HandleLists(next, 2, agent.now, agent.now);
    const Duration lease_left = agent.state.Report(Duration::zero(), agent.now).lease_left;
    const bool same_id = announcement.facts.id == "i";
    EXPECT_EQ(lease_left, same_id ? milliseconds(6120) : Duration::zero()) << id;
    // Later lists under the same token change nothing.
    agent.now += milliseconds(500);
    agent.state.HandleLists(next, 2, agent.now, agent.now);
    EXPECT_LT(agent.state.Report(Duration::zero(), agent.now).lease_left, milliseconds(6120));
  }
}

// A hold that was sent while the worker's ID was unknown names no incarnation, so that one with
// another ID executes it as well and may take the longest lease.
TEST(AgentState, CountsTheLongestLeaseOfAHoldThatNamedNoId) {
  AgentState state("n", "a", "first");
  Time now = Time(std::chrono::hours(1));
  AgentOrders orders;
  orders.epoch = 1;
  orders.fence = 1;
  orders.lease = milliseconds(4000);
  orders.worker_start_time_ms = 0;
  state.HandleOrders(orders, now, now);
  WorkerLists lists;
  lists.start_time_ms = 1;
  lists.clock = 1000;
  state.HandleLists(lists, 1, now, now);
  orders.worker_start_time_ms = 1;
  state.HandleOrders(orders, now, now);
  const HoldCall call = state.NextHold(Duration::zero(), now);
  ASSERT_TRUE(call.worker_id.empty());
  ASSERT_TRUE(call.lease_until);
  state.NoteLeaseSent(call.lease_until);
  for (const auto& [id, start] : {std::pair{"i", 1}, std::pair{"other", 2}}) {
    now += milliseconds(100);
    WorkerAnnouncement announcement;
    announcement.sequence = 1;
    announcement.facts.id = id;
    announcement.facts.start_time_ms = start;
    state.HandleAnnouncement(announcement);
  }
  state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kUnanswered, now);
  orders.worker_start_time_ms = 2;
  orders.fence = 2;
  state.HandleOrders(orders, now, now);
  lists.start_time_ms = 2;
  now += milliseconds(10);
  state.HandleLists(lists, 2, now, now);
  EXPECT_EQ(state.Report(Duration::zero(), now).lease_left, milliseconds(6120));
}

// A hold to a former incarnation timed out after the next one had been read. Marked as unreachable,
// the new incarnation lost the runs that were being ordered for it.
TEST(AgentState, HoldsNoFailureOfAFormerIncarnationAgainstTheNext) {
  Agent agent;
  const HoldCall hold = agent.state.NextHold(Duration::zero(), agent.now);
  WorkerLists restarted = agent.Lists({});
  restarted.start_time_ms = 2;
  agent.state.HandleLists(restarted, 1, agent.now, agent.now);
  agent.state.HoldFailed(hold, OrderAnswer::kUnanswered);
  EXPECT_TRUE(agent.state.worker().reachable);
}

// A report that was made between the arrival of a start and the call to the worker looked as if
// nothing could run any more.
TEST(AgentState, CountsALeaseForAStartThatWaitsForAThread) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.starts = {{kRun, "", "", ""}};
  agent.state.HandleOrders(orders, agent.now, agent.now);
  EXPECT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, Duration::zero());
}

// An answer that a newer one has overtaken orders a start that the planner has withdrawn since.
TEST(AgentState, SendsNoStartOfAnOvertakenAnswer) {
  Agent agent;
  AgentOrders newer = agent.Orders();
  newer.version = 2;
  agent.state.HandleOrders(newer, agent.now, agent.now);
  AgentOrders older = agent.Orders();
  older.version = 1;
  older.starts = {{kRun, "", "", ""}};
  EXPECT_TRUE(agent.state.HandleOrders(older, agent.now, agent.now).starts.empty());
}

// The message that a worker leaves was delayed, and another worker has started under the same id
// since. An agent that counted as gone would be removed from the members with tasks running, and a
// new planner would start them elsewhere.
TEST(AgentState, IsNotGoneWhileItsWorkerAnswers) {
  Agent agent;
  agent.Hold(agent.now, {{kRun, "", 40}});
  agent.state.HandleDeparture("i");
  EXPECT_FALSE(agent.state.is_gone(agent.now));
  agent.Hold(agent.now, {{kRun, "", 50}});
  EXPECT_TRUE(agent.state.may_host_runs(agent.now));
  agent.state.HandleDeparture("i");
  agent.state.WorkerFailed(OrderAnswer::kNotListening);
  EXPECT_TRUE(agent.state.is_gone(agent.now));
}

// A delayed announcement made a new agent believe a former incarnation, while the planner had
// confirmed the token for the current one. Raised without the planner's knowledge, the token is
// taken for the next incarnation as well by the process of the agent that follows.
TEST(AgentState, UsesNoUnconfirmedTokenForAnIncarnationThatThePlannerConfirmed) {
  Agent agent;
  AgentOrders orders = agent.Orders();
  orders.fence = 5;
  orders.worker_start_time_ms = 2;
  agent.state.HandleOrders(orders, agent.now, agent.now);
  WorkerLists current = agent.Lists({});
  current.start_time_ms = 2;
  agent.state.HandleLists(current, 5, agent.now, agent.now);
  const HoldCall hold = agent.state.NextHold(Duration::zero(), agent.now);
  EXPECT_TRUE(hold.fence == 5 || !hold.lease_until) << hold.fence;
}

// A late departure of a former incarnation empties the list of runs, and the next hold goes
// unanswered. The runs go on under their lease, so the agent must stay among the members.
TEST(AgentState, IsNotGoneWhileALeaseThatItGrantedLasts) {
  Agent agent;
  agent.Hold(agent.now, {{kRun, "", 40}});
  const StartCall call = agent.PrepareCall(kRun);
  agent.state.NoteLeaseSent(call.lease_until);
  agent.state.NoteLeaseAnswered(call.lease_until, OrderAnswer::kAccepted, agent.now);
  agent.state.HandleDeparture("i");
  agent.state.WorkerFailed(OrderAnswer::kUnanswered);
  ASSERT_GT(agent.state.Report(Duration::zero(), agent.now).lease_left, Duration::zero());
  EXPECT_FALSE(agent.state.is_gone(agent.now));
}

// The worker's VM set its wall clock back, and the worker restarted. An agent that takes the lists
// of the new incarnation for old ones reports the runs of the former one for ever.
TEST(AgentState, UsesAnIncarnationWhoseStartTimeIsLowerThanTheFormerOnes) {
  Agent agent;
  WorkerLists former = agent.Lists({{kRun, "", 40}});
  former.start_time_ms = 9'000;
  agent.state.HandleLists(former, 1, agent.now, agent.now);
  agent.now += milliseconds(5000);
  WorkerLists restarted = agent.Lists({});
  restarted.start_time_ms = 8'000;
  restarted.clock = 10;
  for (int hold = 0; hold < 3; ++hold) {
    const Time sent = agent.now;
    agent.now += milliseconds(1000);
    agent.state.HandleLists(restarted, 1, sent, agent.now);
  }
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).running.empty());
}

// Two answers carry the same millisecond of the worker's clock, and the one under the lower token
// is read last. Its list may be from before a start that the other one lists.
TEST(AgentState, PrefersTheListUnderTheHigherTokenOfTwoWithTheSameClockValue) {
  Agent agent;
  agent.state.HandleLists(agent.Lists({{kRun, "", 0}}), 2, agent.now, agent.now);
  agent.state.HandleLists(agent.Lists({}), 1, agent.now, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).running.size(), 1U);
}

// Without the age, the planner dates the progress of runs by the arrival of the report, up to a
// second late, and expects their ends late.
TEST(AgentState, ReportsTheAgeOfTheListsThatItUses) {
  Agent agent;
  agent.now += milliseconds(700);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lists_age, milliseconds(700));
  // An older answer that is read late does not make the lists newer.
  WorkerLists older = agent.Lists({});
  older.clock = 900;
  agent.state.HandleLists(older, 1, agent.now, agent.now);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lists_age, milliseconds(700));
}

// The clock reading of a former incarnation says nothing about the lists of the current one.
TEST(AgentState, ReportsNoAgeOfListsOfAFormerIncarnation) {
  Agent agent;
  agent.now += milliseconds(700);
  WorkerAnnouncement announcement;
  announcement.facts.id = "i";
  announcement.facts.start_time_ms = 2;
  agent.state.HandleAnnouncement(announcement);
  EXPECT_EQ(agent.state.Report(Duration::zero(), agent.now).lists_age, Duration::zero());
}

// Lists in which `count` runs have ended, with the numbers from `first` on.
WorkerLists EndedLists(const Agent& agent, int first, int count) {
  WorkerLists lists = agent.Lists({});
  for (int i = 0; i < count; ++i) {
    lists.ended.push_back({first + i, {{"j", 0, 0, first + i}, 1}, EndKind::kDone, ""});
  }
  return lists;
}

// A new planner took a report that had no room for all ends for a complete one and ran the tasks
// whose ends were left out again.
TEST(AgentState, TellsThatAReportLeavesOutEnds) {
  Agent agent;
  agent.state.HandleLists(EndedLists(agent, 1, 300), 1, agent.now, agent.now);
  const AgentReport first = agent.state.Report(Duration::zero(), agent.now);
  EXPECT_TRUE(first.more_ends);
  AgentOrders orders = agent.Orders();
  orders.acked_ends = first.ended.back().number;
  agent.state.HandleOrders(orders, agent.now, agent.now);
  const AgentReport second = agent.state.Report(Duration::zero(), agent.now);
  EXPECT_EQ(second.ended.back().number, 300);
  EXPECT_FALSE(second.more_ends);
}

// The same fault where the worker's own list has no room: the agent has reported and acknowledged
// all ends that it knows, but the worker has further ones.
TEST(AgentState, TellsThatTheWorkersListLeavesOutEnds) {
  Agent agent;
  WorkerLists lists = EndedLists(agent, 1, 3);
  lists.more_ends = true;
  agent.state.HandleLists(lists, 1, agent.now, agent.now);
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).more_ends);
  AgentOrders orders = agent.Orders();
  orders.acked_ends = 3;
  agent.state.HandleOrders(orders, agent.now, agent.now);
  EXPECT_TRUE(agent.state.Report(Duration::zero(), agent.now).more_ends);
  agent.state.HandleLists(EndedLists(agent, 4, 3), 1, agent.now, agent.now);
  EXPECT_FALSE(agent.state.Report(Duration::zero(), agent.now).more_ends);
}

// A stop finds a run that has ended, and the worker's list has no room for the end. Reported as not
// begun, the task ran again.
TEST(AgentState, SettlesNoStopByAListThatLeavesOutEnds) {
  Agent agent;
  agent.state.HandleStopAnswer(kRun, OrderAnswer::kStaleRun, agent.now);
  WorkerLists lists = EndedLists(agent, 1, 3);
  lists.more_ends = true;
  agent.state.HandleLists(lists, 1, agent.now, agent.now);
  EXPECT_FALSE(agent.ReportsResult(kRun, StartOutcome::kNotRun));
  lists = EndedLists(agent, 1, 3);
  agent.state.HandleLists(lists, 1, agent.now, agent.now);
  EXPECT_TRUE(agent.ReportsResult(kRun, StartOutcome::kNotRun));
}

}  // namespace
}  // namespace turmericshift::pool
