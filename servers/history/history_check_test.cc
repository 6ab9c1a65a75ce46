#include "servers/history/history_check.h"

#include <gtest/gtest.h>

#include <sstream>

#include "core/error.h"
#include "core/logging.h"
#include "servers/history/history_recorder.h"

namespace turmericshift {
namespace {

History Read(const std::string& lines) {
  History history;
  std::istringstream stream(lines);
  ReadHistory("test", &stream, &history);
  SortHistory(&history);
  return history;
}

CheckResult Run(const std::string& check, const std::string& lines) {
  HistoryBounds bounds;
  bounds.job_silence = std::chrono::minutes(1);
  return CheckHistory(Read(lines), bounds, {check}).front();
}

void ExpectVerdict(const std::string& check, CheckVerdict verdict, const std::string& lines) {
  const CheckResult result = Run(check, lines);
  EXPECT_EQ(result.verdict, verdict) << check << ": " << result.message;
}

constexpr auto kHeld = CheckVerdict::kHeld;
constexpr auto kViolated = CheckVerdict::kViolated;
constexpr auto kNotChecked = CheckVerdict::kNotChecked;

// A request was sent to a second agent after the first agent's answer was lost, so a customer is
// charged twice.
TEST(HistoryCheckTest, DetectsRequestThatRanTwice) {
  const std::string once = R"({"event":"request_run","time_ms":1,"request":"a","key_tag":"k"}
)";
  const std::string twice = R"({"event":"request_run","time_ms":9,"request":"b","key_tag":"k"}
)";
  ExpectVerdict("at_most_once", kHeld, once);
  ExpectVerdict("at_most_once", kViolated, once + twice);
  ExpectVerdict("at_most_once", kNotChecked, R"({"event":"entry_leaving","time_ms":1})");
}

// Two answers on a connection were swapped, so a caller reads the data of another.
TEST(HistoryCheckTest, DetectsAnswerOfAnotherRequest) {
  const std::string ran =
      R"({"event":"request_run","time_ms":1,"request":"a","key_tag":""}
{"event":"request_ran","time_ms":2,"request":"a","key_tag":"","answer_digest":"x"}
)";
  const std::string answered =
      R"({"event":"request_answered","time_ms":3,"request":"a","outcome":"ran","answer_digest":)";
  ExpectVerdict("answer_matches_request", kHeld, ran + answered + "\"x\"}");
  ExpectVerdict("answer_matches_request", kViolated, ran + answered + "\"y\"}");
}

// An entry gave up on a target and answered "not run" while the target went on. The caller sends
// the order again, and the order is carried out twice.
TEST(HistoryCheckTest, DetectsFalseNotRun) {
  const std::string answered =
      R"({"event":"request_answered","time_ms":3,"request":"a","outcome":"not_run"}
)";
  ExpectVerdict("not_run_is_true", kHeld,
                answered + R"({"event":"request_run","time_ms":4,"request":"b"})");
  ExpectVerdict("not_run_is_true", kViolated,
                answered + R"({"event":"request_run","time_ms":4,"request":"a"})");
}

// An agent accepted an older document from an entry that lagged behind, so a zone that operators
// took out comes back into use.
TEST(HistoryCheckTest, DetectsRevertedDocument) {
  const std::string second =
      R"({"event":"config_in_force","time_ms":1,"agent":"w","version":2,"digest":"b"}
)";
  ExpectVerdict("config_never_reverts", kHeld, second);
  ExpectVerdict(
      "config_never_reverts", kViolated,
      second + R"({"event":"config_in_force","time_ms":5,"agent":"w","version":1,"digest":"a"})");
  ExpectVerdict(
      "config_never_reverts", kViolated,
      second + R"({"event":"config_in_force","time_ms":5,"agent":"v","version":2,"digest":"c"})");
}

// A worker that had lost its connection started a task in a zone that was being powered down.
TEST(HistoryCheckTest, DetectsStartInZoneOutOfUse) {
  const std::string out =
      R"({"event":"config_accepted","time_ms":1000,"version":1,"digest":"a","zones_out":["z"]}
)";
  const auto release = [](int time_ms) {
    return R"({"event":"gang_released","job":"j","worker":"w","zone":"z","tasks":1,"time_ms":)" +
           std::to_string(time_ms) + "}\n";
  };
  ExpectVerdict("no_start_after_zone_exit", kHeld, out + release(3900));
  ExpectVerdict("no_start_after_zone_exit", kViolated, out + release(4100));
  ExpectVerdict("no_start_after_zone_exit", kHeld,
                out + R"({"event":"config_accepted","time_ms":3000,"version":2,"digest":"b"}
)" + release(4100));
}

