#include "servers/pool/planner_elector.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/operator_record_decoder.h"
#include "servers/pool/local_planner_client.h"
#include "servers/pool/worker_fence.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSilenceTimeout = milliseconds(1200);
constexpr Duration kMaxViewAge = milliseconds(1500);
const Time kNow = Time(std::chrono::hours(2));
constexpr int64_t kFirstEpoch = NextEpoch(0);
constexpr int64_t kSecondEpoch = NextEpoch(kFirstEpoch);
constexpr int64_t kThirdEpoch = NextEpoch(kSecondEpoch);

LeadershipView View(Duration view_age, Duration silence) {
  LeadershipView view;
  view.planner = {4, "other", "10.0.0.1:7000"};
  view.freshness.requested_at = kNow - view_age;
  view.newest_record_at = kNow - silence;
  return view;
}

TEST(ShouldClaim, DoesNotClaimWhilePlannerIsActive) {
  EXPECT_FALSE(ShouldClaim(View(milliseconds(100), milliseconds(300)), Time{}, kSilenceTimeout,
                           kMaxViewAge, kNow));
}

TEST(ShouldClaim, ClaimsAfterSilenceTimeout) {
  EXPECT_TRUE(ShouldClaim(View(milliseconds(100), milliseconds(1300)), Time{}, kSilenceTimeout,
                          kMaxViewAge, kNow));
}

TEST(ShouldClaim, ClaimsImmediatelyAfterRelease) {
  LeadershipView view = View(milliseconds(100), milliseconds(10));
  view.planner.address.clear();
  EXPECT_TRUE(ShouldClaim(view, Time{}, kSilenceTimeout, kMaxViewAge, kNow));
}

// An entry that was disconnected reads nothing of a healthy planner. Its first check after
// reconnecting must not depose that planner.
TEST(ShouldClaim, IgnoresSilenceWhileDisconnected) {
  const LeadershipView view = View(milliseconds(100), milliseconds(9000));
  EXPECT_FALSE(ShouldClaim(view, kNow - milliseconds(200), kSilenceTimeout, kMaxViewAge, kNow));
}

TEST(ShouldClaim, DoesNotClaimOnStaleView) {
  EXPECT_FALSE(ShouldClaim(View(milliseconds(2000), milliseconds(5000)), Time{}, kSilenceTimeout,
                           kMaxViewAge, kNow));
}

// Each change of planner may leave a former one behind that grants leases. A planner that restarted
// or released the leadership answers for itself only.
TEST(FormerPlanners, KeepsThoseThatThePredecessorWaitedFor) {
  const PlannerRecord oldest = {1, "a", "a:1"};
  const auto nodes = [](const std::vector<PlannerRecord>& planners) {
    std::vector<std::string> found;
    found.reserve(planners.size());
    for (const PlannerRecord& planner : planners) found.push_back(planner.node);
    return found;
  };
  const PlannerRecord record = DecodePlanner(EncodePlanner({2, "b", "b:1", {oldest}}));
  EXPECT_EQ(nodes(FormerPlanners(record, "c")), std::vector<std::string>({"a", "b"}));
  EXPECT_EQ(nodes(FormerPlanners(record, "b")), std::vector<std::string>({"a"}));
  EXPECT_EQ(nodes(FormerPlanners({2, "", "", {oldest}}, "c")), std::vector<std::string>({"a"}));
  EXPECT_TRUE(FormerPlanners({}, "c").empty());
}

// A new process of an entry has to wait for the starts of its former one, also if another planner
// has followed that one since, or it has released the leadership while starts were under way.
TEST(NamesPlannerOf, KnowsAllPlannersThatMayNotBeSettled) {
  const PlannerRecord oldest = {1, "a", "a:1"};
  const PlannerRecord record = {2, "b", "b:1", {oldest}};
  EXPECT_TRUE(NamesPlannerOf(record, "b"));
  EXPECT_TRUE(NamesPlannerOf(record, "a"));
  EXPECT_FALSE(NamesPlannerOf(record, "c"));
  EXPECT_TRUE(NamesPlannerOf({2, "", "", {oldest}}, "a"));
  EXPECT_FALSE(NamesPlannerOf({2, "", "", {}}, "a"));
}

// Connector that reaches no address.
class UnreachableConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    throw Error(ErrorKind::kUnavailable, "nobody answers");
  }
};

// Connects to entries in this process by their announced addresses.
class LocalConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration /*limit*/) override {
    const auto found = gates_.find(address);
    if (found == gates_.end()) throw Error(ErrorKind::kUnavailable, "nobody answers");
    return std::make_shared<LocalPlannerClient>(found->second);
  }
  void Add(const std::string& address, PlannerGate* gate) { gates_[address] = gate; }

 private:
  std::map<std::string, PlannerGate*> gates_;
};

