#include "core/log_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace turmericshift {
namespace {

std::string ReadAll(int fd) {
  std::string all;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = read(fd, buffer, sizeof(buffer))) > 0) {
    all.append(buffer, static_cast<size_t>(count));
  }
  return all;
}

TEST(LogWriter, WritesLinesInTheirOrder) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  {
    LogWriter writer(ends[1]);
    writer.Put(LogLevel::kInfo, "one");
    writer.Put(LogLevel::kError, "two");
    writer.Flush(std::chrono::seconds(30));
  }
  close(ends[1]);
  EXPECT_EQ(ReadAll(ends[0]), "one\ntwo\n");
  close(ends[0]);
}

// Nobody reads the process's output. Logging must not block: info lines are dropped first, and the
// number of dropped lines is reported when the output is read again.
TEST(LogWriter, DoesNotBlockWithoutAReader) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const std::string line(1000, 'x');
  {
    LogWriter writer(ends[1], 100);
    for (int i = 0; i < 1000; ++i) writer.Put(LogLevel::kInfo, line);
    const int64_t dropped = writer.dropped();
    EXPECT_GT(dropped, 500);
    writer.Put(LogLevel::kWarning, "kept");
    EXPECT_EQ(writer.dropped(), dropped);
  }
  close(ends[1]);
  close(ends[0]);
}

TEST(LogWriter, ReportsNumberOfDroppedLines) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  std::string read_back;
  {
    LogWriter writer(ends[1], 4);
    while (writer.dropped() == 0) writer.Put(LogLevel::kInfo, std::string(70'000, 'x'));
    Thread reader("reader", [&] { read_back = ReadAll(ends[0]); });
    writer.Flush(std::chrono::seconds(30));
    close(ends[1]);
  }
  EXPECT_NE(read_back.find("log_lines_dropped"), std::string::npos);
  close(ends[0]);
}

}  // namespace
}  // namespace turmericshift
