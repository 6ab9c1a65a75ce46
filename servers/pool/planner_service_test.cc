#include "servers/pool/planner_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <memory>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/operator_record_decoder.h"
#include "servers/pool/local_planner_client.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAppendStallTimeout = milliseconds(20);
constexpr Duration kAnswerLimit = seconds(30);

// The answer to one attempt of a caller.
class SubmitResult {
 public:
  std::function<void(Result<Done>)> Callback() {
    return [promise = promise_](Result<Done> result) { promise->set_value(std::move(result)); };
  }
  // Returns the outcome of the error, or kRan if the record is durable.
  Outcome Wait() {
    EXPECT_EQ(future_.wait_for(kAnswerLimit), std::future_status::ready) << "never answered";
    const Result<Done> result = future_.get();
    return result.error ? result.error->outcome() : Outcome::kRan;
  }

 private:
  std::shared_ptr<std::promise<Result<Done>>> promise_ =
      std::make_shared<std::promise<Result<Done>>>();
  std::future<Result<Done>> future_ = promise_->get_future();
};

class PlannerServiceTest : public testing::Test {
 protected:
  PlannerServiceTest() {
    service_.BecomeActive(1, 1, JobTable(), {}, LeaseClock().Now());
    WaitForAppends(1);
  }

  static PlannerServiceOptions Options() {
    PlannerServiceOptions options;
    options.append_stall_timeout = kAppendStallTimeout;
    options.beat = milliseconds(5);
    return options;
  }

  static JobSpec Job(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.steps.emplace_back();
    return spec;
  }

  void WaitForAppends(int64_t more) const {
    const int64_t before = log_.appends();
    while (log_.appends() < before + more) std::this_thread::yield();
  }

  // Makes the store reject the planner. Returns when an append has failed, so that records added
  // from now on stay in the outbox.
  void BlockStore() {
    faulty_log_.SetFaults({true, false});
    const int64_t before = failures_.value();
    while (failures_.value() == before) std::this_thread::yield();
  }

  void UnblockStore() {
    faulty_log_.SetFaults({});
    WaitForAppends(2);
  }

  bool InStore(const std::string& id) {
    const KeyedPage page = log_.Newest(kWorkTopic, "", seconds(1));
    return std::any_of(page.records.begin(), page.records.end(),
                       [&](const KeyedRecord& record) { return record.key == kSpecPrefix + id; });
  }

  // Whether the planner no longer accepts calls.
  bool RejectsCalls() {
    try {
      LocalPlannerClient(&service_).Cancel("nobody's", kAnswerLimit);
    } catch (const Error& error) {
      return error.kind() == ErrorKind::kConflict;
    }
    return false;
  }

  MemoryKeyedLog log_;
  FaultyKeyedLog faulty_log_{&log_};
  OperatorView operators_{&log_, std::make_unique<platform::OperatorRecordDecoder>()};
  MetricsRegistry metrics_;
  Counter& failures_ = metrics_.counter("store_append_failures");
  MembersView members_{&log_, milliseconds(200)};
  PlannerService service_{Options(), &faulty_log_, &operators_, &members_, &metrics_};
};

// A job that was withdrawn for its first attempt must not be reported as accepted to the second.
TEST_F(PlannerServiceTest, AnswersEveryAttemptOfWithdrawnJobWithNotRun) {
  BlockStore();
  SubmitResult first;
  SubmitResult repeat;
  service_.Submit(Job("j"), first.Callback());
  service_.Submit(Job("j"), repeat.Callback());
  EXPECT_EQ(first.Wait(), Outcome::kNotRun);
  UnblockStore();
  EXPECT_EQ(repeat.Wait(), Outcome::kNotRun);
  EXPECT_FALSE(InStore("j"));
}

// A withdrawn job that is submitted again once the store is back must be accepted anew.
TEST_F(PlannerServiceTest, AcceptsWithdrawnJobAgain) {
  BlockStore();
  SubmitResult first;
  service_.Submit(Job("j"), first.Callback());
  EXPECT_EQ(first.Wait(), Outcome::kNotRun);
  UnblockStore();
  SubmitResult again;
  service_.Submit(Job("j"), again.Callback());
  EXPECT_EQ(again.Wait(), Outcome::kRan);
  EXPECT_TRUE(InStore("j"));
}