// The parts of an entry that take part in the election.
struct Candidate {
  Candidate(KeyedLog* log, const std::string& node) : Candidate(log, node, nullptr) {}
  // `connected_entries`: the entries that this candidate can reach; null: none.
  Candidate(KeyedLog* log, const std::string& node, LocalConnector* connected_entries,
            const PlannerServiceOptions& service_options = {}, ElectorOptions options = {},
            Duration work_idle_interval = {})
      : work(log, work_idle_interval),
        operators(log, std::make_unique<platform::OperatorRecordDecoder>()),
        members(log, milliseconds(200)),
        service(service_options, log, &operators, &members, &metrics) {
    options.node = node;
    options.address = node + ":1";
    if (connected_entries != nullptr) connected_entries->Add(options.address, &service);
    PlannerConnector* reached = &connector;
    if (connected_entries != nullptr) reached = connected_entries;
    elector = std::make_unique<PlannerElector>(options, log, PoolViews{&work, &operators, &members},
                                               reached, &service);
  }

  MetricsRegistry metrics;
  UnreachableConnector connector;
  WorkView work;
  OperatorView operators;
  MembersView members;
  PlannerService service;
  std::unique_ptr<PlannerElector> elector;
};

template <typename Condition>
bool Eventually(Condition&& condition) {
  const Time end = LeaseClock().Now() + std::chrono::seconds(30);
  while (LeaseClock().Now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

// Several entries start on an empty store and all claim the first epoch. If two claims had the same
// sequence number, the store would treat the second as a retry of the first and return the same
// answer, and two planners would each accept jobs unknown to the other.
TEST(PlannerElector, ElectsOneOfSeveralConcurrentClaimants) {
  for (int round = 0; round < 2; ++round) {
    MemoryKeyedLog log;
    std::vector<std::unique_ptr<Candidate>> entries;
    for (const char* node : {"a", "b", "c"}) {
      entries.push_back(std::make_unique<Candidate>(&log, node));
    }
    const auto planners = [&] {
      int count = 0;
      for (const auto& entry : entries) count += entry->service.epoch() > 0;
      return count;
    };
    ASSERT_TRUE(Eventually([&] { return planners() > 0; }));
    ASSERT_TRUE(Eventually([&] {
      return std::all_of(entries.begin(), entries.end(), [](const auto& entry) {
        return entry->work.leadership().planner.epoch > 0;
      });
    }));
    EXPECT_EQ(planners(), 1);
  }
}

// Newest record under the planner's key in the topic.
PlannerRecord AnnouncedIn(const char* topic, MemoryKeyedLog* log) {
  for (const KeyedRecord& record : log->Newest(topic, "", std::chrono::seconds(1)).records) {
    if (record.key == kPlannerKey) return DecodePlanner(record.value);
  }
  return {};
}

// Guards against a record of another writer that stays in place of the planner's announcement, also
// where the writer has used the planners' name and a higher epoch, so that the store refuses
// announcements under the planner's own.
TEST(PlannerElector, AnnouncesItselfAgainAfterAForeignRecord) {
  MemoryKeyedLog log;
  Candidate entry(&log, "a");
  ASSERT_TRUE(Eventually([&] { return AnnouncedIn(kMembersTopic, &log).node == "a"; }));
  const std::string foreign = EncodePlanner({kThirdEpoch, "ghost", "127.0.0.1:9"});
  for (const AppendGuard& guard :
       {AppendGuard{}, AppendGuard{std::nullopt, kPlannerProducer, kThirdEpoch, 1}}) {
    for (const char* topic : {kPlannerTopic, kMembersTopic}) {
      log.Append(topic, {{kPlannerKey, foreign, kNoOffset}}, guard, std::chrono::seconds(1));
    }
    for (const char* topic : {kPlannerTopic, kMembersTopic}) {
      EXPECT_TRUE(Eventually([&] { return AnnouncedIn(topic, &log).node == "a"; })) << topic;
    }
    EXPECT_TRUE(Eventually([&] { return entry.members.membership()->IsCurrentFor(kFirstEpoch); }));
  }
  EXPECT_EQ(entry.service.epoch(), kFirstEpoch);
}

// A connection to the store that can lose the work topic alone.
class CutWorkLog : public KeyedLog {
 public:
  explicit CutWorkLog(KeyedLog* log) : log_(log) {}
  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override {
    RequireReachable(topic);
    return log_->Newest(topic, after, timeout);
  }
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override {
    RequireReachable(topic);
    KeyedBatch batch = log_->Read(topic, from, wait, timeout);
    RequireReachable(topic);
    return batch;
  }
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override {
    RequireReachable(topic);
    return log_->Append(topic, records, guard, timeout);
  }
  void Cut() { cut_.store(true); }

 private:
  void RequireReachable(const std::string& topic) const {
    if (!cut_.load() || topic != kWorkTopic) return;
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "the work topic is out of reach");
  }

  KeyedLog* const log_;
  std::atomic<bool> cut_{false};
};

// Guards against a planner that takes its successor's announcement for a foreign one because it has
// not read of the successor's claim.
TEST(PlannerElector, LeavesTheAnnouncementOfASuccessorInPlace) {
  MemoryKeyedLog log;
  CutWorkLog first_log(&log);
  ElectorOptions options;
  // The planner must not be kept from it by the age of its view alone.
  options.max_view_age = std::chrono::seconds(60);
  Candidate first(&first_log, "a", nullptr, {}, options);
  ASSERT_TRUE(Eventually([&] { return AnnouncedIn(kMembersTopic, &log).node == "a"; }));
  Candidate second(&log, "b");
  first_log.Cut();
  ASSERT_TRUE(Eventually([&] { return AnnouncedIn(kMembersTopic, &log).node == "b"; }));
  ASSERT_TRUE(Eventually([&] { return first.members.planner().node == "b"; }));
  // Several checks of the planner topic.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  EXPECT_EQ(first.service.epoch(), kFirstEpoch);
  EXPECT_EQ(AnnouncedIn(kPlannerTopic, &log).node, "b");
  EXPECT_EQ(AnnouncedIn(kMembersTopic, &log).node, "b");
}

// Guards against a pool that nobody plans any more because of a record in the work topic whose
// epoch can have no successor, or that can't be read. The planner before is unknown to whoever
// claims.
TEST(PlannerElector, ClaimsOverARecordWithoutASuccessor) {
  const PlannerRecord last = {membership::kEpochLimit - 1, "ghost", "127.0.0.1:9"};
  const PlannerRecord impossible = {int64_t{1} << 62, "ghost", "127.0.0.1:99999"};
  for (const std::string& foreign :
       {EncodePlanner(last), EncodePlanner(impossible), std::string("{")}) {
    MemoryKeyedLog log;
    {
      const Candidate former(&log, "a");
      ASSERT_TRUE(Eventually([&] { return AnnouncedIn(kMembersTopic, &log).node == "a"; }));
    }
    log.Append(kWorkTopic, {{kPlannerKey, foreign, kNoOffset}}, {}, std::chrono::seconds(1));
    const Candidate next(&log, "b");
    EXPECT_TRUE(Eventually([&] { return AnnouncedIn(kMembersTopic, &log).node == "b"; }));
    const PlannerRecord claim = AnnouncedIn(kWorkTopic, &log);
    EXPECT_EQ(claim.epoch, kSecondEpoch);
    EXPECT_FALSE(claim.former.empty());
  }
}

ElectorOptions WeakVm() {
  ElectorOptions options;
  options.planning_capacity = 1;
  return options;
}

// Registers two agents, more than a weak entry can plan for.
void ListAgents(MemoryKeyedLog* log) {
  for (const char* key : {"agent/x", "agent/y"}) {
    log->Append(kMembersTopic, {{key, "a", kNoOffset}}, {}, std::chrono::seconds(1));
  }
}

TEST(ShouldClaim, WaitsClaimDelayForBetterSuitedVm) {
  LeadershipView view = View(milliseconds(100), milliseconds(1300));
  EXPECT_FALSE(ShouldClaim(view, Time{}, kSilenceTimeout, kMaxViewAge, kNow, milliseconds(600)));
  view.planner.address.clear();
  view.newest_record_at = kNow - milliseconds(500);
  EXPECT_FALSE(ShouldClaim(view, Time{}, kSilenceTimeout, kMaxViewAge, kNow, milliseconds(600)));
  EXPECT_TRUE(ShouldClaim(View(milliseconds(100), milliseconds(1900)), Time{}, kSilenceTimeout,
                          kMaxViewAge, kNow, milliseconds(600)));
}

// A pool of hundreds of workers used to be planned by whichever entry claimed first; an entry with
// an eighth of a core never caught up.
TEST(PlannerElector, HandsLeadershipOverToBetterSuitedVm) {
  MemoryKeyedLog log;
  ListAgents(&log);
  LocalConnector connected_entries;
  Candidate weak(&log, "a", &connected_entries, {}, WeakVm());
  ASSERT_TRUE(Eventually([&] { return weak.service.epoch() == kFirstEpoch; }));
  Candidate strong(&log, "b", &connected_entries);
  ASSERT_TRUE(Eventually([&] { return strong.service.epoch() == kSecondEpoch; }));
  EXPECT_EQ(weak.service.epoch(), 0);
}

// The only better suited entry is registered but gone. If the others waited for it, the pool would
// have no planner.
TEST(PlannerElector, PlansOnWeakVmIfBetterSuitedVmIsGone) {
  MemoryKeyedLog log;
  ListAgents(&log);
  const EntryRecord missing_entry = {"gone", "a", "gone:1", membership::kUnlimitedCapacity};
  log.Append(kMembersTopic, {{"entry/gone", EncodeEntry(missing_entry), kNoOffset}}, {},
             std::chrono::seconds(1));
  Candidate weak(&log, "a", nullptr, {}, WeakVm());
  ASSERT_TRUE(Eventually([&] { return weak.service.epoch() == kFirstEpoch; }));
  // The weak entry offers its leadership to the missing one, which can't accept.
  ASSERT_TRUE(Eventually([&] { return weak.members.entries().size() == 2; }));
  const Time end = LeaseClock().Now() + milliseconds(2500);
  while (LeaseClock().Now() < end) ASSERT_EQ(weak.service.epoch(), kFirstEpoch);
}

// Makes the store reject the first planner and waits until `second` has taken over.
void FailOver(FaultyKeyedLog* log_of_first, const Candidate& second) {
  log_of_first->SetFaults({true, false});
  ASSERT_TRUE(Eventually([&] { return second.service.epoch() == kSecondEpoch; }));
}

// Passes all calls on to another log.
class ForwardingLog : public KeyedLog {
 public:
  explicit ForwardingLog(KeyedLog* log) : log_(log) {}

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override {
    return log_->Newest(topic, after, timeout);
  }
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override {
    return log_->Read(topic, from, wait, timeout);
  }
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override {
    return log_->Append(topic, records, guard, timeout);
  }

 private:
  KeyedLog* const log_;
};

// Log whose members topic can't be read until MakeReadable() is called.
class UnreadableMembersLog : public ForwardingLog {
 public:
  using ForwardingLog::ForwardingLog;

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override {
    if (topic == kMembersTopic && unreadable_.load()) {
      refused_.fetch_add(1);
      throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "not now");
    }
    return ForwardingLog::Newest(topic, after, timeout);
  }

  void MakeReadable() { unreadable_.store(false); }
  int refused() const { return refused_.load(); }

 private:
  std::atomic<bool> unreadable_{true};
  std::atomic<int> refused_{0};
};

