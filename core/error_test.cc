#include "core/error.h"

#include <gtest/gtest.h>

#include <set>

namespace turmericshift {
namespace {

TEST(ErrorTest, TableHasOneRowForEveryKind) {
  std::set<std::string> names;
  for (int index = 0; index < kErrorKindCount; ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    const ErrorInfo& answer = ErrorInfoFor(kind);
    EXPECT_EQ(answer.kind, kind);
    EXPECT_TRUE(names.insert(answer.name).second) << answer.name;
    EXPECT_GE(answer.http_status, 400);
    EXPECT_EQ(ErrorKindFromName(answer.name), kind);
  }
}

TEST(ErrorTest, UnknownOutcomeNameNeverReadsAsNotRun) {
  EXPECT_EQ(OutcomeFromName("not run"), Outcome::kUnknown);
  EXPECT_EQ(OutcomeFromName(""), Outcome::kUnknown);
  EXPECT_EQ(OutcomeFromName("not_run"), Outcome::kNotRun);
}

// The help says of status 3 that nothing was done; an entry that was lost may have done it.
TEST(ErrorTest, AnUnknownOutcomeNeverExitsAsNotRun) {
  const Error log_silent(ErrorKind::kLogUnavailable, Outcome::kUnknown, "no answer");
  const Error log_away(ErrorKind::kLogUnavailable, Outcome::kNotRun, "refused");
  EXPECT_EQ(ExitCodeFor(log_silent), ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeFor(log_away), ExitCode::kUnavailable);
  EXPECT_EQ(ExitCodeFor(Error(ErrorKind::kConnectionLost, "reset")), ExitCode::kUnknown);
  EXPECT_EQ(ExitCodeFor(Error(ErrorKind::kDeadlineExceeded, "silent")), ExitCode::kTimedOut);
}

}  // namespace
}  // namespace turmericshift
