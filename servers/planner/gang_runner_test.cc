#include "servers/planner/gang_runner.h"

#include <gtest/gtest.h>

#include <atomic>

#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

constexpr int kMaxCalls = 4;

class StopCountingPort : public AgentPort {
 public:
  explicit StopCountingPort(std::atomic<int>* stops) : stops_(stops) {}
  ServiceAnswer Serve(const ServiceRequest& /*request*/) override { return {}; }
  void Cancel(const std::string& /*request_id*/) override {}
  RequestStatusReply Resolve(const RequestStatusQuery& /*question*/,
                             Duration /*timeout*/) override {
    return {};
  }
  void Reserve(const GangReserve& /*reserve*/, Duration /*timeout*/) override {}
  void Start(const GangStart& /*start*/, Duration /*timeout*/) override {}
  void Release(const GangAction& /*action*/, Duration /*timeout*/) override {}
  void Renew(const GangAction& /*action*/, Duration /*timeout*/) override {}
  void Stop(const GangAction& /*action*/, Duration /*timeout*/) override { stops_->fetch_add(1); }
  void Forget(const GangAction& /*action*/, Duration /*timeout*/) override {}

 private:
  std::atomic<int>* const stops_;
};

class GangRunnerTest : public testing::TestWithParam<int> {};

// A call that no thread can be started for must not leave its gang's other calls behind with a
// frame that is gone; every member is still called once.
TEST_P(GangRunnerTest, CallsEveryMemberDespiteALackOfThreads) {
  std::atomic<int> stops{0};
  AgentDirectory directory;
  GangAttempt gang;
  gang.job = "boxes/weekly";
  for (const char* worker : {"worker-0", "worker-1", "worker-2"}) {
    AgentHello hello;
    hello.process = worker;
    directory.Open(hello, std::make_shared<StopCountingPort>(&stops), Time());
    TaskOnWorker task;
    task.worker = worker;
    gang.tasks.push_back(task);
  }
  ThreadShortage shortage("gang-call");
  shortage.Allow(GetParam());
  GangRunner runner(&directory, kMaxCalls);
  EXPECT_EQ(runner.Stop(gang, false).ended_members, gang.workers());
  EXPECT_EQ(stops.load(), 3);
}

INSTANTIATE_TEST_SUITE_P(ThreadsLeft, GangRunnerTest, testing::Values(0, 1, 2));

}  // namespace
}  // namespace turmericshift
