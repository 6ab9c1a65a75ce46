// An in-memory stand-in for the platform's keyed topics, with the faults that the platform can
// have. For tests and trials only.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "servers/platform/keyed_log.h"

namespace turmericshift {

// Faults of the connection between one process and the store. They last until changed.
struct KeyedLogFaults {
  // Calls are refused and have no effect.
  bool refused = false;
  // Appends take effect, but their answers are lost.
  bool append_answers_lost = false;
};

class MemoryKeyedLog : public KeyedLog {
 public:
  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override;
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override;
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override;

  // Drops the history, but keeps the newest record of each key.
  void DropHistory(const std::string& topic);
  int64_t appends() const;

 private:
  struct Producer {
    int64_t epoch = 0;
    int64_t sequence = 0;
    // Answers to the newest appends, by sequence number, for repeated appends.
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

// One process's connection to a shared store, with faults that affect this process alone.
class FaultyKeyedLog : public KeyedLog {
 public:
  // `log` must outlive this object.
  explicit FaultyKeyedLog(KeyedLog* log) : log_(log) {}

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override;
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override;
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override;

  void SetFaults(const KeyedLogFaults& faults);

 private:
  KeyedLogFaults faults() const;
  void RequireReachable() const;

  KeyedLog* const log_;
  mutable std::mutex mutex_;
  KeyedLogFaults faults_;
};

}  // namespace turmericshift