// Log that holds the first append to the work topic, a claim, until it is let through.
class HeldClaimLog : public ForwardingLog {
 public:
  using ForwardingLog::ForwardingLog;

  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override {
    if (topic == kWorkTopic && !claimed_.exchange(true)) {
      claim_.set_value();
      let_through_.get_future().wait();
    }
    return ForwardingLog::Append(topic, records, guard, timeout);
  }

  void AwaitClaim() { claim_.get_future().wait(); }
  void LetThrough() { let_through_.set_value(); }

 private:
  std::atomic<bool> claimed_{false};
  std::promise<void> claim_;
  std::promise<void> let_through_;
};

// An entry is asked to stop while its claim is on its way to the store. If it kept the leadership,
// the pool would be without a planner from the end of the process until the silence time-out.
TEST(PlannerElector, ReleasesALeadershipThatItGainsWhileLeaving) {
  MemoryKeyedLog log;
  HeldClaimLog held_log(&log);
  Candidate entry(&held_log, "a");
  held_log.AwaitClaim();
  entry.elector->Leave();
  entry.service.Release(kReleaseLimit);
  held_log.LetThrough();
  const auto released = [&] {
    const PlannerRecord planner = entry.work.leadership().planner;
    return planner.epoch == kFirstEpoch && planner.address.empty();
  };
  EXPECT_TRUE(Eventually(released));
  EXPECT_TRUE(Eventually([&] { return entry.service.epoch() == 0; }));
}

