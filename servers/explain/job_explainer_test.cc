#include "servers/explain/job_explainer.h"

#include <gtest/gtest.h>

#include <sstream>

namespace turmericshift {
namespace {

JobExplanation ExplainJob(const std::string& lines, const std::string& job = "j") {
  std::istringstream in(lines);
  JobExplainer explainer;
  explainer.Read(in);
  return explainer.Explain(job);
}

TEST(JobExplainer, SortsLinesOfSeveralProcesses) {
  const JobExplanation explanation = ExplainJob(
      "  3.1 agent-1 "
      "{\"time_ms\":30,\"event\":\"start_answered\",\"job\":\"j\",\"process\":\"a\"}\n"
      "{\"time_ms\":10,\"event\":\"job_accepted\",\"job\":\"j\",\"process\":\"e\"}\n"
      "not a line of ours\n"
      "{\"time_ms\":40,\"event\":\"job_ended\",\"job\":\"j\",\"state\":\"completed\"}\n"
      "{\"time_ms\":20,\"event\":\"run_placed\",\"job\":\"j\",\"node\":\"n\"}\n"
      "{\"time_ms\":20,\"event\":\"run_placed\",\"job\":\"other\"}\n");
  ASSERT_EQ(explanation.lines.size(), 4U);
  EXPECT_EQ(explanation.lines[0].event, "job_accepted");
  EXPECT_EQ(explanation.lines[1].details, "node=n");
  EXPECT_EQ(explanation.outcome, JobOutcome::kCompleted);
  EXPECT_EQ(explanation.runs, 1);
}

// A job whose record was never sent must not be explained as one that waited for room.
TEST(JobExplainer, ReportsWithdrawnRecord) {
  const std::string withdrawn =
      "{\"time_ms\":10,\"event\":\"submission_withdrawn\",\"job\":\"j\",\"callers\":2}\n";
  const JobExplanation refused = ExplainJob(
      withdrawn +
      "{\"time_ms\":11,\"event\":\"job_not_accepted\",\"job\":\"j\",\"not_run\":true}\n");
  EXPECT_EQ(refused.outcome, JobOutcome::kRefused);
  EXPECT_NE(refused.cause.find("withdrawn"), std::string::npos);
  const JobExplanation lost =
      ExplainJob(withdrawn + "{\"time_ms\":12,\"event\":\"job_accepted\",\"job\":\"j\"}\n");
  EXPECT_EQ(lost.outcome, JobOutcome::kUnfinished);
  EXPECT_NE(lost.cause.find("withdrawn"), std::string::npos);
}

TEST(JobExplainer, DistinguishesRefusalFromUnknownOutcome) {
  EXPECT_EQ(
      ExplainJob(R"({"event":"job_not_accepted","job":"j","not_run":true,"reason":"no planner"})")
          .outcome,
      JobOutcome::kRefused);
  const JobExplanation unknown =
      ExplainJob(R"({"event":"job_not_accepted","job":"j","not_run":false,"reason":"timed out"})");
  EXPECT_EQ(unknown.outcome, JobOutcome::kUnknownToCaller);
  EXPECT_NE(unknown.cause.find("timed out"), std::string::npos);
}

TEST(JobExplainer, ReportsCauseOfDelay) {
  const JobExplanation explanation = ExplainJob(R"({"time_ms":1,"event":"job_accepted","job":"j"}
{"time_ms":2,"event":"run_placed","job":"j"}
{"time_ms":3,"event":"run_ended","job":"j","how":"stopped","asked":true}
{"time_ms":4,"event":"run_placed","job":"j"}
{"time_ms":9,"event":"job_ended","job":"j","state":"completed"})");
  EXPECT_EQ(explanation.stopped_runs, 1);
  EXPECT_NE(explanation.cause.find("1 run stopped"), std::string::npos);
}

TEST(JobExplainer, ReportsUnknownJobAsNotSeen) {
  EXPECT_EQ(ExplainJob("").outcome, JobOutcome::kNotSeen);
}

}  // namespace
}  // namespace turmericshift
