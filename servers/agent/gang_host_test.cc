// What one agent obeys, and what it does by itself when nobody can be obeyed.
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

constexpr Sequence kOld = 10;
constexpr Sequence kNew = 20;
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
    HearDocument();
    StartAgent();
  }

  void HearDocument() {
    EntryBeat beat;
    beat.config_version = 1;
    beat.config_text = kDocument;
    beat.freshness.age = Duration::zero();
    guard_.HandleHeartbeatReply(beat, clock_.Now());
  }

  // As after a restart of the agent's process.
  void StartAgent() {
    host_ = std::make_unique<GangHost>(TaskShape{8, int64_t{8} << 30, 8}, &worker_, &guard_);
    host_->Expire(clock_.Now());
    HandleHeartbeatReply(kOld);
  }

  void HandleHeartbeatReply(Sequence epoch, const std::string& entry = kEntry,
                            bool failing = false) {
    EntryBeat beat;
    beat.planner_epoch = epoch;
    beat.planner_active = true;
    beat.jobs_freshness = {failing ? Duration(seconds(60)) : Duration::zero(), failing};
    beat.entries = {kEntry, kOtherEntry};
    host_->HandleHeartbeatReply(entry, beat, clock_.Now());
  }

  GangReserve Part(Sequence epoch, int64_t attempt, uint32_t accelerators = 1) const {
    GangReserve reserve;
    reserve.epoch = epoch;
    reserve.job = "boxes/weekly";
    reserve.workspace = "boxes";
    reserve.attempt = attempt;
    reserve.shape = {1, int64_t{1} << 30, 1};
    reserve.tasks = {{0, accelerators}};
    reserve.hold = seconds(5);
    reserve.checkpoints = true;
    return reserve;
  }

  GangAction Action(Sequence epoch, int64_t attempt, Duration lease = kLease) const {
    return {epoch, "boxes/weekly", attempt, lease, false, -1};
  }

  void Run(int64_t attempt, Duration lease = kLease) {
    host_->Reserve(Part(kOld, attempt), clock_.Now());
    host_->Start({kOld, "boxes/weekly", attempt, "1h", ""}, clock_.Now());
    host_->Release(Action(kOld, attempt, lease), clock_.Now());
  }

  void Pass(Duration step) {
    clock_.Advance(step);
    host_->Expire(clock_.Now());
  }

  TaskPhase phase(size_t index = 0) { return worker_.Report().at(index).phase; }

  ManualClock clock_;
  FakeWorker worker_;
  StartGuard guard_;
  std::unique_ptr<GangHost> host_;
};

// A planner's process is paused, its successor takes over, and it wakes and goes on with the step
// that it was at. Each step must be refused, or it would start, prolong or end work that is the
// successor's now.
TEST_F(GangHostTest, EveryStepOfAReplacedPlannerIsFenced) {
  Run(1);
  HandleHeartbeatReply(kNew);
  const Time now = clock_.Now();
  EXPECT_EQ(KindOf([&] { host_->Reserve(Part(kOld, 2, 2), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] {
              host_->Start({kOld, "boxes/weekly", 1, "", ""}, now);
            }),
            ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Release(Action(kOld, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOld, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Stop(Action(kOld, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(KindOf([&] { host_->Forget(Action(kOld, 1), now); }), ErrorKind::kFenced);
  EXPECT_EQ(phase(), TaskPhase::kRunning);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kNew, 1), now); }), std::nullopt);
}

// The planner's entry dies. Nobody renews, and the work must stop, saved, before a successor that
// waits the lease out may start it elsewhere.
TEST_F(GangHostTest, AGangThatNobodyRenewsIsSavedAndStoppedBeforeItsLeaseEnds) {
  Run(1);
  Pass(seconds(8));
  EXPECT_EQ(phase(), TaskPhase::kRunning);
  Pass(milliseconds(1100));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
  EXPECT_EQ(ParseDuration(worker_.Report().at(0).checkpoint), milliseconds(9100));
}

// The planner dies after it released one member of a gang and not the others. The one may not go on
// alone for a whole lease.
TEST_F(GangHostTest, AReleasedMemberStopsAfterItsFirstLeaseUnlessConfirmed) {
  Run(1, seconds(2));
  Pass(seconds(2));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
}

// A renewal is stuck on its way for longer than the lease. The planner has counted the gang out and
// started it elsewhere; the late renewal must not keep the old one alive.
TEST_F(GangHostTest, ALateRenewalAddsNoTime) {
  Run(1);
  GangAction renewal = Action(kOld, 1);
  renewal.beat_sent_at = clock_.Now().time_since_epoch().count();
  Pass(seconds(8));
  HandleHeartbeatReply(kOld);
  host_->Renew(renewal, clock_.Now());
  Pass(milliseconds(1100));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
  EXPECT_EQ(KindOf([&] { host_->Renew(renewal, clock_.Now()); }), ErrorKind::kConflict);
}

// A planner's host is cut off together with one agent. It hears the agent and not the log; its
// successor, which the agent can't hear, starts the job elsewhere. Obeying on would run it twice.
TEST_F(GangHostTest, AnAgentThatHearsOnlyAnEntryWithoutTheLogObeysNobody) {
  Run(1);
  Pass(seconds(6));
  HandleHeartbeatReply(kOld, kEntry, true);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOld, 1), clock_.Now()); }), std::nullopt);
  Pass(seconds(6));
  HandleHeartbeatReply(kOld, kEntry, true);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOld, 1), clock_.Now()); }), ErrorKind::kStale);
}