// All processes are killed while workers continue, and an entry restarts that has read the jobs but
// not yet the agents. If it became leader now, it would wait for no agent and immediately restart
// tasks that still run on the workers.
TEST(PlannerElector, DoesNotBecomeActiveBeforeReadingAgents) {
  MemoryKeyedLog log;
  log.Append(kMembersTopic, {{"agent/x", "a", kNoOffset}}, {}, std::chrono::seconds(1));
  UnreadableMembersLog restricted_log(&log);
  Candidate entry(&restricted_log, "a");
  constexpr int kTries = 20;
  ASSERT_TRUE(
      Eventually([&] { return entry.service.epoch() > 0 || restricted_log.refused() >= kTries; }));
  EXPECT_EQ(entry.service.epoch(), 0);
  restricted_log.MakeReadable();
  EXPECT_TRUE(Eventually([&] { return entry.service.epoch() > 0; }));
}

// Log that carries out the first append to the work topic, a claim, and then serves nothing of the
// members topic until MakeReadable() is called.
class UnreadableAfterClaimLog : public ForwardingLog {
 public:
  using ForwardingLog::ForwardingLog;

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override {
    if (topic == kMembersTopic && claims_.load() > 0 && unreadable_.load()) {
      throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "not now");
    }
    return ForwardingLog::Newest(topic, after, timeout);
  }
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override {
    const AppendResult result = ForwardingLog::Append(topic, records, guard, timeout);
    if (topic == kWorkTopic) claims_.fetch_add(1);
    return result;
  }

  void MakeReadable() { unreadable_.store(false); }
  int claims() const { return claims_.load(); }

 private:
  std::atomic<bool> unreadable_{true};
  std::atomic<int> claims_{0};
};

