#include "core/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace turmericshift {
namespace {

// Interval at which a writer that waits for a slow reader checks whether to stop.
constexpr int kPollTimeoutMs = 200;

}  // namespace

LogWriter::LogWriter(int fd, size_t max_lines)
    : fd_(fd), max_lines_(max_lines), thread_(ThreadRole::kEssential, "log", [this] { Run(); }) {}

LogWriter::~LogWriter() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

void LogWriter::Put(LogLevel level, std::string line) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const size_t limit = level == LogLevel::kInfo ? max_lines_ / 2 : max_lines_;
    if (lines_.size() >= limit) {
      ++dropped_;
      return;
    }
    lines_.push_back(std::move(line));
  }
  changed_.notify_all();
}

void LogWriter::Flush(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, limit, [this] { return lines_.empty() && !writing_; });
}

int64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

std::string LogWriter::DroppedLine() {
  if (dropped_ == dropped_reported_) return "";
  const nlohmann::json line = {{"time_ms", DefaultClock().WallMillis()},
                               {"level", "warning"},
                               {"event", "log_lines_dropped"},
                               {"count", dropped_ - dropped_reported_}};
  dropped_reported_ = dropped_;
  return line.dump() + "\n";
}

void LogWriter::Run() {
  while (true) {
    std::string bytes;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      writing_ = false;
      changed_.notify_all();
      changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
      if (lines_.empty()) return;
      for (const std::string& line : lines_) bytes += line + "\n";
      lines_.clear();
      bytes += DroppedLine();
      writing_ = true;
    }
    if (!WriteAll(bytes)) return;
  }
}

bool LogWriter::WriteAll(const std::string& bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    pollfd ready{fd_, POLLOUT, 0};
    const int polled = poll(&ready, 1, kPollTimeoutMs);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (polled == 0 && stopping_) return false;
    }
    if (polled <= 0) continue;
    const size_t chunk = std::min<size_t>(bytes.size() - written, PIPE_BUF);
    const ssize_t count = write(fd_, bytes.data() + written, chunk);
    if (count > 0) written += static_cast<size_t>(count);
    // The reader is gone for good, and there is no other place to report this.
    if (count < 0 && errno != EAGAIN && errno != EINTR) return false;
  }
  return true;
}

}  // namespace turmericshift
