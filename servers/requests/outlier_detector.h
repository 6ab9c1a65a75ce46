// Outlier ejection: targets that fail or are far slower than the others get no requests except
// occasional probes. Otherwise a target that fails every request immediately would look idle and
// attract load. A limit keeps a fault of this entry, or of all targets, from emptying the list.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "servers/entry/routing_policy.h"

namespace turmericshift {

struct OutlierOptions {
  // False disables ejection, as a baseline for benchmarks.
  bool enabled = true;
  // Ejects a target after this many consecutive failures.
  int failures = 3;
  // Ejects a target that exceeds the median latency by this factor, after `min_samples` answers.
  double slow_factor = 4;
  int min_samples = 8;
  // A lower average latency never counts as slow.
  Duration slow_floor = std::chrono::milliseconds(2);
  // Time from the ejection to the first probe; doubles with each probe up to `max_ejection_time`.
  Duration base_ejection_time = std::chrono::seconds(1);
  Duration max_ejection_time = std::chrono::seconds(30);
};

class OutlierDetector {
 public:
  explicit OutlierDetector(const OutlierOptions& options = {}) : options_(options) {}

  // Records the result of one call to the target of `agent`.
  void Observe(const std::string& agent, Duration latency, bool success, Time now);
  // Ejects slow targets. Returns the candidates that may be used: none only if none are given.
  std::vector<TargetCandidate> Filter(const std::vector<TargetCandidate>& candidates, Time now);
  // Index of an ejected target that is due for a probe; the caller sends it the current request.
  std::optional<size_t> Probe(const std::vector<TargetCandidate>& candidates, Time now);
  // Median of the targets' moving average latencies, zero while too few answers are known.
  Duration TypicalLatency(const std::vector<TargetCandidate>& candidates) const;

 private:
  struct TargetHealth {
    int samples = 0;
    int consecutive_failures = 0;
    double latency_seconds = 0;
    bool ejected = false;
    Time probe_at{};
    Duration ejection_time{};
  };
  // Maximum number of ejected targets: a third, rounded up, or 0 for a single candidate.
  static int MaxEjected(size_t candidates);
  double MedianLatency(const std::vector<TargetCandidate>& candidates) const;
  bool IsSlow(const TargetHealth& health, double median) const;
  void Eject(TargetHealth* health, Time now) const;

  const OutlierOptions options_;
  mutable std::mutex mutex_;
  std::map<std::string, TargetHealth> health_;
  // Median of the last Filter, to which the latency of a probe is compared.
  double median_seconds_ = 0;
};

}  // namespace turmericshift
