#include "core/error.h"

#include <gtest/gtest.h>

#include <set>

namespace turmericshift {
namespace {

TEST(ErrorTest, TableHasOneRowForEveryKind) {
  std::set<std::string> names;
  for (int index = 0; index < kErrorKindCount; ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    const ErrorInfo& info = ErrorInfoFor(kind);
    EXPECT_EQ(info.kind, kind);
    EXPECT_TRUE(names.insert(info.name).second) << info.name;
    EXPECT_GE(info.http_status, 400);
    EXPECT_EQ(ErrorKindFromName(info.name), kind);
  }
}

TEST(ErrorTest, UnknownOutcomeNameNeverReadsAsNotRun) {
  EXPECT_EQ(OutcomeFromName("not run"), Outcome::kUnknown);
  EXPECT_EQ(OutcomeFromName(""), Outcome::kUnknown);
  EXPECT_EQ(OutcomeFromName("not_run"), Outcome::kNotRun);
}

// Exit code 3 promises that nothing was done. After a lost connection the entry may have carried
// out the command, so the code must not be 3.
TEST(ErrorTest, AnUnknownOutcomeNeverExitsAsNotRun) {
  const Error log_timed_out(ErrorKind::kLogUnavailable, Outcome::kUnknown, "no answer");
  const Error log_refused(ErrorKind::kLogUnavailable, Outcome::kNotRun, "refused");
  EXPECT_EQ(ExitCodeFor(log_timed_out), ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeFor(log_refused), ExitCode::kUnavailable);
  EXPECT_EQ(ExitCodeFor(Error(ErrorKind::kConnectionLost, "reset")), ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeFor(Error(ErrorKind::kDeadlineExceeded, "silent")), ExitCode::kTimedOut);
}

}  // namespace
}  // namespace turmericshift