// A running job with one task, in the store, and a worker that reports to the planner and could run
// the task.
class InheritedTask {
 public:
  explicit InheritedTask(MemoryKeyedLog* log) {
    JobSpec job;
    job.id = "j";
    job.terms.service = "plans";
    job.steps.emplace_back();
    job.steps.front().tasks = 1;
    JobProgress progress;
    progress.state = JobState::kRunning;
    log->Append(kWorkTopic,
                {{"j/j", EncodeSpec(job), kNoOffset}, {"p/j", EncodeProgress(progress), kNoOffset}},
                {}, std::chrono::seconds(1));
    log->Append(kMembersTopic, {{"agent/n", "a", kNoOffset}, {"agent/missing", "a", kNoOffset}}, {},
                std::chrono::seconds(1));
    report_.node = "n";
    report_.incarnation = "1";
    report_.worker.id = "w";
    report_.worker.start_time_ms = 1;
    report_.worker.service = "plans";
    report_.worker.capacity = {64'000, 131'072, 8};
    report_.worker.reachable = true;
  }

  // Whether the planner orders a start of the task within `limit`.
  bool IsStartedWithin(Duration limit, PlannerService* service) {
    const Time end = LeaseClock().Now() + limit;
    while (LeaseClock().Now() < end) {
      ++report_.sequence;
      report_.epoch = service->epoch();
      try {
        LocalPlannerClient client(service);
        if (!client.Exchange(report_, std::chrono::seconds(5)).starts.empty()) return true;
      } catch (const Error&) {
        // There is no planner at the moment.
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

 private:
  AgentReport report_;
};

constexpr Duration kShortLease = milliseconds(100);

// Leases expire soon after a former planner has stepped down, and much later if it has not.
PlannerServiceOptions ShortLeases() {
  PlannerServiceOptions options;
  options.planner.lease_duration = kShortLease;
  options.planner.lease_margin = Duration::zero();
  return options;
}

// Ten leases: a planner that waited only for the leases of a predecessor that is gone would have
// started the task.
constexpr Duration kLongAfterLeases = 10 * kShortLease;

// A claim takes effect, but the entry does not learn enough to become active and claims again, this
// time on its own record. The planner that was active before has lost the store and still grants
// leases. If the entry took its own record for the only predecessor, it would start tasks that run
// on under those leases.
TEST(PlannerElector, WaitsForThePlannerBeforeItsOwnFailedClaim) {
  MemoryKeyedLog log;
  InheritedTask task(&log);
  FaultyKeyedLog faulty_log(&log);
  LocalConnector connected_entries;
  Candidate first(&faulty_log, "a", &connected_entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  UnreadableAfterClaimLog claiming_log(&log);
  // Reaches no other entry.
  LocalConnector no_entries;
  Candidate second(&claiming_log, "b", &no_entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return second.members.agent_count() == 2; }));
  faulty_log.SetFaults({true, false});
  ASSERT_TRUE(Eventually([&] { return claiming_log.claims() > 0; }));
  claiming_log.MakeReadable();
  ASSERT_TRUE(Eventually([&] { return second.service.epoch() > kSecondEpoch; }));
  EXPECT_EQ(first.service.epoch(), kFirstEpoch);
  EXPECT_FALSE(task.IsStartedWithin(kLongAfterLeases, &second.service));
}

// A planner takes over from one that it can't reach, and is stopped in order soon after. Its
// release says that it grants no more leases, not that the planner before it grants none.
TEST(PlannerElector, WaitsForThePlannerBeforeAReleasedLeadership) {
  MemoryKeyedLog log;
  InheritedTask task(&log);
  FaultyKeyedLog faulty_log(&log);
  LocalConnector connected_entries;
  Candidate first(&faulty_log, "a", &connected_entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  LocalConnector no_entries;
  Candidate second(&log, "b", &no_entries, ShortLeases());
  FailOver(&faulty_log, second);
  second.elector->Leave();
  second.service.Release(kReleaseLimit);
  Candidate third(&log, "c", &no_entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return third.service.epoch() == kThirdEpoch; }));
  EXPECT_EQ(first.service.epoch(), kFirstEpoch);
  EXPECT_FALSE(task.IsStartedWithin(kLongAfterLeases, &third.service));
}

// Once every former planner has confirmed that it has stepped down, inherited tasks wait for one
// lease only, also after a second change of planner.
TEST(PlannerElector, WaitsForOneLeaseOnceAllFormerPlannersAreGone) {
  MemoryKeyedLog log;
  InheritedTask task(&log);
  FaultyKeyedLog faulty_log(&log);
  LocalConnector connected_entries;
  Candidate first(&faulty_log, "a", &connected_entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  Candidate second(&log, "b", &connected_entries, ShortLeases());
  FailOver(&faulty_log, second);
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 0; }));
  second.elector->Leave();
  second.service.Release(kReleaseLimit);
  Candidate third(&log, "c", &connected_entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return third.service.epoch() == kThirdEpoch; }));
  EXPECT_TRUE(task.IsStartedWithin(std::chrono::seconds(5), &third.service));
}

