// Writes log lines on a separate thread, so that logging never blocks on the reader: a pipe that is
// not read would otherwise stop a planner in the middle of a decision. Lines that do not fit into
// the queue are dropped, info lines first, and counted.
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

// Number of lines that are queued for a slow reader: a few seconds of log at peak load in the
// entry process that runs the planner. At about 300 bytes a line, this is little compared with a
// node's 32 MB.
inline constexpr size_t kMaxLogLines = 4096;

class LogWriter {
 public:
  // Writes to the descriptor `fd` without taking ownership of `fd`.
  explicit LogWriter(int fd, size_t max_lines = kMaxLogLines);
  // Writes as many queued lines as the descriptor accepts without waiting for a reader.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Queues a line; never blocks on the descriptor. Lines of level kInfo are dropped when the queue
  // is half full, other lines when the queue is full.
  void Put(LogLevel level, std::string line);
  // Waits, for `limit` at most, until all lines are written.
  void Flush(Duration limit);
  int64_t dropped() const;

 private:
  void Run();
  // Returns a log line with the number of lines dropped since the last such line, or "" if there
  // are none. Requires mutex_.
  std::string DroppedLine();
  // Returns false if the descriptor failed or the writer is stopping.
  bool WriteAll(const std::string& bytes);

  const int fd_;
  const size_t max_lines_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> lines_;
  bool writing_ = false;
  bool stopping_ = false;
  int64_t dropped_ = 0;
  int64_t dropped_reported_ = 0;
  Thread thread_;
};

}  // namespace turmericshift
