#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/operator_records.h"
#include "servers/pool/local_planner_client.h"
#include "servers/pool/planner_elector.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPatience = milliseconds(1200);
constexpr Duration kViewLimit = milliseconds(1500);
const Time kNow = Time(std::chrono::hours(2));

LeadershipView View(Duration view_age, Duration silence) {
  LeadershipView view;
  view.planner = {4, "other", "10.0.0.1:7000"};
  view.freshness.asked = kNow - view_age;
  view.newest_record_at = kNow - silence;
  return view;
}

TEST(ShouldClaim, LeavesAPlannerThatIsHeardAlone) {
  EXPECT_FALSE(
      ShouldClaim(View(milliseconds(100), milliseconds(300)), Time{}, kPatience, kViewLimit, kNow));
}

TEST(ShouldClaim, FollowsAPlannerThatFellSilent) {
  EXPECT_TRUE(ShouldClaim(View(milliseconds(100), milliseconds(1300)), Time{}, kPatience,
                          kViewLimit, kNow));
}

TEST(ShouldClaim, FollowsAPlannerThatGaveTheDutyUpAtOnce) {
  LeadershipView view = View(milliseconds(100), milliseconds(10));
  view.planner.address.clear();
  EXPECT_TRUE(ShouldClaim(view, Time{}, kPatience, kViewLimit, kNow));
}

// An entry that was cut off hears nothing of a planner that is well. Back in touch, its first look
// must not end that planner's duty.
TEST(ShouldClaim, CountsNoSilenceWhileItWasCutOff) {
  const LeadershipView view = View(milliseconds(100), milliseconds(9000));
  EXPECT_FALSE(ShouldClaim(view, kNow - milliseconds(200), kPatience, kViewLimit, kNow));
}

TEST(ShouldClaim, RestsOnAFreshView) {
  EXPECT_FALSE(ShouldClaim(View(milliseconds(2000), milliseconds(5000)), Time{}, kPatience,
                           kViewLimit, kNow));
}

// Nobody answers.
class DeafConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    throw Error(ErrorKind::kUnavailable, "nobody answers");
  }
};

// Reaches entries of this process by the addresses that they announce.
class Neighbours : public PlannerConnector {
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

// One entry as far as the duty is concerned.
struct Candidate {
  Candidate(KeyedLog* log, const std::string& node) : Candidate(log, node, nullptr) {}
  // `neighbours`: whom it reaches; null: nobody.
  Candidate(KeyedLog* log, const std::string& node, Neighbours* neighbours,
            int capacity = kUnlimitedCapacity)
      : work(log),
        operators(log, std::make_unique<platform::OperatorRecords>()),
        members(log, milliseconds(200)),
        service(PlannerServiceOptions(), log, &operators, &metrics) {
    ElectorOptions options;
    options.node = node;
    options.address = node + ":1";
    options.planning_capacity = capacity;
    if (neighbours != nullptr) neighbours->Add(options.address, &service);
    PlannerConnector* reached = &connector;
    if (neighbours != nullptr) reached = neighbours;
    keeper = std::make_unique<PlannerElector>(options, log, &work, &members, reached, &service);
  }

  MetricsRegistry metrics;
  DeafConnector connector;
  WorkView work;
  OperatorView operators;
  MembersView members;
  PlannerService service;
  std::unique_ptr<PlannerElector> keeper;
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

// Several entries start at once on an empty store and all claim the first epoch. The store takes a
// second claim under the same number for a repetition of the first and answers it alike, so that
// two planners would each take in jobs that the other never hears of.
TEST(PlannerElector, GivesTheDutyToOneOfThoseThatClaimAtOnce) {
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
      return std::all_of(entries.begin(), entries.end(),
                         [](const auto& entry) { return entry->work.duty().planner.epoch > 0; });
    }));
    EXPECT_EQ(planners(), 1);
  }
}

constexpr int kWeak = 1;

// Two agents are listed, more than a weak entry can plan for.
void ListAgents(MemoryKeyedLog* log) {
  for (const char* key : {"agent/x", "agent/y"}) {
    log->Append(kMembersTopic, {{key, "a", kNoOffset}}, {}, std::chrono::seconds(1));
  }
}

TEST(ShouldClaim, LeavesABetterVmAHeadStart) {
  LeadershipView view = View(milliseconds(100), milliseconds(1300));
  EXPECT_FALSE(ShouldClaim(view, Time{}, kPatience, kViewLimit, kNow, milliseconds(600)));
  view.planner.address.clear();
  view.newest_record_at = kNow - milliseconds(500);
  EXPECT_FALSE(ShouldClaim(view, Time{}, kPatience, kViewLimit, kNow, milliseconds(600)));
  EXPECT_TRUE(ShouldClaim(View(milliseconds(100), milliseconds(1900)), Time{}, kPatience,
                          kViewLimit, kNow, milliseconds(600)));
}

// A pool of hundreds of workers came to be planned by whichever entry claimed first, and one with
// an eighth of a core never caught up again.
TEST(PlannerElector, HandsTheDutyOnToABetterVm) {
  MemoryKeyedLog log;
  ListAgents(&log);
  Neighbours neighbours;
  Candidate weak(&log, "a", &neighbours, kWeak);
  ASSERT_TRUE(Eventually([&] { return weak.service.epoch() == 1; }));
  Candidate strong(&log, "b", &neighbours);
  ASSERT_TRUE(Eventually([&] { return strong.service.epoch() == 2; }));
  EXPECT_EQ(weak.service.epoch(), 0);
}

