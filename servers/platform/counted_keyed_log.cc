#include "servers/platform/counted_keyed_log.h"

#include <algorithm>
#include <array>

#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(30);

constexpr std::array<const char*, 3> kOperationNames = {"newest", "read", "append"};

// Metric names contain neither dots nor dashes.
std::string MetricName(StoreOperation operation, const std::string& topic) {
  std::string name = std::string(StoreOperationName(operation)) + "_" + topic;
  std::replace_if(
      name.begin(), name.end(), [](char each) { return each == '.' || each == '-'; }, '_');
  return name;
}

}  // namespace

const char* StoreOperationName(StoreOperation operation) {
  return kOperationNames.at(static_cast<size_t>(operation));
}

CountedKeyedLog::CountedKeyedLog(KeyedLog* log, MetricsRegistry* metrics)
    : log_(log), metrics_(metrics), logged_at_(LeaseClock().Now()) {}

KeyedPage CountedKeyedLog::Newest(const std::string& topic, const std::string& after,
                                  Duration timeout) {
  Count(StoreOperation::kNewest, topic, LeaseClock().Now());
  return log_->Newest(topic, after, timeout);
}

KeyedBatch CountedKeyedLog::Read(const std::string& topic, Offset from, Duration wait,
                                 Duration timeout) {
  Count(StoreOperation::kRead, topic, LeaseClock().Now());
  return log_->Read(topic, from, wait, timeout);
}

AppendResult CountedKeyedLog::Append(const std::string& topic,
                                     const std::vector<KeyedRecord>& records,
                                     const AppendGuard& guard, Duration timeout) {
  Count(StoreOperation::kAppend, topic, LeaseClock().Now());
  return log_->Append(topic, records, guard, timeout);
}

void CountedKeyedLog::Count(StoreOperation operation, const std::string& topic, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string name = MetricName(operation, topic);
  Counter*& counter = counters_[name];
  if (counter == nullptr) counter = &metrics_->counter("store_calls_" + name);
  counter->Add();
  if (now - logged_at_ < kLogInterval) return;
  logged_at_ = now;
  std::map<std::string, int64_t> counts;
  for (const auto& [call, each] : counters_) counts[call] = each->value();
  LogEvent(LogLevel::kInfo, "store_calls", {{"since_start", counts}});
}

}  // namespace turmericshift
