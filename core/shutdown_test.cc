#include "core/shutdown.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>

#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

constexpr int kWaitedExitCode = 7;

class ShutdownSignalTest : public testing::Test {
 protected:
  // The process under test must not inherit threads that don't block the signal.
  void SetUp() override { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

// A process that was asked to stop during its start went on starting first, for as long as the
// start waited.
TEST_F(ShutdownSignalTest, EndsTheProcessDuringItsStart) {
  EXPECT_EXIT(
      {
        ShutdownSignal signal;
        signal.EndDuringStart();
        kill(getpid(), SIGTERM);
        while (true) pause();
      },
      testing::ExitedWithCode(0), "stop_asked");
}

TEST_F(ShutdownSignalTest, LeavesTheSignalToWaitOnceItServes) {
  EXPECT_EXIT(
      {
        ShutdownSignal signal;
        signal.EndDuringStart();
        signal.BeginServing();
        const Time before = DefaultClock().Now();
        kill(getpid(), SIGTERM);
        const Time asked_at = signal.Wait();
        const bool in_order = before <= asked_at && asked_at <= DefaultClock().Now();
        _exit(in_order ? kWaitedExitCode : EXIT_FAILURE);
      },
      testing::ExitedWithCode(kWaitedExitCode), "stop_asked");
}

// A process that can't start a thread is asked to stop. If the stop needed one, it would be cut: no
// caller would get a response, and no leadership would be released.
TEST_F(ShutdownSignalTest, StopsWithoutStartingAThread) {
  EXPECT_EXIT(
      {
        ShutdownSignal signal;
        signal.EndDuringStart();
        signal.BeginServing();
        const ThreadShortage shortage("");
        kill(getpid(), SIGTERM);
        signal.Wait();
        signal.ExitOnNextSignal();
        kill(getpid(), SIGTERM);
        while (true) pause();
      },
      testing::ExitedWithCode(1), "stop_cut");
}

}  // namespace
}  // namespace turmericshift
