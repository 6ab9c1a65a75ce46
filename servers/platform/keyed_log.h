// Interface to the platform's partitioned log, as the pool scheduler uses it. A topic keeps the
// newest record of each key permanently, and a bounded history of all appends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"
#include "servers/platform/log_service.h"

namespace turmericshift {

// A record with an empty value deletes its key.
struct KeyedRecord {
  std::string key;
  std::string value;
  // Position in the topic. Set on records that were read; ignored on append.
  Offset offset = kNoOffset;
};

struct KeyedPage {
  std::vector<KeyedRecord> records;
  // Whether more keys follow. Read the next page with the last key of `records`.
  bool more = false;
  // Offset after the newest record when the page was read. Successive pages are not one consistent
  // snapshot.
  Offset end = 0;
};

struct KeyedBatch {
  // Offset after the newest record of the topic.
  Offset end = 0;
  // Oldest offset that the topic's history still retains.
  Offset first_kept = 0;
  std::vector<KeyedRecord> records;
};

// Conditions that the platform checks when it carries out the append.
struct AppendGuard {
  // The topic must end at this offset; unset: no check.
  std::optional<Offset> expected_end;
  // Admits one writer at a time: an append below the producer's highest epoch is refused, and
  // within an epoch each sequence number is accepted once, in order. An empty `producer` skips this
  // check.
  std::string producer;
  int64_t epoch = 0;
  int64_t sequence = 0;
};

struct AppendResult {
  // Offset of the first record appended.
  Offset first = 0;
  // Offset after the last record appended.
  Offset end = 0;
};

class KeyedLog {
 public:
  virtual ~KeyedLog() = default;

  // Returns the newest record of each key after the key `after`, in key order, up to the page size.
  // Throws Error(kLogUnavailable) on an outage.
  virtual KeyedPage Newest(const std::string& topic, const std::string& after,
                           Duration timeout) = 0;

  // Returns the records from offset `from` on, waiting up to `wait` for the first record.
  // Throws Error: kTrimmed when `from` is no longer retained, kLogUnavailable on an outage.
  virtual KeyedBatch Read(const std::string& topic, Offset from, Duration wait,
                          Duration timeout) = 0;

  // Appends all records or none. Throws Error: kFenced when the epoch is below the highest epoch
  // seen; kConflict when the topic does not end at the expected offset or the sequence number is
  // not the next one; kLogUnavailable on an outage, with outcome not_run when nothing was appended
  // and outcome unknown when the records may have been appended or may still be.
  virtual AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                              const AppendGuard& guard, Duration timeout) = 0;
};

// Log clients by name. The factory's argument is the store's address ("10.0.0.1:8080").
using KeyedLogRegistry = PluginRegistry<KeyedLog, const std::string&>;

}  // namespace turmericshift