// The planner's process dies, and its entry runs again under its address before the successor asks
// there. The new process does not know which starts its predecessor has ordered and which leases it
// was told of, and answered that it plans no more.
TEST(PlannerElector, WaitsForAPlannerWhoseEntryHasANewProcess) {
  MemoryKeyedLog log;
  InheritedTask task(&log);
  log.Append(kWorkTopic, {{kPlannerKey, EncodePlanner({kFirstEpoch, "a", "a:1"}), kNoOffset}},
             {std::nullopt, kPlannerProducer, kFirstEpoch, 1}, std::chrono::seconds(1));
  MetricsRegistry metrics;
  OperatorView operators(&log, std::make_unique<platform::OperatorRecordDecoder>());
  MembersView members(&log, milliseconds(200));
  PlannerService restarted(ShortLeases(), &log, &operators, &members, &metrics);
  LocalConnector entries;
  entries.Add("a:1", &restarted);
  Candidate successor(&log, "b", &entries, ShortLeases());
  ASSERT_TRUE(Eventually([&] { return successor.service.epoch() == kSecondEpoch; }));
  EXPECT_FALSE(task.IsStartedWithin(kLongAfterLeases, &successor.service));
}

// The new process confirms it once no start of its former process can be under way any more.
TEST(PlannerElector, LearnsFromANewProcessThatItsFormerOneIsGone) {
  MemoryKeyedLog log;
  PlannerServiceOptions options = ShortLeases();
  options.planner.start_window = milliseconds(100);
  options.planner.order_time = milliseconds(100);
  options.planner.longest_lease = 2 * kShortLease;
  MetricsRegistry metrics;
  OperatorView operators(&log, std::make_unique<platform::OperatorRecordDecoder>());
  MembersView members(&log, milliseconds(200));
  PlannerService restarted(options, &log, &operators, &members, &metrics);
  const Time settled_at = restarted.former_process_settled_at();
  EXPECT_TRUE(Eventually([&] {
    try {
      LocalPlannerClient(&restarted).Yield({kSecondEpoch, "b", "b:1"}, std::chrono::seconds(5));
      return true;
    } catch (const Error&) {
      return false;
    }
  }));
  EXPECT_GE(LeaseClock().Now(), settled_at);
}

constexpr Duration kAgentSilenceLimit = milliseconds(300);

// Agents are removed from the members soon after they were heard last.
ElectorOptions ShortSilence() {
  ElectorOptions options;
  options.agent_silence_limit = kAgentSilenceLimit;
  options.agent_forget_grace_period = milliseconds(500);
  return options;
}

bool IsListed(MemoryKeyedLog* log, const std::string& node) {
  const KeyedPage page = log->Newest(kMembersTopic, "", std::chrono::seconds(1));
  return std::any_of(page.records.begin(), page.records.end(),
                     [&](const KeyedRecord& record) { return record.key == kAgentPrefix + node; });
}

void ListAgent(MemoryKeyedLog* log, const std::string& node) {
  log->Append(kMembersTopic, {{kAgentPrefix + node, "a", kNoOffset}}, {}, std::chrono::seconds(1));
}

// Log that never answers the first removal of agents and carries it out once asked to.
class LateRemovalLog : public ForwardingLog {
 public:
  explicit LateRemovalLog(KeyedLog* log) : ForwardingLog(log) {}

  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override {
    const bool removal = topic == kMembersTopic && records.front().value.empty();
    if (!removal) return ForwardingLog::Append(topic, records, guard, timeout);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!late_.empty()) return ForwardingLog::Append(topic, records, guard, timeout);
    late_ = records;
    guard_ = guard;
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "no answer");
  }

  bool has_late_removal() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return !late_.empty();
  }
  void CarryOut() {
    const std::lock_guard<std::mutex> lock(mutex_);
    try {
      ForwardingLog::Append(kMembersTopic, late_, guard_, std::chrono::seconds(1));
    } catch (const Error&) {
      // Its condition no longer holds.
    }
  }

 private:
  mutable std::mutex mutex_;
  std::vector<KeyedRecord> late_;
  AppendGuard guard_;
};

// An agent that was silent is removed from the members and heard again. It has lost the store, so
// it can't register again. If the planner started tasks on its worker and died, its successor would
// start them elsewhere immediately, since it would wait for no agent that is not listed.
TEST(PlannerElector, StartsNothingOnAnAgentThatWasRemovedFromTheMembers) {
  MemoryKeyedLog log;
  InheritedTask task(&log);
  Candidate planner(&log, "a", nullptr, ShortLeases(), ShortSilence());
  ASSERT_TRUE(Eventually([&] { return !IsListed(&log, "n"); }));
  EXPECT_FALSE(task.IsStartedWithin(std::chrono::seconds(1), &planner.service));
  ListAgent(&log, "n");
  EXPECT_TRUE(task.IsStartedWithin(std::chrono::seconds(5), &planner.service));
}