// A job whose record has been sent may still become durable, so no attempt may be told that it
// never runs.
TEST_F(PlannerServiceTest, AnswersEveryAttemptOfSentJobAlike) {
  faulty_log_.SetFaults({false, true});
  SubmitResult first;
  SubmitResult repeat;
  service_.Submit(Job("j"), first.Callback());
  while (!InStore("j")) std::this_thread::yield();
  service_.Submit(Job("j"), repeat.Callback());
  faulty_log_.SetFaults({});
  EXPECT_EQ(first.Wait(), Outcome::kRan);
  EXPECT_EQ(repeat.Wait(), Outcome::kRan);
}

// When a planner steps down with records in the outbox, every attempt must still be answered.
TEST_F(PlannerServiceTest, AnswersEveryAttemptWhenSteppingDown) {
  BlockStore();
  SubmitResult first;
  SubmitResult repeat;
  service_.Submit(Job("j"), first.Callback());
  service_.Submit(Job("j"), repeat.Callback());
  service_.StepDown("test");
  EXPECT_NE(first.Wait(), Outcome::kRan);
  EXPECT_NE(repeat.Wait(), Outcome::kRan);
}

// A claim takes so long that a successor claims as well, asks this process to step down and is told
// that it has. If the process became active after that, it would grant leases that the successor
// does not wait for.
TEST_F(PlannerServiceTest, DoesNotBecomeActiveAfterConfirmingThatItIsNot) {
  const PlannerRecord successor = {3, "b", "b:1"};
  LocalPlannerClient(&service_).Yield(successor, kAnswerLimit);
  service_.BecomeActive(2, 1, JobTable(), {}, LeaseClock().Now());
  EXPECT_EQ(service_.epoch(), 0);
  service_.BecomeActive(4, 1, JobTable(), {}, LeaseClock().Now());
  EXPECT_EQ(service_.epoch(), 4);
}

// The gauges must show the pool while this process plans it, and nothing of it afterwards.
TEST_F(PlannerServiceTest, ShowsWorkersSpeedsWhileItPlans) {
  const std::vector<Gauge*> gauges = {&metrics_.gauge("workers_slow"),
                                      &metrics_.gauge("workers_fast"),
                                      &metrics_.gauge("worker_speed_spread")};
  constexpr double kStale = 7;
  const Time limit = LeaseClock().Now() + kAnswerLimit;
  for (Gauge* gauge : gauges) {
    gauge->Set(kStale);
    while (gauge->value() == kStale && LeaseClock().Now() < limit) std::this_thread::yield();
    EXPECT_LT(gauge->value(), kStale);
  }
  for (Gauge* gauge : gauges) gauge->Set(kStale);
  service_.StepDown("test");
  for (const Gauge* gauge : gauges) EXPECT_EQ(gauge->value(), 0);
}

// A caller whose job becomes durable with the planner's last append must not be told "unknown" at a
// planned stop.
TEST_F(PlannerServiceTest, AnswersCallersOfLastAppendOnRelease) {
  BlockStore();
  SubmitResult result;
  service_.Submit(Job("j"), result.Callback());
  Thread release("release", [this] { service_.Release(kAnswerLimit); });
  while (!RejectsCalls()) std::this_thread::yield();
  faulty_log_.SetFaults({});
  EXPECT_EQ(result.Wait(), Outcome::kRan);
  EXPECT_TRUE(InStore("j"));
  release.Join();
}

// A planner releases the leadership, and the store's answer is lost. A successor may have read the
// agents by now and would not wait for one that registers later, so nothing may be started there.
TEST_F(PlannerServiceTest, StartsNothingOnceItReleasesTheLeadership) {
  JobTable table;
  table.Apply({"j/j", EncodeSpec(Job("j")), 1});
  JobProgress progress;
  progress.state = JobState::kRunning;
  table.Apply({"p/j", EncodeProgress(progress), 2});
  log_.Append(kMembersTopic, {{kPlannerKey, EncodePlanner({2, "a", "a:1"}), kNoOffset}}, {},
              kAnswerLimit);
  service_.BecomeActive(2, 1, table, {}, LeaseClock().Now());
  WaitForAppends(2);
  faulty_log_.SetFaults({false, true});
  Thread release("release", [this] { service_.Release(kReleaseLimit); });
  while (!RejectsCalls()) std::this_thread::yield();
  log_.Append(kMembersTopic, {{"agent/n", "a", kNoOffset}}, {}, kAnswerLimit);
  AgentReport report;
  report.node = "n";
  report.incarnation = "1";
  report.epoch = 2;
  report.worker.id = "w";
  report.worker.start_time_ms = 1;
  report.worker.capacity = {64'000, 131'072, 8};
  report.worker.reachable = true;
  const Time end = LeaseClock().Now() + kReleaseLimit / 2;
  while (LeaseClock().Now() < end) {
    ++report.sequence;
    const AgentOrders orders = LocalPlannerClient(&service_).Exchange(report, kAnswerLimit);
    const bool may_start = !orders.starts.empty() && orders.start_window > Duration::zero();
    ASSERT_FALSE(may_start);
    std::this_thread::sleep_for(milliseconds(5));
  }
  faulty_log_.SetFaults({});
  release.Join();
}

