#include "servers/pool/job_api.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

// Configures one open queue, whatever the record contains.
class SingleQueueDecoder : public OperatorDecoder {
 public:
  std::string topic() const override { return "documents"; }
  void Apply(const KeyedRecord& /*record*/, OperatorState* state) const override {
    Queue queue;
    queue.name = "q";
    queue.host = "plans.example";
    queue.path_prefix = "/jobs/";
    queue.open = true;
    state->config.version = 1;
    state->config.queues = {queue};
  }
};

// A planner whose store is unresponsive: it accepts jobs and never answers.
class UnresponsiveGate : public PlannerGate {
 public:
  int submissions() const { return submissions_.load(); }
  void Exchange(const AgentReport& /*report*/,
                std::function<void(Result<AgentOrders>)> /*done*/) override {}
  void Submit(const JobSpec& /*spec*/, std::function<void(Result<Done>)> /*done*/) override {
    submissions_.fetch_add(1);
  }
  void Cancel(const std::string& /*id*/, std::function<void(Result<Done>)> /*done*/) override {}
  void Yield(const PlannerRecord& /*successor*/,
             std::function<void(Result<Done>)> /*done*/) override {}
  void Offer(std::function<void(Result<Done>)> /*done*/) override {}
  void TakeOver(const PlannerRecord& /*planner*/,
                std::function<void(Result<Done>)> /*done*/) override {}

 private:
  std::atomic<int> submissions_{0};
};

// A planner that has lost contact with the store and has been notified by its successor.
class SupersededGate : public UnresponsiveGate {
 public:
  PlannerRecord Successor() const override { return {2, "e2", "there:1"}; }
  void Submit(const JobSpec& /*spec*/, std::function<void(Result<Done>)> done) override {
    Result<Done> result;
    result.error = Error(ErrorKind::kConflict, Outcome::kNotRun, "this process does not plan");
    done(result);
  }
};

// A planner that refuses jobs for load, after `lost_answers` calls whose answers are lost.
class OverloadedGate : public UnresponsiveGate {
 public:
  explicit OverloadedGate(int lost_answers) : lost_answers_(lost_answers) {}
  void Submit(const JobSpec& spec, std::function<void(Result<Done>)> done) override {
    UnresponsiveGate::Submit(spec, {});
    Result<Done> result;
    if (submissions() <= lost_answers_) {
      result.error = Error(ErrorKind::kConnectionLost, Outcome::kUnknown, "the connection broke");
    } else {
      result.error = Error(ErrorKind::kOverloaded, Outcome::kNotRun, "refused for load");
      result.error->set_retry_after(std::chrono::milliseconds(6500));
    }
    done(result);
  }

 private:
  const int lost_answers_;
};

// Accepts every call.
class AcceptingClient : public PlannerClient {
 public:
  AgentOrders Exchange(const AgentReport& /*report*/, Duration /*timeout*/) override { return {}; }
  void Submit(const JobSpec& /*spec*/, Duration /*timeout*/) override {}
  void Cancel(const std::string& /*id*/, Duration /*timeout*/) override {}
  void Yield(const PlannerRecord& /*successor*/, Duration /*timeout*/) override {}
  void Offer(Duration /*timeout*/) override {}
};

// Connects to the planner at "there:1" only.
class SinglePlannerConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration /*limit*/) override {
    if (address != "there:1") {
      throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nobody there");
    }
    return std::make_shared<AcceptingClient>();
  }
};

// A planner that has been replaced, and whose refusals name its successor at "there:1".
class ReplacedPlannerClient : public AcceptingClient {
 public:
  void Submit(const JobSpec& /*spec*/, Duration /*timeout*/) override {
    throw Error(ErrorKind::kConflict, Outcome::kNotRun, "this process does not plan the pool");
  }
  PlannerRecord KnownPlanner(Duration /*timeout*/) override { return {2, "e2", "there:1"}; }
};

// Reaches the planner at "there:1" and, at all other addresses, replaced ones.
class ReplacedPlannerConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration /*limit*/) override {
    if (address == "there:1") return std::make_shared<AcceptingClient>();
    ++refusals;
    return std::make_shared<ReplacedPlannerClient>();
  }
  std::atomic<int> refusals{0};
};

// Planners of epoch 1 at "here:1" that answer nothing until their connection is closed, and one at
// "there:1" that accepts every call.
class SilentPlannerConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration /*limit*/) override {
    if (address == "there:1") return std::make_shared<AcceptingClient>();
    return std::make_shared<SilentClient>(&calls);
  }

  std::atomic<int> calls{0};

 private:
  class SilentClient : public AcceptingClient {
   public:
    explicit SilentClient(std::atomic<int>* calls) : calls_(calls) {}
    void Submit(const JobSpec& /*spec*/, Duration timeout) override {
      calls_->fetch_add(1);
      closed_.get_future().wait_for(timeout);
      throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown, "closed");
    }
    void Close() override { closed_.set_value(); }

   private:
    std::atomic<int>* const calls_;
    std::promise<void> closed_;
  };
};

class FailingConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nobody there");
  }
};

struct ApiFixture {
  ApiFixture()
      : ApiFixture(std::make_unique<UnresponsiveGate>(), std::make_unique<FailingConnector>()) {}
  ApiFixture(std::unique_ptr<PlannerGate> planner,
             std::unique_ptr<PlannerConnector> planner_connector, const std::string& node = "e1",
             Duration attempt_timeout = JobApiOptions().attempt_timeout)
      : gate(std::move(planner)), connector(std::move(planner_connector)) {
    log.Append("documents", {{"document", "1"}}, {}, std::chrono::seconds(1));
    log.Append(kWorkTopic, {{kPlannerKey, EncodePlanner({1, "e1", "here:1"})}}, {},
               std::chrono::seconds(1));
    JobApiOptions options;
    options.node = node;
    options.attempt_timeout = attempt_timeout;
    api = std::make_unique<JobApi>(options, &work, &operators, gate.get(), &router, &metrics);
    while (operators.state()->config.version == 0 || work.leadership().planner.epoch == 0) {
      std::this_thread::yield();
    }
  }

  JobAnswerKind Submit(const std::string& id, Duration timeout) {
    return AnswerTo(id, timeout).kind;
  }

  JobAnswer AnswerTo(const std::string& id, Duration timeout, size_t payload_bytes = 0) {
    JobCall call;
    call.kind = JobCall::Kind::kSubmit;
    call.host = "plans.example";
    call.path = "/jobs/" + id;
    call.timeout = timeout;
    call.read_body = [payload_bytes](JobSpec* spec) {
      spec->steps.emplace_back();
      spec->payload = std::string(payload_bytes, 'x');
    };
    return api->Handle(call, LeaseClock().Now());
  }

  MemoryKeyedLog log;
  WorkView work{&log};
  OperatorView operators{&log, std::make_unique<SingleQueueDecoder>()};
  std::unique_ptr<PlannerGate> gate;
  std::unique_ptr<PlannerConnector> connector;
  MembersView members{&log, std::chrono::milliseconds(200)};
  PlannerRouter router{"e1", "a", &members, [this] { return members.planner().epoch; },
                       connector.get()};
  MetricsRegistry metrics;
  std::unique_ptr<JobApi> api;
};

// The store becomes unresponsive while a job's record is in flight, and the caller gets kUnknown.
// The caller repeats the call with too little time left to contact a planner. If the answer were
// that the job never runs, the caller would order again and be charged twice once the store is
// back.
TEST(JobApi, DoesNotRefuseAJobThatMayHaveBeenAccepted) {
  ApiFixture fixture;
  EXPECT_EQ(fixture.Submit("j", milliseconds(500)), JobAnswerKind::kUnknown);
  EXPECT_EQ(fixture.Submit("j", milliseconds(100)), JobAnswerKind::kUnknown);
  EXPECT_EQ(fixture.Submit("other", milliseconds(100)), JobAnswerKind::kNotAccepted);
}

// The store refuses a record for ever whose key or value is too large, and the planner repeated the
// append before all later ones: one such job stopped the whole system.
TEST(JobApi, RefusesAJobThatTheStoreCannotHold) {
  ApiFixture fixture(std::make_unique<UnresponsiveGate>(), std::make_unique<FailingConnector>());
  const size_t most = JobApiOptions().max_value_bytes;
  const JobAnswer refused = fixture.AnswerTo("j", milliseconds(500), most);
  EXPECT_EQ(refused.kind, JobAnswerKind::kBadRequest);
  EXPECT_NE(refused.message.find(std::to_string(most)), std::string::npos);
  const std::string long_id(kMaxJobIdBytes + 1, 'f');
  EXPECT_EQ(fixture.Submit(long_id, milliseconds(500)), JobAnswerKind::kBadRequest);
  EXPECT_EQ(static_cast<UnresponsiveGate*>(fixture.gate.get())->submissions(), 0);
  EXPECT_EQ(fixture.AnswerTo("k", milliseconds(500), most / 2).kind, JobAnswerKind::kUnknown);
}

