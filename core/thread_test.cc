#include "core/thread.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <stdexcept>

#include "core/error.h"

namespace turmericshift {
namespace {

// Ends a child process that does not end by itself.
constexpr unsigned kChildLimitSeconds = 60;

[[noreturn]] void WaitForever() {
  while (true) pause();
}

class ThreadDeathTest : public testing::Test {
 protected:
  ThreadDeathTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

// A process that goes on without an essential thread would look healthy and not do its work. It
// must end although other threads never end.
TEST_F(ThreadDeathTest, ProcessEndsWithAnErrorLineWhenAnEssentialThreadThrows) {
  const auto run = [] {
    alarm(kChildLimitSeconds);
    const Thread other("other", [] { WaitForever(); });
    const Thread thread(ThreadRole::kEssential, "decide",
                        [] { throw std::runtime_error("out of luck"); });
    WaitForever();
  };
  EXPECT_EXIT(
      run(), testing::ExitedWithCode(1),
      R"("event":"thread_failed","level":"error","thread":"decide","thread_role":"essential")");
}

// A failed thread of one connection must not take the other connections' process with it.
TEST_F(ThreadDeathTest, ProcessGoesOnWhenAnExpendableThreadThrows) {
  const auto run = [] {
    alarm(kChildLimitSeconds);
    Thread thread("agent-session", [] { throw std::runtime_error("out of luck"); });
    thread.Join();
    _exit(0);
  };
  EXPECT_EXIT(
      run(), testing::ExitedWithCode(0),
      R"("thread_failed","level":"error","thread":"agent-session","thread_role":"expendable")");
}

// An exception that is not a std::exception must be treated alike.
TEST_F(ThreadDeathTest, ProcessEndsWithAnErrorLineWhenAnEssentialThreadThrowsAnUnknownType) {
  const auto run = [] {
    alarm(kChildLimitSeconds);
    const Thread thread(ThreadRole::kEssential, "decide", [] { throw 7; });
    WaitForever();
  };
  EXPECT_EXIT(run(), testing::ExitedWithCode(1), "thread_failed.*decide.*essential");
}

std::string failed_thread;

// A process that embeds the library may not want to end.
TEST(ThreadTest, EmbedderReplacesTheActionForEssentialThreads) {
  SetEssentialThreadAction([](const std::string& thread) { failed_thread = thread; });
  Thread thread(ThreadRole::kEssential, "decide", [] { throw std::runtime_error("out of luck"); });
  thread.Join();
  SetEssentialThreadAction(nullptr);
  EXPECT_EQ(failed_thread, "decide");
}

// A thread that can't be started is reported as not run.
TEST(ThreadTest, ThrowsIfTheSystemRefusesTheThread) {
  constexpr size_t kImpossibleStackBytes = size_t{1} << 60;
  try {
    const Thread thread(
        "large", [] {}, kImpossibleStackBytes);
    ADD_FAILURE() << "the thread was started";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kUnavailable);
    EXPECT_EQ(error.outcome(), Outcome::kNotRun);
  }
}

}  // namespace
}  // namespace turmericshift
