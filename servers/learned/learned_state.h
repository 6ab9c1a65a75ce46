// Decides when what a planner has learned is written to the store, and which stored records the
// next planner loads.
//
// Load pattern: the planner is replaced while the pool is under load, by a rolling update or
// because its VM, its link or the store fails. Until the successor has learned speeds, run times
// and urgent demand anew, it places work by callers' estimates and on workers that are too slow or
// faulty.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "servers/learned/learned_part.h"

namespace turmericshift::learned {

// Keys of the records are this prefix and the name of the part.
inline constexpr const char* kKeyPrefix = "l/";
// Size limit of one record.
inline constexpr size_t kMaxRecordBytes = size_t{48} << 10;
// Shortest time between two records of one part.
inline constexpr Duration kWriteInterval = std::chrono::seconds(5);
// All parts together write no more than this on average; each part has an equal share.
inline constexpr double kMaxBytesPerSecond = 1024;
// A record whose time is further in the future was written, or is read, on a clock that has jumped.
inline constexpr Duration kMaxClockSkew = std::chrono::seconds(5);

struct LearnedRecord {
  std::string key;
  std::string value;
};

enum class LoadResult { kLoaded, kUnreadable, kUnknownVersion, kTooOld, kFromFuture, kTooLarge };
const char* LoadResultName(LoadResult result);

// What became of the stored record of a part.
struct LoadOutcome {
  std::string part;
  LoadResult result = LoadResult::kLoaded;
  // Age by the record's own time, negative for a time in the future; zero if it can't be read.
  Duration age{};
  size_t bytes = 0;
  // Why the record can't be read.
  std::string error;
};

struct LearnedCounts {
  // Records that were due, and their bytes.
  int64_t records = 0;
  int64_t bytes = 0;
  // Stored records that were discarded, and states that were too large to be written.
  int64_t dropped = 0;
};

class LearnedState {
 public:
  // `parts` have different names and must outlive this object. Parts with a maximum age of zero are
  // neither written nor loaded.
  LearnedState(const std::vector<LearnedPart*>& parts, Time now);

  // Loads the newest records, given by the name of their part. Records of unknown parts are
  // ignored: a planner of another version may have written them. `wall_ms`: milliseconds since
  // 1970.
  std::vector<LoadOutcome> Load(const std::map<std::string, std::string>& records, int64_t wall_ms,
                                Time now);
  // Returns the records that are due to be written: their parts' content has changed, and the
  // limits on intervals and bytes allow it. A record counts as written from then on.
  std::vector<LearnedRecord> TakeDue(int64_t wall_ms, Time now);
  // Returns the last record of each part that has learned anything, whatever the limits. Call when
  // the leadership is released.
  std::vector<LearnedRecord> TakeLast(int64_t wall_ms, Time now);
  // Returns the counts since the last call.
  LearnedCounts TakeCounts();

 private:
  struct Entry {
    LearnedPart* part = nullptr;
    // Content of a part that has learned nothing.
    std::string empty;
    // Content of the newest record, or that with which the planner began.
    std::string written;
    // When the newest record was due, or the planner began.
    Time written_at{};
    // Whether the content has changed is determined at intervals, because it takes time.
    Time next_check{};
  };

  LoadOutcome LoadRecord(const std::string& text, int64_t wall_ms, Time now, Entry* entry);
  // Shortest time between a record of `bytes` and the previous one of its part.
  Duration IntervalFor(size_t bytes) const;
  // The part's content if it fits into a record; empty otherwise.
  std::string FittingContent(const Entry& entry, Time now);
  LearnedRecord Write(const std::string& content, int64_t wall_ms, Time now, Entry* entry);

  std::vector<Entry> entries_;
  LearnedCounts counts_;
};

// Logs what became of each record, one line per part.
void LogLoads(const std::vector<LoadOutcome>& outcomes, int64_t epoch);

}  // namespace turmericshift::learned