// A planner releases the leadership, and the store's answer is lost. The successor counts on leases
// that were granted before its claim only, so that later ones let runs go on while it starts their
// tasks elsewhere.
TEST_F(PlannerServiceTest, GrantsNoLeaseOnceItsReleaseMayBeStored) {
  AgentReport report;
  report.node = "n";
  report.incarnation = "1";
  LocalPlannerClient client(&service_);
  EXPECT_GT(client.Exchange(report, kAnswerLimit).lease, Duration::zero());
  faulty_log_.SetFaults({false, true});
  Thread release("release", [this] { service_.Release(kReleaseLimit); });
  while (!RejectsCalls()) std::this_thread::yield();
  const Time end = LeaseClock().Now() + kReleaseLimit / 2;
  while (LeaseClock().Now() < end) {
    ++report.sequence;
    ASSERT_EQ(client.Exchange(report, kAnswerLimit).lease, Duration::zero());
    std::this_thread::sleep_for(milliseconds(5));
  }
  faulty_log_.SetFaults({});
  release.Join();
}

// The first report of an agent's former process is read after the first one of its current process,
// so that the planner takes the current one for the former. It gives the runs up that it hears
// nothing of any more; if the answers granted leases all the same, these runs would go on while
// their tasks are started elsewhere.
TEST_F(PlannerServiceTest, GrantsNoLeaseForAReportThatItDoesNotUse) {
  LocalPlannerClient client(&service_);
  AgentReport report;
  report.node = "n";
  for (const char* incarnation : {"current", "former"}) {
    report.incarnation = incarnation;
    EXPECT_GT(client.Exchange(report, kAnswerLimit).lease, Duration::zero());
  }
  report.incarnation = "current";
  ++report.sequence;
  EXPECT_THROW(client.Exchange(report, kAnswerLimit), Error);
}

// A planner follows its own former process and is stopped in order soon after. Its record named no
// planner to wait for, so that the successor waited for no start of the process that had died.
TEST_F(PlannerServiceTest, NamesItselfInItsReleaseUntilItsFormerProcessHasSettled) {
  PlannerService restarted(Options(), &log_, &operators_, &members_, &metrics_);
  restarted.BecomeActive(2, 1, JobTable(), {}, LeaseClock().Now(), {}, true);
  restarted.SetLeadershipView({2, "a", "a:1"}, true, true);
  restarted.Release(kReleaseLimit);
  ASSERT_EQ(restarted.epoch(), 0);
  const KeyedPage page = log_.Newest(kWorkTopic, "", seconds(1));
  const auto record = std::find_if(page.records.begin(), page.records.end(),
                                   [](const KeyedRecord& each) { return each.key == kPlannerKey; });
  ASSERT_NE(record, page.records.end());
  const PlannerRecord released = DecodePlanner(record->value);
  EXPECT_TRUE(released.address.empty());
  ASSERT_EQ(released.former.size(), 1U);
  EXPECT_EQ(released.former.front().address, "a:1");
}

// The same for a planner that is stopped before it has read its own claim. Its newest view names
// its former process.
TEST_F(PlannerServiceTest, NamesItselfInAReleaseRightAfterItsClaim) {
  PlannerService restarted(Options(), &log_, &operators_, &members_, &metrics_);
  restarted.SetLeadershipView({1, "a", "a:1"}, true, true);
  restarted.BecomeActive(2, 1, JobTable(), {}, LeaseClock().Now(), {}, true);
  restarted.Release(kReleaseLimit);
  ASSERT_EQ(restarted.epoch(), 0);
  const KeyedPage page = log_.Newest(kWorkTopic, "", seconds(1));
  const auto record = std::find_if(page.records.begin(), page.records.end(),
                                   [](const KeyedRecord& each) { return each.key == kPlannerKey; });
  ASSERT_NE(record, page.records.end());
  const PlannerRecord released = DecodePlanner(record->value);
  EXPECT_TRUE(released.address.empty());
  ASSERT_EQ(released.former.size(), 1U);
  EXPECT_EQ(released.former.front().address, "a:1");
}