// The store leaves a removal unanswered and carries it out seconds later, when the agent is heard
// and has registered again. A removal at that moment would hide the agent from a successor.
TEST(PlannerElector, DoesNotRemoveAnAgentLateThatHasRegisteredAgain) {
  MemoryKeyedLog log;
  InheritedTask task(&log);
  LateRemovalLog late_log(&log);
  Candidate planner(&late_log, "a", nullptr, ShortLeases(), ShortSilence());
  ASSERT_TRUE(Eventually([&] { return late_log.has_late_removal(); }));
  EXPECT_FALSE(task.IsStartedWithin(milliseconds(500), &planner.service));
  ListAgent(&log, "n");
  EXPECT_TRUE(task.IsStartedWithin(std::chrono::seconds(5), &planner.service));
  late_log.CarryOut();
  EXPECT_TRUE(IsListed(&log, "n"));
}

// Log that can be cut from all but the appends to the members topic.
class FrozenReaderLog : public ForwardingLog {
 public:
  using ForwardingLog::ForwardingLog;

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override {
    RequireNotFrozen();
    return ForwardingLog::Newest(topic, after, timeout);
  }
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override {
    RequireNotFrozen();
    KeyedBatch batch = ForwardingLog::Read(topic, from, wait, timeout);
    RequireNotFrozen();
    return batch;
  }
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override {
    if (topic != kMembersTopic) RequireNotFrozen();
    return ForwardingLog::Append(topic, records, guard, timeout);
  }

  void Freeze() { frozen_.store(true); }

 private:
  void RequireNotFrozen() const {
    if (!frozen_.load()) return;
    throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "not now");
  }

  std::atomic<bool> frozen_{false};
};

// A planner stood still, has not noticed its successor yet, and has heard no agent for long. If it
// removed the agents, which are at work for its successor, the next change of planner would wait
// for none of them.
TEST(PlannerElector, RemovesNoAgentsOfItsSuccessor) {
  MemoryKeyedLog log;
  FrozenReaderLog frozen_log(&log);
  ElectorOptions options = ShortSilence();
  options.agent_forget_grace_period = std::chrono::seconds(4);
  Candidate first(&frozen_log, "a", nullptr, ShortLeases(), options);
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  ListAgent(&log, "n");
  ASSERT_TRUE(Eventually([&] { return first.members.agent_count() == 1; }));
  frozen_log.Freeze();
  Candidate second(&log, "b");
  ASSERT_TRUE(Eventually([&] { return second.service.epoch() == kSecondEpoch; }));
  const Time end = LeaseClock().Now() + std::chrono::seconds(5);
  while (LeaseClock().Now() < end) {
    ASSERT_TRUE(IsListed(&log, "n"));
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_EQ(first.service.epoch(), kFirstEpoch);
}

// The store rejects the planner's VM and serves the others. One of them takes over, and the old
// planner learns of it as soon as the store answers it again.
TEST(PlannerElector, FailsOverWhenPlannerLosesStore) {
  MemoryKeyedLog log;
  FaultyKeyedLog faulty_log(&log);
  Candidate first(&faulty_log, "a");
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  Candidate second(&log, "b");
  FailOver(&faulty_log, second);
  faulty_log.SetFaults({});
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 0; }));
  EXPECT_EQ(second.service.epoch(), kSecondEpoch);
}

// The store rejects the planner's VM for a long time, but agents and entries still reach that VM.
// Until the planner learned that it had been succeeded, agents that had lost the store too stayed
// with it, and the new planner could neither use their workers nor restart tasks that they might
// run.
TEST(PlannerElector, NotifiesPredecessorThatLostStore) {
  MemoryKeyedLog log;
  FaultyKeyedLog faulty_log(&log);
  LocalConnector connected_entries;
  Candidate first(&faulty_log, "a", &connected_entries);
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  Candidate second(&log, "b", &connected_entries);
  FailOver(&faulty_log, second);
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 0; }));
  AgentReport report;
  report.node = "agent";
  const AgentOrders orders =
      LocalPlannerClient(&first.service).Exchange(report, std::chrono::seconds(5));
  EXPECT_EQ(orders.planner_epoch, kSecondEpoch);
  EXPECT_EQ(orders.planner_address, "b:1");
}

// A planner that lost the store does not know what its successor has accepted, and must not answer
// a cancellation with "not found".
TEST(PlannerElector, PlannerWithoutStoreDoesNotReportUnknownJob) {
  MemoryKeyedLog log;
  FaultyKeyedLog faulty_log(&log);
  Candidate first(&faulty_log, "a");
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == kFirstEpoch; }));
  Candidate second(&log, "b");
  FailOver(&faulty_log, second);
  JobSpec job;
  job.id = "j";
  job.steps.emplace_back();
  LocalPlannerClient(&second.service).Submit(job, std::chrono::seconds(30));
  try {
    LocalPlannerClient(&first.service).Cancel("j", std::chrono::seconds(30));
    FAIL() << "a planner without the store has cancelled a job";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kLogUnavailable) << error.what();
  }
}

