// The platform's append-only log, as this project uses it. docs/PLATFORM.md states the protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"

namespace turmericshift {

// Position of an entry in its stream: 0, 1, 2, … in the order of acceptance.
using Offset = int64_t;
inline constexpr Offset kNoOffset = -1;

struct LogEntry {
  Offset offset = kNoOffset;
  std::string bytes;
};

struct LogBatch {
  // Oldest offset that the log still keeps.
  Offset first_kept = 0;
  // Offset after the newest entry of the stream, at the moment of the answer.
  Offset head = 0;
  std::vector<LogEntry> entries;
};

// Streams of the project.
enum class Stream { kConfig, kRequests, kJobs, kMembers };
inline constexpr int kStreamCount = 4;
const char* StreamName(Stream stream);

class LogService {
 public:
  virtual ~LogService() = default;

  // Appends one entry and returns its offset.
  // Throws Error(kLogUnavailable): with outcome not_run if the entry was surely not appended, with
  // outcome unknown if the answer was lost and the entry may be there.
  virtual Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) = 0;

  // Entries from `from` on, waiting up to `wait` for the first. An empty batch means that `from`
  // was the head when the answer was made.
  // Throws Error(kTrimmed) when `from` is no longer kept, Error(kLogUnavailable) on an outage.
  virtual LogBatch Read(const std::string& stream, Offset from, Duration wait,
                        Duration timeout) = 0;

  // Oldest offset kept. Throws Error(kLogUnavailable).
  virtual Offset FirstKept(const std::string& stream, Duration timeout) = 0;
};

// Clients of logs by name; the argument is the platform's address ("http://10.0.0.1:8080").
using LogServiceRegistry = PluginRegistry<LogService, const std::string&>;

}  // namespace turmericshift
