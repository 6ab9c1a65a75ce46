// The platform's partitioned log as the pool scheduler uses it: topics of keyed records, of which
// the newest of each key is kept for good, and a bounded history of all appends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"
#include "servers/platform/log_service.h"

namespace turmericshift {

// An empty value drops the key.
struct KeyedRecord {
  std::string key;
  std::string value;
  // Set on records that were read; ignored on append.
  Offset offset = kNoOffset;
};

struct KeyedPage {
  std::vector<KeyedRecord> records;
  // Go on with the last key of `records`.
  bool more = false;
  // Offset after the newest record when the page was made. Pages are no snapshot of each other.
  Offset end = 0;
};

struct KeyedBatch {
  Offset end = 0;
  Offset first_kept = 0;
  std::vector<KeyedRecord> records;
};

// What must hold for an append to be carried out, whenever the platform gets to it.
struct AppendGuard {
  // The topic must end here.
  std::optional<Offset> as_of;
  // One writer at a time: an append with a lower epoch than the highest one seen is refused, and
  // within an epoch each number is taken once, in order.
  std::string producer;
  int64_t epoch = 0;
  int64_t sequence = 0;
};

struct AppendResult {
  Offset first = 0;
  Offset end = 0;
};

class KeyedLog {
 public:
  virtual ~KeyedLog() = default;

  // The newest records of all keys, in key order, after `after`.
  // Throws Error(kLogUnavailable) on an outage.
  virtual KeyedPage Newest(const std::string& topic, const std::string& after,
                           Duration timeout) = 0;

  // Records from `from` on, waiting up to `wait` for the first.
  // Throws Error: kTrimmed when `from` is no longer kept, kLogUnavailable on an outage.
  virtual KeyedBatch Read(const std::string& topic, Offset from, Duration wait,
                          Duration timeout) = 0;

  // All records or none. Throws Error: kFenced below the highest epoch, kConflict when the topic
  // ends elsewhere or the sequence does not follow, kLogUnavailable with outcome not_run when
  // nothing was done, with outcome unknown when it may have been or may still be done.
  virtual AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                              const AppendGuard& guard, Duration timeout) = 0;
};

// Clients by name; the argument is the store's address ("10.0.0.1:8080").
using KeyedLogRegistry = PluginRegistry<KeyedLog, const std::string&>;

}  // namespace turmericshift