// The worker may have runs under a lease that an order for its former incarnation granted, longer
// than the silence after which agents are removed. A successor would not wait for that lease.
TEST_F(PlannerServiceTest, KeepsAnAgentAmongTheMembersWhileALeaseOnItsWorkerMayLast) {
  log_.Append(kMembersTopic, {{kPlannerKey, EncodePlanner({2, "a", "a:1"}), kNoOffset}}, {},
              kAnswerLimit);
  log_.Append(kMembersTopic, {{"agent/n", "a", kNoOffset}}, {}, kAnswerLimit);
  service_.BecomeActive(2, 1, JobTable(), {"n"}, LeaseClock().Now());
  while (!members_.membership()->IsCurrentFor(2) || members_.membership()->agents.empty()) {
    std::this_thread::yield();
  }
  AgentReport report;
  report.node = "n";
  report.incarnation = "1";
  report.epoch = 2;
  report.worker.id = "w";
  report.worker.reachable = true;
  for (const int64_t start_time_ms : {1, 2}) {
    ++report.sequence;
    report.worker.start_time_ms = start_time_ms;
    report.fence = 1 + start_time_ms;
    LocalPlannerClient(&service_).Exchange(report, kAnswerLimit);
  }
  WaitForAppends(2);
  std::this_thread::sleep_for(milliseconds(20));
  EXPECT_FALSE(service_.RemoveSilentAgents(milliseconds(10), LeaseClock().Now()).has_value());
}

// A rolling update replaces planners one after the other. The last record must be in the store
// before the release that lets the successor begin, and unreadable ones must do no harm.
TEST_F(PlannerServiceTest, WritesLearnedStateBeforeItsRelease) {
  const std::string run_times = R"({"queues":{"q":[9,1000,10,500,10]}})";
  const int64_t at_ms = LeaseClock().WallMillis() - 60'000;
  JobTable table;
  table.Apply({"j/j", EncodeSpec(Job("j")), 1});
  table.Apply({"l/speeds", "{", 2});
  table.Apply({"l/run_times",
               R"({"v":1,"at":)" + std::to_string(at_ms) + R"(,"data":)" + run_times + "}", 3});
  service_.BecomeActive(2, 1, table, {}, LeaseClock().Now());
  WaitForAppends(2);
  EXPECT_EQ(metrics_.counter("learned_dropped").value(), 1);
  EXPECT_EQ(metrics_.counter("learned_records").value(), 0);
  service_.Release(kReleaseLimit);
  EXPECT_EQ(metrics_.counter("learned_records").value(), 1);
  EXPECT_GT(metrics_.counter("learned_bytes").value(), 40);
  std::map<std::string, KeyedRecord> stored;
  for (const KeyedRecord& record : log_.Newest(kWorkTopic, "", seconds(1)).records) {
    stored[record.key] = record;
  }
  ASSERT_EQ(stored.count("l/run_times"), 1U);
  const auto record = nlohmann::json::parse(stored["l/run_times"].value);
  EXPECT_EQ(record.at("data").dump(), run_times);
  EXPECT_GT(record.at("at").get<int64_t>(), at_ms);
  EXPECT_LT(stored["l/run_times"].offset, stored[kPlannerKey].offset);
  EXPECT_EQ(stored.count("l/speeds"), 0U);
}

// The store serves the planner again before the standby has claimed. Much later the standby must
// not depose it on the strength of the old request.
TEST_F(PlannerServiceTest, ForgetsARequestToTakeOver) {
  const PlannerRecord planner = {service_.epoch() + 7, "other", "other:1"};
  service_.SetLeadershipView(planner, true, true);
  LocalPlannerClient(&service_).TakeOver(planner, kAnswerLimit);
  const Time now = LeaseClock().Now();
  EXPECT_EQ(service_.takeover_epoch(now), planner.epoch);
  EXPECT_EQ(service_.takeover_epoch(now + seconds(2)), 0);
}

// The request is late, or this entry does not see the planner in the store.
TEST_F(PlannerServiceTest, RefusesToTakeOverFromAPlannerThatItDoesNotSee) {
  const PlannerRecord planner = {service_.epoch() + 7, "other", "other:1"};
  EXPECT_THROW(LocalPlannerClient(&service_).TakeOver(planner, kAnswerLimit), Error);
  service_.SetLeadershipView(planner, true, false);
  EXPECT_THROW(LocalPlannerClient(&service_).TakeOver(planner, kAnswerLimit), Error);
  EXPECT_EQ(service_.takeover_epoch(LeaseClock().Now()), 0);
}

}  // namespace
}  // namespace turmericshift::pool
