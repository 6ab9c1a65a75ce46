#include "core/ini.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift {
namespace {

TEST(IniTest, ReportsLineOfOverlongLinesAndNulBytes) {
  const std::string text =
      "[a]\nkey = " + std::string(5000, 'x') + "\nother = " + std::string("b\0c", 3) + "\n";
  const IniFile file = ParseIni("f", text);
  ASSERT_EQ(file.problems.size(), 2U);
  EXPECT_EQ(file.problems[0].line, 2);
  EXPECT_EQ(file.problems[1].line, 3);
}

RC_GTEST_PROP(IniProperty, ParsesAnyBytesWithoutCrashing, (const std::string& text)) {
  ParseIni("f", text);
}

RC_GTEST_PROP(UnitsProperty, FormattedDurationsParseToTheSameValue, ()) {
  const auto millis = *rc::gen::inRange<int64_t>(0, int64_t{1} << 40);
  const Duration duration = std::chrono::milliseconds(millis);
  RC_ASSERT(ParseDuration(FormatDuration(duration)) == duration);
}

TEST(UnitsTest, RejectsMissingAndUnknownUnits) {
  for (const char* text : {"5", "5 s", "-5s", "5sec", "", "99999999999999999999s"}) {
    EXPECT_THROW(ParseDuration(text), Error) << text;
  }
  for (const char* text : {"5", "5MB", "-1B", "9999999999GiB"}) {
    EXPECT_THROW(ParseBytes(text), Error) << text;
  }
  EXPECT_THROW(ParseNumber("nan", 0, 1), Error);
}

}  // namespace
}  // namespace turmericshift