// The only better VM is listed and gone. The pool would be planned by nobody if it were waited for.
TEST(PlannerElector, PlansOnAWeakVmWhereTheBetterOneIsGone) {
  MemoryKeyedLog log;
  ListAgents(&log);
  const EntryRecord gone = {"gone", "a", "gone:1", kUnlimitedCapacity};
  log.Append(kMembersTopic, {{"entry/gone", EncodeEntry(gone), kNoOffset}}, {},
             std::chrono::seconds(1));
  Candidate weak(&log, "a", nullptr, kWeak);
  ASSERT_TRUE(Eventually([&] { return weak.service.epoch() == 1; }));
  // It is offered to the other in vain.
  ASSERT_TRUE(Eventually([&] { return weak.members.entries().size() == 2; }));
  const Time end = LeaseClock().Now() + milliseconds(2500);
  while (LeaseClock().Now() < end) ASSERT_EQ(weak.service.epoch(), 1);
}

// The first planner loses the store, and `second` takes the duty over.
void PassTheDuty(FaultyKeyedLog* way_of_first, const Candidate& second) {
  way_of_first->SetFaults({true, false});
  ASSERT_TRUE(Eventually([&] { return second.service.epoch() == 2; }));
}

// A log whose list of members can't be read for a while.
class HiddenMembers : public KeyedLog {
 public:
  explicit HiddenMembers(KeyedLog* log) : log_(log) {}

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override {
    if (topic == kMembersTopic && hidden_.load()) {
      refused_.fetch_add(1);
      throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "not now");
    }
    return log_->Newest(topic, after, timeout);
  }
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override {
    return log_->Read(topic, from, wait, timeout);
  }
  Appended Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                  const AppendGuard& guard, Duration timeout) override {
    return log_->Append(topic, records, guard, timeout);
  }

  void Show() { hidden_.store(false); }
  int refused() const { return refused_.load(); }

 private:
  KeyedLog* const log_;
  std::atomic<bool> hidden_{true};
  std::atomic<int> refused_{0};
};

// All processes are killed while workers run on, and an entry is back that has read the jobs and
// not yet the agents. Had it taken the duty up, it would have known of nobody to wait for, and have
// started at once what still ran on the workers.
TEST(PlannerElector, TakesNoDutyUpBeforeItKnowsTheAgents) {
  MemoryKeyedLog log;
  log.Append(kMembersTopic, {{"agent/x", "a", kNoOffset}}, {}, std::chrono::seconds(1));
  HiddenMembers hidden(&log);
  Candidate entry(&hidden, "a");
  constexpr int kTries = 20;
  ASSERT_TRUE(Eventually([&] { return entry.service.epoch() > 0 || hidden.refused() >= kTries; }));
  EXPECT_EQ(entry.service.epoch(), 0);
  hidden.Show();
  EXPECT_TRUE(Eventually([&] { return entry.service.epoch() > 0; }));
}

// The store turns the planner's VM away and serves the others. One of them takes over, and the old
// planner learns of it as soon as the store answers it again.
TEST(PlannerElector, PassesOnWhenThePlannerLosesTheStore) {
  MemoryKeyedLog log;
  FaultyKeyedLog way(&log);
  Candidate first(&way, "a");
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 1; }));
  Candidate second(&log, "b");
  PassTheDuty(&way, second);
  way.SetFaults({});
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 0; }));
  EXPECT_EQ(second.service.epoch(), 2);
}

// The store turns the planner's VM away for long, and everybody else still reaches that VM. Until
// it learned that it had been followed, agents that had lost the store too stayed with it, and the
// new planner could neither use their workers nor begin anything again that they might run.
TEST(PlannerElector, TellsAPlannerWithoutTheStoreThatItHasBeenFollowed) {
  MemoryKeyedLog log;
  FaultyKeyedLog way(&log);
  Neighbours neighbours;
  Candidate first(&way, "a", &neighbours);
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 1; }));
  Candidate second(&log, "b", &neighbours);
  PassTheDuty(&way, second);
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 0; }));
  AgentReport report;
  report.node = "agent";
  const AgentOrders orders =
      LocalPlannerClient(&first.service).Exchange(report, std::chrono::seconds(5));
  EXPECT_EQ(orders.planner_epoch, 2);
  EXPECT_EQ(orders.planner_address, "b:1");
}

// A planner that lost the store doesn't know what its successor has taken in, and must not tell the
// caller of a cancellation that there is no such job.
TEST(PlannerElector, LetsNoPlannerWithoutTheStoreSayThatAJobIsUnknown) {
  MemoryKeyedLog log;
  FaultyKeyedLog way(&log);
  Candidate first(&way, "a");
  ASSERT_TRUE(Eventually([&] { return first.service.epoch() == 1; }));
  Candidate second(&log, "b");
  PassTheDuty(&way, second);
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

// The answers of the store are lost though it does what it is asked. The planner sends the same
// append again under the same number, and nothing is written twice.
TEST(PlannerElector, KeepsTheDutyWhileAnswersAreLost) {
  MemoryKeyedLog log;
  FaultyKeyedLog way(&log);
  Candidate planner(&way, "a");
  ASSERT_TRUE(Eventually([&] { return planner.service.epoch() == 1; }));
  way.SetFaults({false, true});
  std::this_thread::yield();
  way.SetFaults({});
  const int64_t appends = log.appends();
  ASSERT_TRUE(Eventually([&] { return log.appends() > appends + 1; }));
  EXPECT_EQ(planner.service.epoch(), 1);
}

}  // namespace
}  // namespace turmericshift::pool
