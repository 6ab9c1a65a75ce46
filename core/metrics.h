// Metrics behind Boost.Accumulators, printed in the text format that monitoring systems scrape.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace turmericshift {

class Counter {
 public:
  void Add(int64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

// Count, sum and the estimated 50th and 99th percentile of samples, in constant memory.
class Distribution {
 public:
  Distribution();
  ~Distribution();

  void Record(double sample);
  int64_t count() const;
  double sum() const;
  // `quantile` is 0.5 or 0.99; 0 before the first sample.
  double Quantile(double quantile) const;

 private:
  struct State;
  mutable std::mutex mutex_;
  std::unique_ptr<State> state_;
};

// The metrics of one process. Names are snake_case with the unit last (`_seconds`, `_bytes`).
// References stay valid as long as the registry.
class MetricsRegistry {
 public:
  Counter& counter(const std::string& name);
  Gauge& gauge(const std::string& name);
  Distribution& distribution(const std::string& name);

  // The exposition text of all metrics, in name order.
  std::string Expose() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<Gauge>> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace turmericshift
