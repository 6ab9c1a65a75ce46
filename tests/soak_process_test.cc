#include "tests/soak/soak_process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <thread>

namespace turmericshift::soak {
namespace {

// A SIGTERM sent while a process was being restarted reached nobody. When another one reached the
// new process shortly before the first one's grace was over, the process was said to outlive it.
TEST(SoakProcessTest, GraceCountsFromASignalThatAProcessReceived) {
  // Inherited by the process, so that it outlives each stop.
  const auto previous = signal(SIGTERM, SIG_IGN);
  char folder[] = "/tmp/soak-process-XXXXXX";
  ASSERT_NE(mkdtemp(folder), nullptr);
  // Holds the process's start until somebody reads the pipe.
  const std::string output = std::string(folder) + "/sleeper.1.log";
  ASSERT_EQ(mkfifo(output.c_str(), 0600), 0);
  {
    SoakProcess process(
        {"sleeper", {"/bin/sleep", "1000"}, folder}, [](const nlohmann::json&) {},
        [](const std::string&) {});
    while (process.incarnation() == 0) std::this_thread::yield();
    StopRequest unreceived(&process);
    unreceived.Send();
    const int reader = open(output.c_str(), O_RDONLY | O_CLOEXEC);
    // Nobody else may open the pipe and wait for a writer.
    ASSERT_EQ(unlink(output.c_str()), 0);
    while (!process.runs(1)) std::this_thread::yield();
    StopRequest received(&process);
    received.Send();
    EXPECT_FALSE(unreceived.StillRuns());
    EXPECT_FALSE(unreceived.Outlived(Time::max()));
    EXPECT_TRUE(received.StillRuns());
    EXPECT_TRUE(received.Outlived(received.grace_ends_at()));
    // The signal may be sent late, so its grace counts from then.
    EXPECT_FALSE(received.Outlived(received.grace_ends_at() - std::chrono::milliseconds(1)));
    close(reader);
  }
  std::filesystem::remove_all(folder);
  signal(SIGTERM, previous);
}

}  // namespace
}  // namespace turmericshift::soak
