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

std::string Accepted() {
  return R"({"time_ms":1000,"event":"job_accepted","job":"j","queue":"urgent"})"
         "\n";
}

std::string Completed(int64_t time_ms) {
  return "{\"time_ms\":" + std::to_string(time_ms) +
         R"(,"event":"job_ended","job":"j","state":"completed","stretch":1.5,"target_s":0.25})"
         "\n";
}

// A run of the job's only step from 1.1 s to 4.3 s that was expected to take 1.6 times as long as
// on a typical worker.
std::string SlowRunOn(const std::string& node, int task) {
  const std::string name = R"("job":"j","task":"j.0.0.)" + std::to_string(task) +
                           R"(","run":1,"node":")" + node + R"(","time_factor":1.6})";
  return R"({"time_ms":1100,"event":"run_placed",)" + name + "\n" +
         R"({"time_ms":4300,"event":"run_ended","how":"done",)" + name + "\n";
}

std::string Speed(int64_t time_ms, const std::string& node, double factor) {
  return R"({"event":"worker_speed","node":")" + node +
         "\",\"time_ms\":" + std::to_string(time_ms) +
         ",\"time_factor\":" + std::to_string(factor) + "}\n";
}

// A job that began at once and was late by its worker was explained as not delayed.
TEST(JobExplainer, NamesTheSlowWorkerOfALateJob) {
  const JobExplanation explanation = ExplainJob(Accepted() + SlowRunOn("n1", 0) + Completed(4300));
  EXPECT_EQ(explanation.cause,
            "it was delayed most by a slow worker n1: its run took 1.60 times as long as on a "
            "typical worker and lost 1.2 s");
}

// The factor of a gang is that of its slowest worker, and its lines don't tell which one it is.
TEST(JobExplainer, NamesTheSlowestWorkerOfAGang) {
  const std::string gang = Accepted() + SlowRunOn("n1", 0) + SlowRunOn("n2", 1) + Completed(4300);
  const JobExplanation known =
      ExplainJob(gang + Speed(500, "n1", 0.6) + Speed(600, "n2", 1.6) + Speed(9000, "n1", 3));
  EXPECT_NE(known.cause.find("slow worker n2:"), std::string::npos) << known.cause;
  const JobExplanation unknown = ExplainJob(gang);
  EXPECT_NE(unknown.cause.find("one of n1, n2:"), std::string::npos) << unknown.cause;
}

// A slow worker must not hide a longer wait.
TEST(JobExplainer, ReportsTheLargestDelay) {
  const JobExplanation explanation =
      ExplainJob(R"({"time_ms":-1000,"event":"job_accepted","job":"j"})"
                 "\n" +
                 SlowRunOn("n1", 0) + Completed(4300));
  EXPECT_EQ(explanation.cause, "it waited 2100 ms for room");
}

// A job with slack that a slow worker took a little longer for was not delayed.
TEST(JobExplainer, DoesNotBlameSlowWorkersOfJobsInTime) {
  const JobExplanation explanation =
      ExplainJob(Accepted() +
                 R"({"time_ms":1001,"event":"run_placed","job":"j","task":"j.0.0.0","run":1})"
                 "\n"
                 R"({"time_ms":2001,"event":"run_ended","job":"j","task":"j.0.0.0","run":1,)"
                 R"("how":"done","time_factor":1.2})"
                 "\n" +
                 Completed(2001));
  EXPECT_EQ(explanation.cause, "it was not delayed");
}

TEST(JobExplainer, ReportsUnknownJobAsNotSeen) {
  EXPECT_EQ(ExplainJob("").outcome, JobOutcome::kNotSeen);
}

}  // namespace
}  // namespace turmericshift
