#include "servers/admission/return_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace turmericshift::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(std::chrono::hours(1));

ReturnRequest Refused(int number, int priority = 0, const std::string& service = "plans") {
  return {"j" + std::to_string(number), service, priority, kNow + seconds(3), milliseconds(100)};
}

// Callers refused together would return together.
TEST(ReturnSchedule, SpacesReturnsByTheirWork) {
  ReturnSchedule schedule;
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(schedule.Assign(Refused(i), kNow), kNow + seconds(3) + i * milliseconds(100));
  }
  // Another service has other workers.
  EXPECT_EQ(schedule.Assign(Refused(50, 0, "others"), kNow), kNow + seconds(3));
}

// An urgent job refused later would return behind all others, or at the same time as one of them.
TEST(ReturnSchedule, PostponesLessUrgentReturns) {
  ReturnSchedule schedule;
  for (int i = 0; i < 5; ++i) schedule.Assign(Refused(i, 1), kNow);
  EXPECT_EQ(schedule.Assign(Refused(5, 0), kNow), kNow + seconds(3));
  EXPECT_EQ(schedule.Assign(Refused(4, 1), kNow), kNow + milliseconds(3500));
}

// A caller that asks often would lose, or gain, its place.
TEST(ReturnSchedule, KeepsThePlaceOfARepeatedSubmission) {
  ReturnSchedule schedule;
  for (int i = 0; i < 3; ++i) schedule.Assign(Refused(i), kNow);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(schedule.Assign(Refused(1), kNow + i * milliseconds(10)), kNow + milliseconds(3100));
  }
  EXPECT_EQ(schedule.FirstRefusal("j1"), kNow);
  EXPECT_EQ(schedule.size(), 3U);
}

// A queue's priority is changed while its jobs are kept: the job would be in the table twice.
TEST(ReturnSchedule, MovesAJobWhosePriorityHasChanged) {
  ReturnSchedule schedule;
  schedule.Assign(Refused(1, 1), kNow);
  schedule.Assign(Refused(1, 0), kNow + seconds(1));
  EXPECT_EQ(schedule.size(), 1U);
  EXPECT_EQ(schedule.FirstRefusal("j1"), kNow);
}

// Callers that never return would fill the table.
TEST(ReturnSchedule, ForgetsJobsThatDoNotReturn) {
  ReturnSchedule schedule;
  schedule.Assign(Refused(1), kNow);
  schedule.RemoveExpired(kNow + seconds(32));
  EXPECT_EQ(schedule.size(), 1U);
  schedule.RemoveExpired(kNow + seconds(33));
  EXPECT_EQ(schedule.size(), 0U);
  EXPECT_FALSE(schedule.FirstRefusal("j1"));
}

// A flood of ids would take memory without limit, or the ids beyond the limit would return as one
// wave.
TEST(ReturnSchedule, IsBoundedAndStillSpacesReturns) {
  ReturnSchedule schedule;
  std::vector<Time> returns;
  returns.reserve(1500);
  for (int i = 0; i < 1500; ++i) returns.push_back(schedule.Assign(Refused(i, 1), kNow));
  EXPECT_EQ(schedule.size(), 1000U);
  for (size_t i = 1; i < returns.size(); ++i) {
    EXPECT_GE(returns[i] - returns[i - 1], milliseconds(100)) << i;
  }
  // An urgent job takes the place of one that is not.
  EXPECT_EQ(schedule.Assign(Refused(1500, 0), kNow), kNow + seconds(3));
  EXPECT_EQ(schedule.size(), 1000U);
}

// Callers that give up would postpone others long after the overload has ended.
TEST(ReturnSchedule, DropsCallersThatGaveUpWithinAMinute) {
  ReturnSchedule schedule;
  ReturnRequest large = Refused(0);
  large.work_time = seconds(5);
  for (int i = 0; i < 100; ++i) {
    large.id = "abandoned" + std::to_string(i);
    schedule.Assign(large, kNow);
  }
  schedule.RemoveExpired(kNow + seconds(61));
  EXPECT_EQ(schedule.size(), 0U);
}

}  // namespace
}  // namespace turmericshift::admission
