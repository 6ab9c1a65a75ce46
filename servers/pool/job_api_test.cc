#include "servers/pool/job_api.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

// Operators that lay down one open queue, whatever the record says.
class OneQueue : public OperatorDecoder {
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

// A planner whose store is silent: it takes jobs in and never answers.
class SilentGate : public PlannerGate {
 public:
  int submissions() const { return submissions_.load(); }
  void Exchange(const AgentReport& /*report*/,
                std::function<void(Attempt<AgentOrders>)> /*done*/) override {}
  void Submit(const JobSpec& /*spec*/, std::function<void(Attempt<Done>)> /*done*/) override {
    submissions_.fetch_add(1);
  }
  void Cancel(const std::string& /*id*/, std::function<void(Attempt<Done>)> /*done*/) override {}
  void Yield(const PlannerRecord& /*successor*/,
             std::function<void(Attempt<Done>)> /*done*/) override {}
  void Offer(std::function<void(Attempt<Done>)> /*done*/) override {}

 private:
  std::atomic<int> submissions_{0};
};

// A planner that has lost the store and been told who follows it.
class FollowedGate : public SilentGate {
 public:
  PlannerRecord Successor() const override { return {2, "e2", "there"}; }
  void Submit(const JobSpec& /*spec*/, std::function<void(Attempt<Done>)> done) override {
    Attempt<Done> attempt;
    attempt.error = Error(ErrorKind::kConflict, Outcome::kNotRun, "this process does not plan");
    done(attempt);
  }
};

// Takes everything in.
class WillingPort : public PlannerClient {
 public:
  AgentOrders Exchange(const AgentReport& /*report*/, Duration /*timeout*/) override { return {}; }
  void Submit(const JobSpec& /*spec*/, Duration /*timeout*/) override {}
  void Cancel(const std::string& /*id*/, Duration /*timeout*/) override {}
  void Yield(const PlannerRecord& /*successor*/, Duration /*timeout*/) override {}
  void Offer(Duration /*timeout*/) override {}
};

// Reaches the planner at "there".
class OneNeighbour : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration /*limit*/) override {
    if (address != "there") throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nobody there");
    return std::make_shared<WillingPort>();
  }
};

class NoConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nobody there");
  }
};

struct Front {
  Front() : Front(std::make_unique<SilentGate>(), std::make_unique<NoConnector>()) {}
  Front(std::unique_ptr<PlannerGate> planner, std::unique_ptr<PlannerConnector> neighbours)
      : gate(std::move(planner)), connector(std::move(neighbours)) {
    log.Append("documents", {{"document", "1"}}, {}, std::chrono::seconds(1));
    log.Append(kWorkTopic, {{kPlannerKey, EncodePlanner({1, "e1", "here"})}}, {},
               std::chrono::seconds(1));
    JobApiOptions options;
    options.node = "e1";
    front = std::make_unique<JobApi>(options, &work, &operators, gate.get(), &reach, &metrics);
    while (operators.state()->config.version == 0 || work.leadership().planner.epoch == 0) {
      std::this_thread::yield();
    }
  }

  JobAnswerKind Submit(const std::string& id, Duration timeout) {
    JobCall call;
    call.kind = JobCall::Kind::kSubmit;
    call.host = "plans.example";
    call.path = "/jobs/" + id;
    call.timeout = timeout;
    call.read_body = [](JobSpec* spec) { spec->steps.emplace_back(); };
    return front->Handle(call, LeaseClock().Now()).kind;
  }

  MemoryKeyedLog log;
  WorkView work{&log};
  OperatorView operators{&log, std::make_unique<OneQueue>()};
  std::unique_ptr<PlannerGate> gate;
  std::unique_ptr<PlannerConnector> connector;
  MembersView members{&log, std::chrono::milliseconds(200)};
  PlannerRouter reach{"e1", "a", &members, connector.get()};
  MetricsRegistry metrics;
  std::unique_ptr<JobApi> front;
};

// The store goes silent as a job is on its way into it, and the caller is told that nobody knows.
// It comes again with little patience left, too little to ask anyone. Were it told that its job
// never runs, it would order anew, and be charged twice once the store is back.
TEST(JobApi, DoesNotRefuseAJobThatItMayHaveTakenInBefore) {
  Front front;
  EXPECT_EQ(front.Submit("j", milliseconds(500)), JobAnswerKind::kUnknown);
  EXPECT_EQ(front.Submit("j", milliseconds(100)), JobAnswerKind::kUnknown);
  EXPECT_EQ(front.Submit("other", milliseconds(100)), JobAnswerKind::kNotAccepted);
}

// The planner has lost the store and is followed, and its own view of the store still shows itself.
// A caller that comes to it then waited until its patience was gone, and had none left to try
// another entry.
TEST(JobApi, GoesToThePlannerThatItHasBeenToldOf) {
  Front front(std::make_unique<FollowedGate>(), std::make_unique<OneNeighbour>());
  EXPECT_EQ(front.Submit("j", milliseconds(1000)), JobAnswerKind::kAccepted);
}

// The process ends before the caller's patience does: the call must be answered, not cut, and a job
// that no planner was asked about never runs.
TEST(JobApi, AnswersBeforeTheProcessEnds) {
  auto gate = std::make_unique<SilentGate>();
  const SilentGate& planner = *gate;
  Front front(std::move(gate), std::make_unique<NoConnector>());
  front.front->SetAnswerDeadline(LeaseClock().Now());
  EXPECT_EQ(front.Submit("j", std::chrono::hours(1)), JobAnswerKind::kNotAccepted);
  EXPECT_EQ(planner.submissions(), 0);
}

TEST(UnresolvedCalls, ForgetsAfterAWhile) {
  UnresolvedCalls calls;
  const Time now = Time(std::chrono::hours(1));
  calls.Note("a", now);
  EXPECT_TRUE(calls.Contains("a", now + std::chrono::seconds(59)));
  EXPECT_FALSE(calls.Contains("a", now + std::chrono::seconds(61)));
}

}  // namespace
}  // namespace turmericshift::pool
