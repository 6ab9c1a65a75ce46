// Interface to the platform's append-only log. docs/PLATFORM.md specifies the protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"

namespace turmericshift {

// Position of an entry in its stream: 0, 1, 2, … in the order of appending.
using Offset = int64_t;
inline constexpr Offset kNoOffset = -1;

struct LogEntry {
  Offset offset = kNoOffset;
  std::string bytes;
};

struct LogBatch {
  // Oldest offset that the log still retains.
  Offset first_kept = 0;
  // Offset after the newest entry of the stream, when the log answered.
  Offset head = 0;
  std::vector<LogEntry> entries;
};

// Streams that the scheduler uses.
enum class Stream { kConfig, kRequests, kJobs, kMembers };
inline constexpr int kStreamCount = 4;
const char* StreamName(Stream stream);

class LogService {
 public:
  virtual ~LogService() = default;

  // Appends one entry and returns its offset.
  // Throws Error(kLogUnavailable): with outcome not_run if the entry was certainly not appended,
  // with outcome unknown if the answer was lost and the entry may have been appended.
  virtual Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) = 0;

  // Returns the entries from offset `from` on, waiting up to `wait` for the first entry. An empty
  // batch means that `from` was the head when the log answered. Throws Error(kTrimmed) when `from`
  // is no longer retained, Error(kLogUnavailable) on an outage.
  virtual LogBatch Read(const std::string& stream, Offset from, Duration wait,
                        Duration timeout) = 0;

  // Returns the oldest offset that the log still retains. Throws Error(kLogUnavailable).
  virtual Offset FirstKept(const std::string& stream, Duration timeout) = 0;
};

// Log clients by name. The factory's argument is the log's address ("http://10.0.0.1:8080").
using LogServiceRegistry = PluginRegistry<LogService, const std::string&>;

}  // namespace turmericshift
