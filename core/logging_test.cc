#include "core/logging.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace turmericshift {
namespace {

void LogAtExit() { LogEvent(LogLevel::kInfo, "late", {{"at", "exit"}}); }

// Runs LogAtExit after the destructors of all objects that logging creates.
void ExitAndLogLast() {
  std::atexit(&LogAtExit);
  InitLogging("logging_test", {"a-role-with-a-name-on-the-heap", "", ""});
  LogEvent(LogLevel::kInfo, "early", {{"at", "start"}});
  std::exit(0);
}

// A thread that still logged while its process ended used freed memory.
TEST(LoggingDeathTest, LogsWhileTheProcessExits) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(ExitAndLogLast(), testing::ExitedWithCode(0),
              R"("late".*"role":"a-role-with-a-name-on-the-heap")");
}

}  // namespace
}  // namespace turmericshift
