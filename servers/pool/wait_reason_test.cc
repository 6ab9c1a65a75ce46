#include "servers/pool/wait_reason.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

WorkerRoom Worker(std::string_view node, std::string_view rack, int64_t accelerators) {
  WorkerRoom worker;
  worker.node = node;
  worker.rack = rack;
  worker.free = {1000 * accelerators, 1000, accelerators};
  worker.max_tasks = 100;
  return worker;
}

class WaitReasonTest : public testing::Test {
 protected:
  WaitReasonTest() {
    step_.gang = true;
    step_.need = {2000, 1, 2};
    request_.step = &step_;
    request_.tasks = 2;
  }

  // Classifies a wait if all workers are usable and nothing is reserved.
  WaitReason Classify(const std::vector<WorkerRoom>& rooms) const {
    return ClassifyWait(request_, {rooms, rooms, rooms});
  }

  StepSpec step_;
  PlacementRequest request_;
};

TEST_F(WaitReasonTest, TellsAFullPoolFromAFragmentedOne) {
  EXPECT_EQ(Classify({Worker("a", "r", 2), Worker("b", "r", 1)}), WaitReason::kPoolFull);
  EXPECT_EQ(Classify({Worker("a", "r", 3), Worker("b", "r", 1)}), WaitReason::kFragmented);
}

TEST_F(WaitReasonTest, TellsAMissingRackFromMissingRoom) {
  step_.one_rack = true;
  EXPECT_EQ(Classify({Worker("a", "r", 2), Worker("b", "s", 2)}), WaitReason::kNoRackWithRoom);
}

TEST_F(WaitReasonTest, TellsReservedRoomAndExcludedWorkers) {
  const std::vector<WorkerRoom> none = {Worker("a", "r", 0)};
  const std::vector<WorkerRoom> enough = {Worker("a", "r", 4)};
  EXPECT_EQ(ClassifyWait(request_, {none, enough, enough}), WaitReason::kReservedForOthers);
  EXPECT_EQ(ClassifyWait(request_, {none, none, enough}), WaitReason::kWorkersExcluded);
}

}  // namespace
}  // namespace turmericshift::pool