// The store carries out requests but its answers are lost. The planner repeats the append under the
// same sequence number, and nothing is written twice.
TEST(PlannerElector, StaysActiveWhileStoreAnswersAreLost) {
  MemoryKeyedLog log;
  FaultyKeyedLog faulty_log(&log);
  Candidate planner(&faulty_log, "a");
  ASSERT_TRUE(Eventually([&] { return planner.service.epoch() == kFirstEpoch; }));
  faulty_log.SetFaults({false, true});
  std::this_thread::yield();
  faulty_log.SetFaults({});
  const int64_t appends = log.appends();
  ASSERT_TRUE(Eventually([&] { return log.appends() > appends + 1; }));
  EXPECT_EQ(planner.service.epoch(), kFirstEpoch);
}

// The store turns the planner's VM away and serves the others. Callers were refused until the
// others noticed the planner's silence.
TEST(PlannerElector, TakesOverFromAPlannerThatTheStoreRejects) {
  MemoryKeyedLog log;
  FaultyKeyedLog link(&log);
  LocalConnector connector;
  ElectorOptions options;
  // Silence plays no part.
  options.silence_timeout = std::chrono::hours(1);
  Candidate planner(&link, "a", &connector, {}, options);
  ASSERT_TRUE(Eventually([&] { return planner.service.epoch() > 0; }));
  Candidate standby(&log, "b", &connector, {}, options);
  ASSERT_TRUE(Eventually([&] { return planner.members.entries().size() == 2; }));
  link.SetFaults({true, false});
  EXPECT_TRUE(Eventually([&] { return standby.service.epoch() > 0; }));
  EXPECT_TRUE(Eventually([&] { return planner.service.epoch() == 0; }));
}

// Only a rejection proves that the store serves others. A slow store serves nobody better, and each
// change of planner costs time.
TEST(PlannerElector, KeepsAPlannerWhoseAnswersAreLost) {
  MemoryKeyedLog log;
  FaultyKeyedLog link(&log);
  Candidate planner(&link, "a");
  ASSERT_TRUE(Eventually([&] { return planner.service.epoch() > 0; }));
  const int64_t before = planner.metrics.counter("store_append_failures").value();
  link.SetFaults({false, true});
  ASSERT_TRUE(Eventually(
      [&] { return planner.metrics.counter("store_append_failures").value() > before + 2; }));
  EXPECT_FALSE(planner.service.rejected_since());
}

// Two stronger entries of the zone are listed, so that a weak one does not stand by.
void ListStandbys(KeyedLog* log) {
  for (const char* node : {"s1", "s2"}) {
    const EntryRecord entry = {node, "", std::string(node) + ":1", membership::kUnlimitedCapacity};
    log->Append(kMembersTopic, {{kEntryPrefix + std::string(node), EncodeEntry(entry)}}, {},
                std::chrono::seconds(1));
  }
}

ElectorOptions OptionsOfRankTwo() {
  ElectorOptions options = WeakVm();
  options.silence_timeout = milliseconds(300);
  options.claim_delay = Duration::zero();
  return options;
}

// The planner and all standbys are lost at the same moment. The other entries look at the work
// topic rarely, but one of them must take over.
TEST(PlannerElector, TakesOverWhereAllStandbysAreLost) {
  MemoryKeyedLog log;
  ListStandbys(&log);
  log.Append(kWorkTopic, {{kPlannerKey, EncodePlanner({1, "s1", "s1:1"})}}, {},
             std::chrono::seconds(1));
  Candidate entry(&log, "w", nullptr, {}, OptionsOfRankTwo(), milliseconds(400));
  EXPECT_TRUE(Eventually([&] { return entry.service.epoch() > 0; }));
}

// An entry that looks rarely sees records that are as old as its interval. If it took their age for
// silence, it would depose a planner that works.
TEST(PlannerElector, LeavesAPlannerWhoseRecordsItReadsRarely) {
  MemoryKeyedLog log;
  ListStandbys(&log);
  log.Append(kWorkTopic, {{kPlannerKey, EncodePlanner({1, "s1", "s1:1"})}}, {},
             std::chrono::seconds(1));
  std::atomic<bool> stopping{false};
  Thread planner("planner", [&] {
    while (!stopping.load()) {
      log.Append(kWorkTopic, {{kHeartbeatKey, "1"}}, {}, std::chrono::seconds(1));
      std::this_thread::sleep_for(milliseconds(20));
    }
  });
  {
    Candidate entry(&log, "w", nullptr, {}, OptionsOfRankTwo(), milliseconds(1200));
    // Three reads of the topic.
    const Time begin = LeaseClock().Now();
    ASSERT_TRUE(Eventually([&] {
      return entry.work.freshness().requested_at.value_or(begin) > begin + milliseconds(2400);
    }));
    EXPECT_EQ(entry.service.epoch(), 0);
  }
  stopping.store(true);
  planner.Join();
}

}  // namespace
}  // namespace turmericshift::pool
