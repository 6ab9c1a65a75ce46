// Writes log lines from a thread of its own, so that nobody waits for a reader: a pipe that is not
// read would otherwise stop a planner in the middle of a decision. What does not fit is dropped,
// the less telling lines first, and counted.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include "core/clock.h"
#include "core/logging.h"
#include "core/thread.h"

namespace turmericshift {

// Lines kept for a reader that is slow: some seconds of a burst day at the planner's entry, and at
// some 300 bytes a line little beside the 32 MB of a node.
inline constexpr size_t kMostLogLines = 4096;

class LogWriter {
 public:
  // Writes to the descriptor `fd`, which it does not close.
  explicit LogWriter(int fd, size_t most_lines = kMostLogLines);
  // Writes what it can without waiting for a reader.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Never blocks on the descriptor. Lines of level kInfo are dropped when half of the room is
  // taken, others when all of it is.
  void Put(LogLevel level, std::string line);
  // Waits until all lines are written, at most `limit`.
  void Flush(Duration limit);
  int64_t dropped() const;

 private:
  void Run();
  // A line that tells how many were dropped since the last; empty when none were.
  std::string DroppedLine();
  // False when the descriptor takes nothing any more or the writer is to stop.
  bool WriteAll(const std::string& bytes);

  const int fd_;
  const size_t most_lines_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> lines_;
  bool writing_ = false;
  bool stopping_ = false;
  int64_t dropped_ = 0;
  int64_t dropped_told_ = 0;
  Thread thread_;
};

}  // namespace turmericshift
