#include "servers/requests/outlier_detector.h"

#include <algorithm>

namespace turmericshift {
namespace {

// Weight of the newest answer in a target's moving average.
constexpr double kNewestWeight = 0.2;
constexpr int kMaxEjectedDivisor = 3;

}  // namespace

void OutlierDetector::Observe(const std::string& agent, Duration latency, bool success, Time now) {
  if (!options_.enabled) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  TargetHealth& health = health_[agent];
  if (!success) {
    ++health.consecutive_failures;
    // Requests sent before the ejection may still fail and must not prolong it.
    if (health.consecutive_failures >= options_.failures && !health.ejected) Eject(&health, now);
    return;
  }
  const double seconds = Seconds(latency);
  if (health.ejected) {
    const bool fast = median_seconds_ == 0 || latency <= options_.slow_floor ||
                      seconds <= options_.slow_factor * median_seconds_;
    if (!fast) return;
    health = {};
  }
  health.consecutive_failures = 0;
  const double weight = health.samples == 0 ? 1.0 : kNewestWeight;
  health.latency_seconds += weight * (seconds - health.latency_seconds);
  ++health.samples;
}

void OutlierDetector::Eject(TargetHealth* health, Time now) const {
  health->ejection_time = options_.base_ejection_time;
  health->ejected = true;
  health->probe_at = now + health->ejection_time;
}

std::vector<TargetCandidate> OutlierDetector::Filter(const std::vector<TargetCandidate>& candidates,
                                                     Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  median_seconds_ = MedianLatency(candidates);
  int ejected = 0;
  for (const TargetCandidate& candidate : candidates) {
    const auto found = health_.find(candidate.agent);
    if (found != health_.end() && found->second.ejected) ++ejected;
  }
  std::vector<TargetCandidate> kept;
  int dropped = 0;
  const int max_ejected = MaxEjected(candidates.size());
  for (const TargetCandidate& candidate : candidates) {
    TargetHealth& health = health_[candidate.agent];
    if (!health.ejected && ejected < max_ejected && IsSlow(health, median_seconds_)) {
      Eject(&health, now);
      ++ejected;
    }
    if (health.ejected && dropped < max_ejected) {
      ++dropped;
      continue;
    }
    kept.push_back(candidate);
  }
  return kept;
}

std::optional<size_t> OutlierDetector::Probe(const std::vector<TargetCandidate>& candidates,
                                             Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (size_t index = 0; index < candidates.size(); ++index) {
    TargetHealth& health = health_[candidates[index].agent];
    if (!health.ejected || now < health.probe_at) continue;
    // The next probe is due after twice the time, whether or not this probe is answered.
    health.ejection_time = std::min(health.ejection_time * 2, options_.max_ejection_time);
    health.probe_at = now + health.ejection_time;
    return index;
  }
  return std::nullopt;
}

Duration OutlierDetector::TypicalLatency(const std::vector<TargetCandidate>& candidates) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FromSeconds(MedianLatency(candidates));
}

int OutlierDetector::MaxEjected(size_t candidates) {
  if (candidates < 2) return 0;
  return static_cast<int>(candidates + kMaxEjectedDivisor - 1) / kMaxEjectedDivisor;
}

double OutlierDetector::MedianLatency(const std::vector<TargetCandidate>& candidates) const {
  std::vector<double> known;
  for (const TargetCandidate& candidate : candidates) {
    const auto found = health_.find(candidate.agent);
    if (found == health_.end() || found->second.samples < options_.min_samples) continue;
    known.push_back(found->second.latency_seconds);
  }
  if (known.empty()) return 0;
  // The lower median: with two targets, it is the latency of the faster target, so that a slow
  // target is not compared with itself.
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

bool OutlierDetector::IsSlow(const TargetHealth& health, double median) const {
  return health.samples >= options_.min_samples && median > 0 &&
         health.latency_seconds > Seconds(options_.slow_floor) &&
         health.latency_seconds > options_.slow_factor * median;
}

}  // namespace turmericshift
