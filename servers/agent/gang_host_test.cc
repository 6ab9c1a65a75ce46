// Checks which planners an agent obeys, and what the agent does by itself while it can't obey any.
#include "servers/agent/gang_host.h"

#include <gtest/gtest.h>

#include <optional>

#include "core/error.h"
#include "core/units.h"
#include "modules/stand_ins/fake_worker.h"
#include "modules/stand_ins/manual_clock.h"

namespace turmericshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Sequence kOldEpoch = 10;
constexpr Sequence kNewEpoch = 20;
constexpr Duration kLease = seconds(10);
constexpr const char* kEntry = "10.0.0.1:1";
constexpr const char* kOtherEntry = "10.0.0.2:1";
constexpr const char* kDocument = R"([environment]
deployment = test
lease = 10s
zone_out_bound = 60s
[availability_zone zone-a]
state = in
workers = 1
workers_per_rack = 1
processors_per_worker = 8
memory_per_worker = 8GiB
accelerators_per_worker = 8
[workspace boxes]
token_hashes =
guarantee = 1 half
accelerator_cap = 8
)";

template <typename Call>
std::optional<ErrorKind> KindOf(Call call) {
  try {
    call();
  } catch (const Error& error) {
    return error.kind();
  }
  return std::nullopt;
}

class GangHostTest : public ::testing::Test {
 protected:
  GangHostTest() : worker_(&clock_), guard_("zone-a") {
    DeliverDocument();
    StartAgent();
  }

  void DeliverDocument() {
    HeartbeatReply reply;
    reply.config_version = 1;
    reply.config_text = kDocument;
    reply.freshness.age = Duration::zero();
    guard_.HandleHeartbeatReply(reply, clock_.Now());
  }

  // Creates a new host, as after a restart of the agent's process.
  void StartAgent() {
    host_ = std::make_unique<GangHost>(TaskShape{8, int64_t{8} << 30, 8}, &worker_, &guard_);
    host_->Expire(clock_.Now());
    DeliverReply(kOldEpoch);
  }

  void DeliverReply(Sequence epoch, const std::string& entry = kEntry, bool failing = false) {
    HeartbeatReply reply;
    reply.planner_epoch = epoch;
    reply.planner_active = true;
    reply.jobs_freshness = {failing ? Duration(seconds(60)) : Duration::zero(), failing};
    reply.entries = {kEntry, kOtherEntry};
    host_->HandleHeartbeatReply(entry, reply, clock_.Now());
  }

  GangReserve Part(Sequence epoch, int64_t attempt, uint32_t accelerators = 1) const {
    GangReserve reserve;
    reserve.epoch = epoch;
    reserve.job = "boxes/weekly";
    reserve.workspace = "boxes";
    reserve.attempt = attempt;
    reserve.shape = {1, int64_t{1} << 30, 1};
    reserve.tasks = {{0, accelerators}};
    reserve.hold_timeout = seconds(5);
    reserve.checkpoints = true;
    return reserve;
  }

  GangAction Action(Sequence epoch, int64_t attempt, Duration lease = kLease) const {
    return {epoch, "boxes/weekly", attempt, lease, false, -1};
  }

  void Run(int64_t attempt, Duration lease = kLease) {
    host_->Reserve(Part(kOldEpoch, attempt), clock_.Now());
    host_->Start({kOldEpoch, "boxes/weekly", attempt, "1h", ""}, clock_.Now());
    host_->Release(Action(kOldEpoch, attempt, lease), clock_.Now());
  }

  void AdvanceTime(Duration step) {
    clock_.Advance(step);
    host_->Expire(clock_.Now());
  }

  TaskPhase phase(size_t index = 0) { return worker_.Report().at(index).phase; }

  ManualClock clock_;
  FakeWorker worker_;
  StartGuard guard_;
  std::unique_ptr<GangHost> host_;
};

// A planner is paused, replaced, and then continues with its next call. Every call must be refused,
// or it would start, extend or end work that now belongs to the successor.
TEST_F(GangHostTest, AllCallsOfAReplacedPlannerAreFenced) {
  Run(1);
  DeliverReply(kNewEpoch);
  const Time now = clock_.Now();
  EXPECT_EQ(KindOf([&] { host_->Reserve(Part(kOldEpoch, 2, 2), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] {
              host_->Start({kOldEpoch, "boxes/weekly", 1, "", ""}, now);
            }),
            ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Release(Action(kOldEpoch, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOldEpoch, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Stop(Action(kOldEpoch, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Forget(Action(kOldEpoch, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(phase(), TaskPhase::kRunning);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kNewEpoch, 1), now); }), std::nullopt);
}

// The planner's entry dies and nobody renews the lease. The work must be checkpointed and stopped
// before a successor, which waits for the lease to expire, may start it elsewhere.
TEST_F(GangHostTest, UnrenewedGangIsCheckpointedAndStoppedBeforeLeaseExpiry) {
  Run(1);
  AdvanceTime(seconds(8));
  EXPECT_EQ(phase(), TaskPhase::kRunning);
  AdvanceTime(milliseconds(1100));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
  EXPECT_EQ(ParseDuration(worker_.Report().at(0).checkpoint), milliseconds(9100));
}

// The planner dies after it released (allowed to run) the held tasks of one member of a gang but
// not those of the others. The released member must not run alone for a whole lease.
TEST_F(GangHostTest, ReleasedMemberStopsAfterFirstLeaseUnlessRenewed) {
  Run(1, seconds(2));
  AdvanceTime(seconds(2));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
}

// A renewal is delayed for longer than the lease. The planner has started a new attempt of the gang
// elsewhere, so the delayed renewal must not keep the old attempt running.
TEST_F(GangHostTest, DelayedRenewalDoesNotExtendLease) {
  Run(1);
  GangAction renewal = Action(kOldEpoch, 1);
  renewal.heartbeat_sent_at = clock_.Now().time_since_epoch().count();
  AdvanceTime(seconds(8));
  DeliverReply(kOldEpoch);
  host_->Renew(renewal, clock_.Now());
  AdvanceTime(milliseconds(1100));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
  EXPECT_EQ(KindOf([&] { host_->Renew(renewal, clock_.Now()); }), ErrorKind::kConflict);
}

// A planner's entry is partitioned together with one agent: the entry reaches the agent but not the
// log. The successor, which the agent can't reach, starts the job elsewhere. If the agent still
// obeyed the old planner, the job would run twice.
TEST_F(GangHostTest, OneEntryWithoutLogIsNotEnoughToObeyPlanner) {
  Run(1);
  AdvanceTime(seconds(6));
  DeliverReply(kOldEpoch, kEntry, true);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOldEpoch, 1), clock_.Now()); }), std::nullopt);
  AdvanceTime(seconds(6));
  DeliverReply(kOldEpoch, kEntry, true);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOldEpoch, 1), clock_.Now()); }), ErrorKind::kStale);
}

