#include "servers/explain/loss_report.h"

#include <gtest/gtest.h>

#include <sstream>

namespace turmericshift {
namespace {

QueueLoss SummaryOf(const std::string& lines) {
  std::istringstream in(lines);
  LossReport report;
  report.Read(in);
  return report.Summarize().at("urgent");
}

constexpr const char* kAccepted =
    R"({"time_ms":1000,"event":"job_accepted","job":"j","queue":"urgent"})"
    "\n";

std::string Placed(int64_t time_ms, int run, int slowdown = 1) {
  return "{\"time_ms\":" + std::to_string(time_ms) +
         R"(,"event":"run_placed","job":"j","task":"j.0.0.0","slowdown":)" +
         std::to_string(slowdown) + ",\"run\":" + std::to_string(run) + "}\n";
}

std::string Ended(int64_t time_ms, int run, const std::string& how) {
  return "{\"time_ms\":" + std::to_string(time_ms) +
         R"(,"event":"run_ended","job":"j","task":"j.0.0.0","how":")" + how +
         "\",\"run\":" + std::to_string(run) + "}\n";
}

// The task's run on `node`, which ran as a member of a gang or as a single task.
std::string RunOn(const std::string& node, int task, double placed_factor, double ended_factor,
                  int64_t placed_ms, int64_t ended_ms) {
  const std::string name = R"("job":"j","task":"j.0.0.)" + std::to_string(task) + R"(","run":1)";
  return R"({"event":"run_placed",)" + name + ",\"time_ms\":" + std::to_string(placed_ms) +
         ",\"node\":\"" + node + "\",\"time_factor\":" + std::to_string(placed_factor) + "}\n" +
         R"({"event":"run_ended","how":"done",)" + name +
         ",\"time_ms\":" + std::to_string(ended_ms) +
         ",\"time_factor\":" + std::to_string(ended_factor) + "}\n";
}

std::string Completed(int64_t time_ms) {
  return "{\"time_ms\":" + std::to_string(time_ms) +
         R"(,"event":"job_ended","job":"j","queue":"urgent","state":"completed","priority":0,)"
         R"("stretch":1.5,"target_s":0.25})"
         "\n";
}

std::string Waits(int64_t time_ms, const std::string& reason) {
  return "{\"time_ms\":" + std::to_string(time_ms) +
         R"(,"event":"unit_waits","job":"j","reason":")" + reason + "\"}\n";
}

TEST(LossReport, JobWithinItsDueTimeIsNoLoss) {
  const QueueLoss loss =
      SummaryOf(kAccepted + Placed(2000, 1) + Ended(4000, 1, "done") + Completed(4001));
  EXPECT_EQ(loss.completed, 1);
  EXPECT_EQ(loss.late + loss.lost, 0);
}

TEST(LossReport, TellsWhatTheJobWaitedFor) {
  const QueueLoss loss =
      SummaryOf(kAccepted + Waits(1001, "fragmented") + Waits(1501, "no_rack_with_room") +
                Placed(4000, 1) + Ended(6000, 1, "done") + Completed(6000));
  EXPECT_EQ(loss.late, 1);
  const LossRow& row = loss.causes.at({DelayCause::kWaiting, "no_rack_with_room"});
  EXPECT_EQ(row.jobs, 1);
  EXPECT_NEAR(row.seconds, 2.499, 1e-6);
}

TEST(LossReport, CountsRepeatedRunsByTheirEnd) {
  const QueueLoss loss = SummaryOf(kAccepted + Placed(1000, 1) + Ended(3000, 1, "stopped") +
                                   Placed(3200, 2) + Ended(5200, 2, "done") + Completed(5200));
  EXPECT_EQ(loss.causes.at({DelayCause::kPreempted, ""}).jobs, 1);
}

// One member of a gang fails and the others are stopped for it, which is no preemption.
TEST(LossReport, CountsAFailedMemberForTheWholeGang) {
  const std::string other =
      R"({"time_ms":1000,"event":"run_placed","job":"j","task":"j.0.0.1","run":1})"
      "\n"
      R"({"time_ms":3000,"event":"run_ended","job":"j","task":"j.0.0.1","how":"failed","run":1})"
      "\n";
  const QueueLoss loss = SummaryOf(kAccepted + Placed(1000, 1) + other + Ended(3100, 1, "stopped") +
                                   Placed(3200, 2) + Ended(5200, 2, "done") + Completed(5200));
  EXPECT_EQ(loss.causes.count({DelayCause::kPreempted, ""}), 0U);
  EXPECT_EQ(loss.causes.at({DelayCause::kFailedRuns, ""}).jobs, 1);
}

