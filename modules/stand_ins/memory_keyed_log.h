// A stand-in for the platform's keyed topics, in memory, with the faults the platform has. For
// tests and trials only.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "servers/platform/keyed_log.h"

namespace turmericshift {

// Faults of the way between one process and the store, in force until changed.
struct KeyedLogFaults {
  // Calls are turned away; nothing is done.
  bool refused = false;
  // Appends take effect and their answers are lost.
  bool append_answers_lost = false;
};

class MemoryKeyedLog : public KeyedLog {
 public:
  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override;
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override;
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override;

  // Drops the history; the newest record of each key stays.
  void DropHistory(const std::string& topic);
  int64_t appends() const;

 private:
  struct Producer {
    int64_t epoch = 0;
    int64_t sequence = 0;
    // Answers to the newest appends, by sequence.
    std::map<int64_t, AppendResult> answers;
  };
  struct Topic {
    Offset first_kept = 0;
    std::deque<KeyedRecord> history;
    std::map<std::string, KeyedRecord> newest;
    std::map<std::string, Producer> producers;
    Offset end() const { return first_kept + static_cast<Offset>(history.size()); }
  };

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int64_t appends_ = 0;
  std::map<std::string, Topic> topics_;
};

// One process's way to a store that others share.
class FaultyKeyedLog : public KeyedLog {
 public:
  // `log` must outlive this.
  explicit FaultyKeyedLog(KeyedLog* log) : log_(log) {}

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override;
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override;
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override;

  void SetFaults(const KeyedLogFaults& faults);

 private:
  KeyedLogFaults faults() const;
  void RequireWay() const;

  KeyedLog* const log_;
  mutable std::mutex mutex_;
  KeyedLogFaults faults_;
};

}  // namespace turmericshift