// The log itself is down for an hour: all entries say so, nobody can claim, and running work goes
// on.
TEST_F(GangHostTest, AnAgentObeysOnWhenAllEntriesSayThatTheLogIsDown) {
  Run(1);
  for (int round = 0; round < 20; ++round) {
    Pass(seconds(5));
    HandleHeartbeatReply(kOld, kEntry, true);
    HandleHeartbeatReply(kOld, kOtherEntry, true);
    EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOld, 1), clock_.Now()); }), std::nullopt);
  }
  EXPECT_EQ(phase(), TaskPhase::kRunning);
}

// The agent's process is replaced while tasks run. It must know them again: their accelerators are
// taken, their planner's epoch is the least it may obey, and their lease goes on.
TEST_F(GangHostTest, ARestartedAgentKnowsWhatRuns) {
  Run(1);
  Pass(seconds(3));
  StartAgent();
  AgentBeat beat;
  host_->FillHeartbeat(&beat, clock_.Now());
  ASSERT_EQ(beat.tasks.size(), 1U);
  EXPECT_EQ(beat.planner_epoch, kOld);
  const GangReserve other = Part(kOld, 2);
  EXPECT_EQ(KindOf([&] { host_->Reserve(other, clock_.Now()); }), ErrorKind::kConflict);
  EXPECT_EQ(KindOf([&] { host_->Renew(Action(kOld - 1, 1), clock_.Now()); }), ErrorKind::kFenced);
  Pass(milliseconds(6100));
  EXPECT_EQ(phase(), TaskPhase::kStopped);
}

// The agent is up before its worker answers. It does not know yet which accelerators are taken.
TEST_F(GangHostTest, AnAgentThatDoesNotKnowItsWorkerRefusesEverything) {
  WorkerFaults faults;
  faults.unreachable = true;
  worker_.SetFaults(faults);
  StartAgent();
  EXPECT_EQ(KindOf([&] { host_->Reserve(Part(kOld, 2), clock_.Now()); }), ErrorKind::kStale);
  worker_.SetFaults({});
  host_->Expire(clock_.Now());
  EXPECT_EQ(KindOf([&] { host_->Reserve(Part(kOld, 2), clock_.Now()); }), std::nullopt);
}

// A worker takes the stop and the task goes on. Its accelerator must not be given to another, and
// the planner must not be told that it has ended.
TEST_F(GangHostTest, RoomOfATaskThatWontStopIsNotGivenOut) {
  Run(1);
  WorkerFaults faults;
  faults.ignores_stop = true;
  worker_.SetFaults(faults);
  EXPECT_EQ(KindOf([&] { host_->Stop(Action(kOld, 1), clock_.Now()); }), ErrorKind::kConflict);
  EXPECT_EQ(KindOf([&] { host_->Forget(Action(kOld, 1), clock_.Now()); }), ErrorKind::kConflict);
  GangReserve other = Part(kOld, 1);
  other.job = "boxes/other";
  EXPECT_EQ(KindOf([&] { host_->Reserve(other, clock_.Now()); }), ErrorKind::kConflict);
  worker_.SetFaults({});
  EXPECT_EQ(KindOf([&] { host_->Stop(Action(kOld, 1), clock_.Now()); }), std::nullopt);
  EXPECT_EQ(KindOf([&] { host_->Reserve(other, clock_.Now()); }), std::nullopt);
}

// The planner lost the answer to its reservation and gave up; the hold must not outlive its bound.
TEST_F(GangHostTest, AReservationThatIsNotStartedLapses) {
  host_->Reserve(Part(kOld, 1), clock_.Now());
  Pass(seconds(5));
  EXPECT_EQ(KindOf([&] {
              host_->Start({kOld, "boxes/weekly", 1, "", ""}, clock_.Now());
            }),
            ErrorKind::kConflict);
  EXPECT_TRUE(host_->idle());
}

}  // namespace
}  // namespace turmericshift
