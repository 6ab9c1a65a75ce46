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
