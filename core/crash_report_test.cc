#include "core/crash_report.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>

namespace turmericshift {
namespace {

constexpr unsigned kLimitSeconds = 60;

// Crashes the process with its standard output at `output`. SIGALRM ends it if it does not end.
[[noreturn]] void Crash(int output) {
  dup2(output, STDOUT_FILENO);
  InstallCrashReport();
  alarm(kLimitSeconds);
  raise(SIGSEGV);
  _exit(0);
}

// Nobody reads the log of a process that crashes. If the report waited for a reader, the process
// would go on without the crashed thread, whose locks stay held.
TEST(CrashReport, EndsTheProcessThoughStandardOutputIsAFullPipe) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe2(ends.data(), O_NONBLOCK), 0);
  const std::array<char, 4096> block{};
  while (write(ends[1], block.data(), block.size()) > 0) continue;
  fcntl(ends[1], F_SETFL, 0);
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) Crash(ends[1]);
  int status = 0;
  ASSERT_EQ(waitpid(child, &status, 0), child);
  ASSERT_TRUE(WIFSIGNALED(status));
  EXPECT_EQ(WTERMSIG(status), SIGSEGV);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace turmericshift
