// Tests the worker protocol between HttpWorkerService and a fake worker served over HTTP.
#include <gtest/gtest.h>

#include "core/error.h"
#include "modules/http_worker/http_worker_service.h"
#include "modules/stand_ins/manual_clock.h"
#include "modules/stand_ins/worker_server.h"

namespace turmericshift {
namespace {

class HttpWorkerTest : public ::testing::Test {
 protected:
  HttpWorkerTest()
      : fake_(&clock_),
        server_({}, &fake_),
        client_("http://127.0.0.1:" + std::to_string(server_.port())) {}

  ManualClock clock_;
  FakeWorker fake_;
  WorkerServer server_;
  HttpWorkerService client_;
  const TaskId id_{"boxes/weekly", 7, 1};
};

TEST_F(HttpWorkerTest, TaskRunsFromStartToForget) {
  TaskStart start;
  start.id = id_;
  start.shape = {2, int64_t{1} << 30, 1};
  start.accelerators = 4;
  start.held = true;
  start.payload = "8s";
  start.epoch = 12;
  start.workspace = "boxes";
  start.checkpoints = true;
  client_.Start(start);
  EXPECT_EQ(client_.Report().at(0).phase, TaskPhase::kHeld);
  client_.Release(id_);
  clock_.Advance(std::chrono::seconds(2));
  client_.Renew(id_, std::chrono::seconds(10));
  client_.Checkpoint(id_);
  client_.Stop(id_);
  const TaskReport report = client_.Report().at(0);
  EXPECT_EQ(report.id, id_);
  EXPECT_EQ(report.phase, TaskPhase::kStopped);
  EXPECT_EQ(report.shape, start.shape);
  EXPECT_EQ(report.accelerators, 4U);
  EXPECT_EQ(report.epoch, 12);
  EXPECT_EQ(report.workspace, "boxes");
  EXPECT_TRUE(report.checkpoints);
  EXPECT_DOUBLE_EQ(report.progress, 0.25);
  client_.Forget(id_);
  EXPECT_TRUE(client_.Report().empty());
}

// Guards against taking a worker that has lost a task for an unreachable worker: the agent asks for
// a task that the worker no longer knows.
TEST_F(HttpWorkerTest, DistinguishesAnUnknownTaskFromAnUnreachableWorker) {
  const auto kind_of = [&] {
    try {
      client_.Release(id_);
    } catch (const Error& error) {
      return error.kind();
    }
    return ErrorKind::kInternal;
  };
  EXPECT_EQ(kind_of(), ErrorKind::kNotFound);
  WorkerFaults faults;
  faults.unreachable = true;
  fake_.SetFaults(faults);
  EXPECT_EQ(kind_of(), ErrorKind::kUnavailable);
}

}  // namespace
}  // namespace turmericshift
