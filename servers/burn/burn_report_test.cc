#include "servers/burn/burn_report.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "servers/burn/burn_format.h"

namespace turmericshift {
namespace {

constexpr int64_t kMinute = 60000;

Environment TestEnvironment() {
  Environment environment;
  environment.deployment = "small <test>";
  WorkspaceSpec workspace;
  workspace.name = "w";
  workspace.objectives = {0.9, 0.99, 0.9};
  environment.workspaces["w"] = workspace;
  return environment;
}

History Read(const std::string& lines) {
  History history;
  std::istringstream stream(lines);
  ReadHistory("test", &stream, &history);
  SortHistory(&history);
  return history;
}

std::string Answered(int64_t minute, const std::string& outcome, const std::string& kind) {
  return R"({"event":"request_answered","request":"r","workspace":"w","time_ms":)" +
         std::to_string(minute * kMinute) + R"(,"outcome":")" + outcome + R"(","status":200)" +
         (kind.empty() ? "" : R"(,"kind":")" + kind + "\"") + "}\n";
}

BurnReport Report(const std::string& lines) {
  return MakeBurnReport(Read(lines), TestEnvironment(), BurnOptions());
}

// Every fifth request of the last hour is shed. The report must raise an alert and name the cause.
TEST(BurnReportTest, FastBurnRaisesAlertWithCause) {
  std::string lines;
  for (int minute = 0; minute < 600; ++minute) lines += Answered(minute, "ran", "");
  for (int minute = 600; minute < 660; ++minute) {
    lines +=
        minute % 5 == 0 ? Answered(minute, "not_run", "overloaded") : Answered(minute, "ran", "");
  }
  const BurnReport report = Report(lines);
  ASSERT_EQ(report.rows.size(), 1U);
  const BurnRow& row = report.rows.front();
  EXPECT_TRUE(row.alert());
  EXPECT_TRUE(row.pairs[0].alert);
  EXPECT_NEAR(row.pairs[0].long_rate, 20, 0.1);
  EXPECT_EQ(row.causes.at("overloaded"), 12);
  EXPECT_NEAR(row.budget_left, 1 - (12.0 / 660) / 0.01, 1e-9);
}

// A burst of failures that ended hours ago must not raise an alert.
TEST(BurnReportTest, PastBurnRaisesNoAlert) {
  std::string lines;
  for (int minute = 0; minute < 30; ++minute) lines += Answered(minute, "unknown", "unavailable");
  for (int minute = 30; minute < 400; ++minute) lines += Answered(minute, "ran", "");
  const BurnReport report = Report(lines);
  EXPECT_FALSE(report.rows.front().pairs[0].alert);
  EXPECT_FALSE(report.rows.front().pairs[1].alert);
  EXPECT_LT(report.rows.front().budget_left, 0);
}

// Busy hours change, so the same events at another hour of the day must give the same report.
TEST(BurnReportTest, IsIndependentOfTheHourOfTheDay) {
  std::string evening;
  std::string morning;
  for (int minute = 0; minute < 200; ++minute) {
    const std::string outcome = minute % 7 == 0 ? "not_run" : "ran";
    const std::string kind = minute % 7 == 0 ? "overloaded" : "";
    evening += Answered(20 * 60 + minute, outcome, kind);
    morning += Answered(6 * 60 + minute, outcome, kind);
  }
  EXPECT_EQ(BurnJson(Report(evening))["objectives"], BurnJson(Report(morning))["objectives"]);
}

TEST(BurnReportTest, IgnoresCallerErrors) {
  EXPECT_TRUE(Report(Answered(1, "not_run", "invalid_input")).rows.empty());
}

TEST(BurnReportTest, CountsPlansAndStartsAgainstTheirBounds) {
  const std::string lines =
      R"({"event":"job_started","job":"w/a","workspace":"w","time_ms":1,"waited_ms":40000,"borrowed":false}
{"event":"job_started","job":"w/b","workspace":"w","time_ms":2,"waited_ms":1000,"borrowed":false}
{"event":"job_started","job":"w/c","workspace":"w","time_ms":3,"waited_ms":900000,"borrowed":true}
{"event":"job_ended","job":"w/a","workspace":"w","time_ms":4,"state":"done","took_ms":100000,"declared_ms":60000}
{"event":"job_ended","job":"w/b","workspace":"w","time_ms":5,"state":"failed","took_ms":1,"declared_ms":60000}
{"event":"job_ended","job":"w/c","workspace":"w","time_ms":6,"state":"done","took_ms":960000,"declared_ms":60000}
{"event":"job_ended","job":"w/d","workspace":"w","time_ms":7,"state":"done","took_ms":960000,"declared_ms":60000}
{"event":"job_ended","job":"w/e","workspace":"w","time_ms":8,"state":"cancelled"}
)";
  const BurnReport report = Report(lines);
  ASSERT_EQ(report.rows.size(), 2U);
  const BurnRow& plans = report.rows[0];
  EXPECT_EQ(plans.objective, Objective::kPlansOnTime);
  EXPECT_EQ(plans.total, 4);
  const std::map<std::string, int64_t> causes = {
      {"failed", 1}, {"ran_longer_than_declared", 1}, {"waited_for_room", 1}};
  EXPECT_EQ(plans.causes, causes);
  EXPECT_EQ(report.rows[1].total, 2);
  EXPECT_EQ(report.rows[1].bad, 1);
}

// A workspace whose job waits for its own work, which uses up the guarantee, has no claim to an
// earlier start.
TEST(BurnReportTest, WaitingForOwnWorkIsNotCountedAsBad) {
  const std::string own =
      R"({"event":"job_ended","job":"w/a","workspace":"w","time_ms":90000,"state":"cancelled"}
{"event":"job_started","job":"w/b","workspace":"w","time_ms":95000,"waited_ms":90000,"borrowed":false}
)";
  EXPECT_EQ(Report(own).rows.front().bad, 0);
  const std::string claimed =
      R"({"event":"guarantee_claimed","job":"w/c","time_ms":100000}
{"event":"job_ended","job":"w/d","workspace":"w","time_ms":150000,"state":"cancelled"}
{"event":"job_started","job":"w/c","workspace":"w","time_ms":151000,"waited_ms":60000,"borrowed":true}
)";
  EXPECT_EQ(Report(own + claimed).rows.front().bad, 1);
}

TEST(BurnReportTest, HtmlIsSelfContainedAndEscapesNames) {
  const std::string html = BurnHtml(Report(Answered(1, "ran", "") + Answered(9, "ran", "")));
  EXPECT_NE(html.find("small &lt;test&gt;"), std::string::npos);
  EXPECT_NE(html.find("<polyline"), std::string::npos);
  EXPECT_EQ(html.find("<script"), std::string::npos);
  EXPECT_EQ(html.find("src="), std::string::npos);
  EXPECT_NE(BurnHtml(Report("")).find("hold nothing"), std::string::npos);
}

}  // namespace
}  // namespace turmericshift