// This entry's planner has lost the store and been superseded, but the entry's view still shows it
// as active. Guards against a call that waits there until its timeout and leaves no time to try
// another entry.
TEST(JobApi, CallsTheAnnouncedSuccessor) {
  ApiFixture fixture(std::make_unique<SupersededGate>(),
                     std::make_unique<SinglePlannerConnector>());
  EXPECT_EQ(fixture.Submit("j", milliseconds(1000)), JobAnswerKind::kAccepted);
}

// The store turns this entry away while the planner is replaced, so that the entry can't read of
// the successor. Its callers would wait at the former planner until their time is over.
TEST(JobApi, FollowsTheFormerPlannersWord) {
  auto connector = std::make_unique<ReplacedPlannerConnector>();
  const ReplacedPlannerConnector& replaced = *connector;
  ApiFixture fixture(std::make_unique<UnresponsiveGate>(), std::move(connector), "e3");
  EXPECT_EQ(fixture.Submit("j", milliseconds(1000)), JobAnswerKind::kAccepted);
  EXPECT_EQ(replaced.refusals.load(), 1);
  EXPECT_EQ(fixture.Submit("k", milliseconds(1000)), JobAnswerKind::kAccepted);
  EXPECT_EQ(replaced.refusals.load(), 1);
}

// The planner has lost power. Calls waited there for 1.5 s although its successor was known.
TEST(JobApi, RepeatsAWaitingCallAtANewerPlanner) {
  auto connector = std::make_unique<SilentPlannerConnector>();
  const SilentPlannerConnector& silent = *connector;
  ApiFixture fixture(std::make_unique<UnresponsiveGate>(), std::move(connector), "e3",
                     std::chrono::hours(1));
  std::future<JobAnswerKind> answer =
      std::async(std::launch::async, [&] { return fixture.Submit("j", std::chrono::hours(1)); });
  while (silent.calls.load() == 0) std::this_thread::yield();
  fixture.log.Append(kWorkTopic, {{kPlannerKey, EncodePlanner({2, "e2", "there:1"})}}, {},
                     std::chrono::seconds(1));
  while (fixture.work.leadership().planner.epoch < 2) std::this_thread::yield();
  fixture.api->WatchCalls(2, LeaseClock().Now());
  EXPECT_EQ(answer.get(), JobAnswerKind::kAccepted);
  EXPECT_EQ(silent.calls.load(), 1);
}

// The process ends before the caller's timeout: the call must be answered rather than cut off, and
// a job that was never passed to a planner does not run.
TEST(JobApi, AnswersBeforeTheProcessEnds) {
  auto gate = std::make_unique<UnresponsiveGate>();
  const UnresponsiveGate& planner = *gate;
  ApiFixture fixture(std::move(gate), std::make_unique<FailingConnector>());
  fixture.api->SetAnswerDeadline(LeaseClock().Now());
  EXPECT_EQ(fixture.Submit("j", std::chrono::hours(1)), JobAnswerKind::kNotAccepted);
  EXPECT_EQ(planner.submissions(), 0);
}

// A refusal for load would be repeated until the caller's patience is over, and the caller would be
// told to come back at once.
TEST(JobApi, AnswersARefusalForLoadAtOnce) {
  auto gate = std::make_unique<OverloadedGate>(0);
  const UnresponsiveGate& planner = *gate;
  ApiFixture fixture(std::move(gate), std::make_unique<FailingConnector>());
  const JobAnswer answer = fixture.AnswerTo("j", std::chrono::hours(1));
  EXPECT_EQ(answer.kind, JobAnswerKind::kNotAccepted);
  EXPECT_EQ(answer.retry_after, milliseconds(6500));
  EXPECT_EQ(planner.submissions(), 1);
}

// The record of an earlier attempt of the call may have been stored. If the caller were told that
// the job does not run, it would order again.
TEST(JobApi, WithholdsARefusalForLoadAfterAnUnansweredAttempt) {
  ApiFixture fixture(std::make_unique<OverloadedGate>(1), std::make_unique<FailingConnector>());
  EXPECT_EQ(fixture.Submit("j", milliseconds(600)), JobAnswerKind::kUnknown);
  // Also to a further call, whose own attempt was refused.
  EXPECT_EQ(fixture.Submit("j", milliseconds(600)), JobAnswerKind::kUnknown);
  EXPECT_EQ(fixture.Submit("other", milliseconds(600)), JobAnswerKind::kNotAccepted);
}

TEST(UnresolvedCalls, ExpireAfterAMinute) {
  UnresolvedCalls calls;
  const Time now = Time(std::chrono::hours(1));
  calls.Record("a", now);
  EXPECT_TRUE(calls.Contains("a", now + std::chrono::seconds(59)));
  EXPECT_FALSE(calls.Contains("a", now + std::chrono::seconds(61)));
}

}  // namespace
}  // namespace turmericshift::pool