// A gang that is spread over several racks is late without having waited.
TEST(LossReport, TellsRunsOffTheirRack) {
  const QueueLoss loss =
      SummaryOf(kAccepted + Placed(1000, 1, 3) + Ended(7000, 1, "done") + Completed(7000));
  EXPECT_EQ(loss.late, 1);
  EXPECT_NEAR(loss.causes.at({DelayCause::kOffRack, ""}).seconds, 4, 1e-6);
}

// The due time used to follow from the actual run, so that a job on a slow worker was never late.
TEST(LossReport, TellsRunsOnSlowWorkers) {
  const QueueLoss loss =
      SummaryOf(kAccepted + RunOn("n", 0, 1.6, 1.6, 1100, 4300) + Completed(4300));
  EXPECT_EQ(loss.late, 1);
  const LossRow& row = loss.causes.at({DelayCause::kSlowWorker, ""});
  EXPECT_EQ(row.jobs, 1);
  EXPECT_NEAR(row.seconds, 1.2, 1e-6);
}

// A typical worker would have taken longer than the fast one, so this job has time to wait.
TEST(LossReport, FastWorkersDoNotShortenTheDueTime) {
  const QueueLoss loss =
      SummaryOf(kAccepted + RunOn("n", 0, 0.5, 0.5, 2500, 3500) + Completed(3500));
  EXPECT_EQ(loss.late + loss.lost, 0);
}

// At the start the planner does not know the worker yet.
TEST(LossReport, TheFactorAtTheEndOfARunCounts) {
  const QueueLoss loss = SummaryOf(kAccepted + RunOn("n", 0, 1, 1.6, 1100, 4300) + Completed(4300));
  EXPECT_EQ(loss.causes.count({DelayCause::kSlowWorker, ""}), 1U);
}

// Older planners log no factor at the end of a run, or none at all.
TEST(LossReport, TheFactorAtTheStartCountsWithoutOneAtTheEnd) {
  const std::string placed =
      R"({"time_ms":1100,"event":"run_placed","job":"j","task":"j.0.0.0","time_factor":1.6,"run":1})"
      "\n";
  const QueueLoss loss = SummaryOf(kAccepted + placed + Ended(4300, 1, "done") + Completed(4300));
  EXPECT_EQ(loss.causes.count({DelayCause::kSlowWorker, ""}), 1U);
}

// A task with more work than the others ends last on a fast worker. The step did not wait for the
// slow one.
TEST(LossReport, SlowWorkersThatNothingWaitedForAreNoCause) {
  const QueueLoss loss =
      SummaryOf(kAccepted + Waits(1001, "pool_full") + RunOn("slow", 0, 1.6, 1.6, 1500, 3100) +
                RunOn("fast", 1, 0.8, 0.8, 5000, 6600) + Completed(6600));
  EXPECT_EQ(loss.late, 1);
  EXPECT_EQ(loss.causes.count({DelayCause::kSlowWorker, ""}), 0U);
}

// The time of a run that is off its rack on a slow worker must not count as work.
TEST(LossReport, OffRackAndSlowWorkersTogetherShortenTheDueTime) {
  const std::string placed =
      R"({"time_ms":1000,"event":"run_placed","job":"j","task":"j.0.0.0","slowdown":1.5,)"
      R"("time_factor":1.5,"run":1})"
      "\n";
  const QueueLoss loss = SummaryOf(kAccepted + placed + Ended(3250, 1, "done") + Completed(3250));
  EXPECT_EQ(loss.late, 1);
  EXPECT_NEAR(loss.causes.at({DelayCause::kOffRack, ""}).seconds, 0.75, 1e-6);
}

// One line of another program must not end the report.
TEST(LossReport, IgnoresLinesWithFieldsOfOtherTypes) {
  const QueueLoss loss =
      SummaryOf(std::string(R"({"event":"run_placed","job":"j","run":"first","task":3})") + "\n" +
                R"({"event":["run_placed"],"job":"j"})" + "\n" + R"({"event":"x","job":7})" + "\n" +
                kAccepted + Placed(2000, 1) + Ended(4000, 1, "done") + Completed(4001));
  EXPECT_EQ(loss.completed, 1);
}

TEST(LossReport, JobsThatAreTooLateOrDoNotEndAreLost) {
  const QueueLoss too_late =
      SummaryOf(kAccepted + Placed(9000, 1) + Ended(11'000, 1, "done") + Completed(11'000));
  EXPECT_EQ(too_late.lost, 1);
  EXPECT_EQ(SummaryOf(kAccepted + Placed(1000, 1)).lost, 1);
}

TEST(LossReport, CancelledJobsAreNoLoss) {
  const QueueLoss loss = SummaryOf(
      kAccepted +
      std::string(R"({"time_ms":9000,"event":"job_ended","job":"j","state":"cancelled"})") + "\n" +
      R"({"time_ms":1,"event":"job_accepted","job":"k","queue":"urgent"})");
  EXPECT_EQ(loss.lost, 1);
}

}  // namespace
}  // namespace turmericshift
