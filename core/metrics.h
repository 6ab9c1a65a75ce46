// Counters, gauges and distributions, printed in the Prometheus text format. Distributions use
// Boost.Accumulators.
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

// Count, sum, and estimated 50th and 99th percentile of samples, in constant memory.
class Distribution {
 public:
  Distribution();
  ~Distribution();

  void Record(double sample);
  int64_t count() const;
  double sum() const;
  // Returns an estimate; `quantile` is 0.5 or 0.99. Returns 0 before the first sample.
  double Quantile(double quantile) const;

 private:
  struct State;
  mutable std::mutex mutex_;
  std::unique_ptr<State> state_;
};

// The metrics of one process. Names are snake_case with the unit last (`_seconds`, `_bytes`).
// References stay valid for the lifetime of the registry.
class MetricsRegistry {
 public:
  Counter& counter(const std::string& name);
  Gauge& gauge(const std::string& name);
  Distribution& distribution(const std::string& name);

  // Returns the exposition text of all metrics, sorted by name within counters, gauges and
  // distributions.
  std::string Expose() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<Gauge>> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace turmericshift
