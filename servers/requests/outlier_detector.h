// Outlier ejection: targets that fail or are far slower than the others get no requests for a
// while, then one now and then as a probe. Without it a target that fails everything at once looks
// idle and attracts work. A cap keeps a fault of this entry, or of all targets, from emptying the
// list.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "servers/entry/routing_policy.h"

namespace turmericshift {

struct JudgeOptions {
  // Off for a baseline to measure against.
  bool enabled = true;
  // Out after this many failures in a row.
  int failures = 3;
  // Out when slower than the median of the others by this factor, after `samples` answers.
  double slow_factor = 4;
  int samples = 8;
  // Faster than this is never called slow.
  Duration slow_floor = std::chrono::milliseconds(2);
  // Time out before the first probe; doubles with each failed probe up to the longest.
  Duration base_ejection_time = std::chrono::seconds(1);
  Duration longest_ejection = std::chrono::seconds(30);
};

class TargetJudge {
 public:
  explicit TargetJudge(const JudgeOptions& options = {}) : options_(options) {}

  // The call took `latency` and the target did its part or failed.
  void Observe(const std::string& agent, Duration latency, bool well, Time now);
  // `candidates` without those that are out; never empty unless `candidates` is.
  std::vector<TargetCandidate> Filter(const std::vector<TargetCandidate>& candidates, Time now);
  // A target that is out and due for a probe; the caller sends it the present request.
  std::optional<size_t> Probe(const std::vector<TargetCandidate>& candidates, Time now);
  // Moving average of the answers of these targets, zero before the first.
  Duration TypicalLatency(const std::vector<TargetCandidate>& candidates) const;

 private:
  struct Opinion {
    int samples = 0;
    int failures_in_a_row = 0;
    double latency_seconds = 0;
    bool out = false;
    Time probe_at{};
    Duration ejection{};
  };
  // At most a third, rounded up, may be out; none of a single target.
  static int MostOut(size_t candidates);
  double MedianLatency(const std::vector<TargetCandidate>& candidates) const;
  bool Slow(const Opinion& opinion, double median) const;
  void Eject(Opinion* opinion, Time now) const;

  const JudgeOptions options_;
  mutable std::mutex mutex_;
  std::map<std::string, Opinion> opinions_;
  // Median of the last Filter, against which a probe is judged.
  double median_seconds_ = 0;
};

}  // namespace turmericshift
