// Counts the calls of one process to the store by operation and topic, so that an operator can see
// which view or writer causes them. The counts are metrics (`store_calls_OPERATION_TOPIC`), and a
// log line repeats them at fixed intervals for those who have only logs.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/metrics.h"
#include "servers/platform/keyed_log.h"

namespace turmericshift {

enum class StoreOperation { kNewest, kRead, kAppend };
const char* StoreOperationName(StoreOperation operation);

class CountedKeyedLog : public KeyedLog {
 public:
  // `log` and `metrics` must outlive this object.
  CountedKeyedLog(KeyedLog* log, MetricsRegistry* metrics);

  KeyedPage Newest(const std::string& topic, const std::string& after, Duration timeout) override;
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override;
  AppendResult Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard, Duration timeout) override;

 private:
  // Counts one call, whatever its result.
  void Count(StoreOperation operation, const std::string& topic, Time now);

  KeyedLog* const log_;
  MetricsRegistry* const metrics_;
  std::mutex mutex_;
  // By "OPERATION_TOPIC".
  std::map<std::string, Counter*> counters_;
  Time logged_at_;
};

}  // namespace turmericshift
