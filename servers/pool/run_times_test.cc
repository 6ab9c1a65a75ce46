#include "servers/pool/run_times.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RunTimes, UsesTheEstimateWithFewRuns) {
  RunTimes times;
  times.Record("q", seconds(1), seconds(9));
  EXPECT_EQ(times.ExpectedTime("q", seconds(2)), seconds(2));
  EXPECT_EQ(times.ExpectedTime("other", seconds(2)), seconds(2));
}

// Callers' estimates are between a tenth and twice the run time, while all tasks take nearly the
// same time.
TEST(RunTimes, UsesTheQueueMeanWhereEstimatesAreUnrelated) {
  RunTimes times;
  for (int i = 0; i < 12; ++i) {
    times.Record("q", milliseconds(900 + 1400 * i), seconds(8) + milliseconds(100 * i));
  }
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(1))), 8.5, 0.3);
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(17))), 8.5, 0.3);
}

// Run times differ by up to ten times, as the estimates predict, but all tasks take one and a half
// times their estimate.
TEST(RunTimes, ScalesTheEstimateWhereItPredictsBetter) {
  RunTimes times;
  for (int i = 1; i <= 12; ++i) times.Record("q", seconds(i), milliseconds(1500 * i));
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(2))), 3.0, 0.1);
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(10))), 15.0, 0.1);
}

// The successor would otherwise have to learn the queues anew.
TEST(RunTimes, AreTheSameAfterSaveAndLoad) {
  RunTimes times;
  for (int i = 1; i <= 12; ++i) times.Record("q", seconds(i), milliseconds(1500 * i));
  RunTimes next;
  next.Load(times.Save(1000, Time()), seconds(1), Time());
  EXPECT_NEAR(Seconds(next.ExpectedTime("q", seconds(2))), 3.0, 0.1);
  EXPECT_NEAR(next.SpreadOf("q"), times.SpreadOf("q"), 0.01);
}

// A record that is too large is not written at all.
TEST(RunTimes, SaveTheBestKnownQueuesWithinTheLimit) {
  RunTimes times;
  for (int queue = 0; queue < 50; ++queue) {
    for (int run = 0; run <= queue; ++run) {
      times.Record("queue-" + std::to_string(queue), seconds(1), seconds(2));
    }
  }
  const nlohmann::json saved = times.Save(300, Time());
  EXPECT_LE(saved.dump().size(), 300U);
  EXPECT_TRUE(saved.at("queues").contains("queue-49"));
  EXPECT_FALSE(saved.at("queues").contains("queue-0"));
}

// A record with one bad row must not leave half of it behind.
TEST(RunTimes, KeepTheirStateWhenTheRecordIsMalformed) {
  RunTimes times;
  for (int i = 0; i < 12; ++i) times.Record("q", seconds(1), seconds(3));
  for (const char* text :
       {"1", "{}", R"({"queues":[1]})", R"({"queues":{"a":[9,0,0,0,0],"b":[9]}})",
        R"({"queues":{"q":[0,0,0,0,0]}})", R"({"queues":{"q":[9,0,-1,0,0]}})",
        R"({"queues":{"q":[9,1e9,0,0,0]}})", R"({"queues":{"q":["9",0,0,0,0]}})"}) {
    EXPECT_THROW(times.Load(nlohmann::json::parse(text), {}, Time()), Error) << text;
  }
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(1))), 3.0, 0.1);
}

}  // namespace
}  // namespace turmericshift::pool
