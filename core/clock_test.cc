#include "core/clock.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace turmericshift {
namespace {

void ReadClocks() {
  const bool passed = DefaultClock().Now() > Time{} && LeaseClock().Now() > Time{};
  std::fprintf(stderr, passed ? "both clocks read" : "a clock stands still");
}

// Reads the clocks after the destructors of all objects that they create.
void ExitAndReadClocksLast() {
  std::atexit(&ReadClocks);
  DefaultClock().Now();
  LeaseClock().Now();
  std::exit(0);
}

// Without optimisation, a thread that read a clock while its process ended called a pure virtual
// function.
TEST(ClockDeathTest, ClocksCanBeReadWhileTheProcessExits) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(ExitAndReadClocksLast(), testing::ExitedWithCode(0), "both clocks read");
}

}  // namespace
}  // namespace turmericshift