constexpr const char* kGang =
    R"({"event":"gang_planned","time_ms":1,"job":"j","attempt":1,"tasks":2}
{"event":"gang_released","time_ms":2,"job":"j","attempt":1,"worker":"a","tasks":1}
{"event":"gang_released","time_ms":3,"job":"j","attempt":1,"worker":"b","tasks":1}
{"event":"gang_stopped","time_ms":4,"job":"j","attempt":1,"worker":"a","tasks":1}
)";

// A member's worker died and the other members were not stopped. They hold accelerators for hours
// without making progress.
TEST(HistoryCheckTest, DetectsPartialGang) {
  const std::string stops =
      R"({"event":"gang_stopped","time_ms":9000,"job":"j","attempt":1,"worker":"b","tasks":1}
)";
  const std::string later =
      R"({"event":"gang_planned","time_ms":20000,"job":"k","attempt":1,"tasks":1})";
  ExpectVerdict("no_partial_gang", kHeld, kGang + stops + later);
  ExpectVerdict("no_partial_gang", kViolated, kGang + later);
}

// A planner that resumed after a pause started a job that its successor had started elsewhere.
TEST(HistoryCheckTest, DetectsConcurrentAttempts) {
  const std::string second =
      R"({"event":"gang_released","time_ms":8,"job":"j","attempt":2,"worker":"c","tasks":1})";
  const std::string stop =
      R"({"event":"gang_stopped","time_ms":7,"job":"j","attempt":1,"worker":"b","tasks":1}
)";
  ExpectVerdict("no_two_attempts_at_once", kHeld, kGang + stop + second);
  ExpectVerdict("no_two_attempts_at_once", kViolated, kGang + second);
}

TEST(HistoryCheckTest, DetectsJobDoneTwice) {
  const std::string done =
      R"({"event":"job_ended","time_ms":1,"job":"j","attempt":1,"state":"done"}
)";
  ExpectVerdict("job_done_at_most_once", kHeld, done + done);
  ExpectVerdict("job_done_at_most_once", kViolated,
                done + R"({"event":"job_ended","time_ms":2,"job":"j","attempt":2,"state":"done"})");
}

// The zone's planner was replaced and its successor did not take over all jobs, so a caller polls a
// job that will never run.
TEST(HistoryCheckTest, DetectsForgottenJob) {
  const std::string accepted = R"({"event":"job_accepted","time_ms":1,"job":"j"}
)";
  const auto other = [](int time_ms) {
    return R"({"event":"job_started","job":"k","time_ms":)" + std::to_string(time_ms) + "}\n";
  };
  ExpectVerdict("no_job_forgotten", kHeld, accepted + other(50000));
  ExpectVerdict("no_job_forgotten", kViolated, accepted + other(90000));
  ExpectVerdict("no_job_forgotten", kHeld,
                accepted + R"({"event":"job_ended","time_ms":2,"job":"j","state":"done"}
)" + other(90000));
}

TEST(HistoryCheckTest, DetectsLateReclaim) {
  const std::string claim = R"({"event":"guarantee_claimed","time_ms":1,"job":"j"}
)";
  const auto start = [](int time_ms) {
    return R"({"event":"job_started","job":"j","time_ms":)" + std::to_string(time_ms) + "}\n";
  };
  ExpectVerdict("guarantee_reclaimed_within_bound", kHeld, claim + start(30000));
  ExpectVerdict("guarantee_reclaimed_within_bound", kViolated, claim + start(30002));
}

// A daemon was killed while it wrote a line. The rest of the log must still be read, and the
// truncated line must not be taken for an event.
TEST(HistoryCheckTest, CountsTruncatedLinesAndRejectsInvalidEvents) {
  const History history = Read("{\"event\":\"request_run\",\"time_m\nnot json\n");
  EXPECT_EQ(history.unreadable, 2);
  EXPECT_THROW(Read(R"({"event":"request_run","time_ms":1})"), Error);
  EXPECT_THROW(Read(R"({"event":"request_run","time_ms":"soon","request":"a"})"), Error);
}

TEST(HistoryRecorderTest, RecordsEventsOfThisProcess) {
  const HistoryRecorder recorder;
  LogEvent(LogLevel::kInfo, "job_accepted", {{"job", "w/one"}});
  LogEvent(LogLevel::kInfo, "entry_leaving");
  ASSERT_EQ(recorder.Recorded().events.size(), 1U);
  EXPECT_EQ(recorder.Recorded().events.front().job, "w/one");
}

}  // namespace
}  // namespace turmericshift