// The log is down for a long time. All entries report this, no planner can claim the zone, and
// running work must go on.
TEST_F(GangHostTest, PlannerIsObeyedWhenAllEntriesReportLogDown) {
  Run(1);
  for (int round = 0; round < 20; ++round) {
    AdvanceTime(seconds(5));
    DeliverReply(kOldEpoch, kEntry, true);
    DeliverReply(kOldEpoch, kOtherEntry, true);
    EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOldEpoch, 1), clock_.Now()); }), std::nullopt);
  }
  EXPECT_EQ(phase(), TaskPhase::kRunning);
}

// The agent's process restarts while tasks run. It must rebuild their state: their accelerators are
// in use, their planner's epoch is the lowest to obey, and their leases go on.
TEST_F(GangHostTest, RestartedAgentRebuildsStateFromWorker) {
  Run(1);
  AdvanceTime(seconds(3));
  StartAgent();
  AgentHeartbeat heartbeat;
  host_->FillHeartbeat(&heartbeat, clock_.Now());
  ASSERT_EQ(heartbeat.tasks.size(), 1U);
  EXPECT_EQ(heartbeat.planner_epoch, kOldEpoch);
  const GangReserve other = Part(kOldEpoch, 2);
  EXPECT_EQ(KindOf([&] { host_->Reserve(other, clock_.Now()); }), ErrorKind::kConflict);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOldEpoch - 1, 1), clock_.Now()); }),
            ErrorKind::kFenced);
  AdvanceTime(milliseconds(6100));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
}

// The agent starts before its worker answers, and does not know yet which accelerators are in use.
TEST_F(GangHostTest, RefusesCallsUntilWorkerHasReported) {
  WorkerFaults faults;
  faults.unreachable = true;
  worker_.SetFaults(faults);
  StartAgent();
  EXPECT_EQ(KindOf([&] { host_->Reserve(Part(kOldEpoch, 2), clock_.Now()); }), ErrorKind::kStale);
  worker_.SetFaults({});
  host_->Expire(clock_.Now());
  EXPECT_EQ(KindOf([&] { host_->Reserve(Part(kOldEpoch, 2), clock_.Now()); }), std::nullopt);
}

// A worker accepts a stop but the task goes on. Its accelerator must not be allocated again, and
// the planner must not be told that the task has ended.
TEST_F(GangHostTest, ResourcesOfUnstoppedTaskAreNotReallocated) {
  Run(1);
  WorkerFaults faults;
  faults.ignores_stop = true;
  worker_.SetFaults(faults);
  EXPECT_EQ(KindOf([&] { host_->Stop(Action(kOldEpoch, 1), clock_.Now()); }), ErrorKind::kConflict);
  EXPECT_EQ(KindOf([&] { host_->Forget(Action(kOldEpoch, 1), clock_.Now()); }),
            ErrorKind::kConflict);
  GangReserve other = Part(kOldEpoch, 1);
  other.job = "boxes/other";
  EXPECT_EQ(KindOf([&] { host_->Reserve(other, clock_.Now()); }), ErrorKind::kConflict);
  worker_.SetFaults({});
  EXPECT_EQ(KindOf([&] { host_->Stop(Action(kOldEpoch, 1), clock_.Now()); }), std::nullopt);
  EXPECT_EQ(KindOf([&] { host_->Reserve(other, clock_.Now()); }), std::nullopt);
}

// The planner lost the answer to its reservation and gave up. The reservation must not outlive its
// hold time.
TEST_F(GangHostTest, UnstartedReservationExpires) {
  host_->Reserve(Part(kOldEpoch, 1), clock_.Now());
  AdvanceTime(seconds(5));
  EXPECT_EQ(KindOf([&] {
              host_->Start({kOldEpoch, "boxes/weekly", 1, "", ""}, clock_.Now());
            }),
            ErrorKind::kConflict);
  EXPECT_TRUE(host_->idle());
}

}  // namespace
}  // namespace turmericshift
