#include <algorithm>

#include "servers/requests/outlier_detector.h"

namespace turmericshift {
namespace {

// Weight of the newest answer in a target's moving average.
constexpr double kNewestWeight = 0.2;
constexpr int kMostOutDivisor = 3;

}  // namespace

void TargetJudge::Observe(const std::string& agent, Duration latency, bool well, Time now) {
  if (!options_.enabled) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  Opinion& opinion = opinions_[agent];
  if (!well) {
    ++opinion.failures_in_a_row;
    // What was sent before the ejection may still fail and must not lengthen it.
    if (opinion.failures_in_a_row >= options_.failures && !opinion.out) Eject(&opinion, now);
    return;
  }
  const double seconds = Seconds(latency);
  if (opinion.out) {
    const bool fast = median_seconds_ == 0 || latency <= options_.slow_floor ||
                      seconds <= options_.slow_factor * median_seconds_;
    if (!fast) return;
    opinion = {};
  }
  opinion.failures_in_a_row = 0;
  const double weight = opinion.samples == 0 ? 1.0 : kNewestWeight;
  opinion.latency_seconds += weight * (seconds - opinion.latency_seconds);
  ++opinion.samples;
}

void TargetJudge::Eject(Opinion* opinion, Time now) const {
  opinion->ejection = options_.base_ejection_time;
  opinion->out = true;
  opinion->probe_at = now + opinion->ejection;
}

std::vector<TargetCandidate> TargetJudge::Filter(const std::vector<TargetCandidate>& candidates,
                                                 Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  median_seconds_ = MedianLatency(candidates);
  int out = 0;
  for (const TargetCandidate& candidate : candidates) {
    const auto found = opinions_.find(candidate.agent);
    if (found != opinions_.end() && found->second.out) ++out;
  }
  std::vector<TargetCandidate> kept;
  int dropped = 0;
  const int most_out = MostOut(candidates.size());
  for (const TargetCandidate& candidate : candidates) {
    Opinion& opinion = opinions_[candidate.agent];
    if (!opinion.out && out < most_out && Slow(opinion, median_seconds_)) {
      Eject(&opinion, now);
      ++out;
    }
    if (opinion.out && dropped < most_out) {
      ++dropped;
      continue;
    }
    kept.push_back(candidate);
  }
  return kept;
}

std::optional<size_t> TargetJudge::Probe(const std::vector<TargetCandidate>& candidates, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (size_t index = 0; index < candidates.size(); ++index) {
    Opinion& opinion = opinions_[candidates[index].agent];
    if (!opinion.out || now < opinion.probe_at) continue;
    // The next one only after as long again, whether or not this one is answered.
    opinion.ejection = std::min(opinion.ejection * 2, options_.longest_ejection);
    opinion.probe_at = now + opinion.ejection;
    return index;
  }
  return std::nullopt;
}

Duration TargetJudge::TypicalLatency(const std::vector<TargetCandidate>& candidates) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FromSeconds(MedianLatency(candidates));
}

int TargetJudge::MostOut(size_t candidates) {
  if (candidates < 2) return 0;
  return static_cast<int>(candidates + kMostOutDivisor - 1) / kMostOutDivisor;
}

double TargetJudge::MedianLatency(const std::vector<TargetCandidate>& candidates) const {
  std::vector<double> known;
  for (const TargetCandidate& candidate : candidates) {
    const auto found = opinions_.find(candidate.agent);
    if (found == opinions_.end() || found->second.samples < options_.samples) continue;
    known.push_back(found->second.latency_seconds);
  }
  if (known.empty()) return 0;
  // Of two, the lower: a slow one must not be its own measure.
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

bool TargetJudge::Slow(const Opinion& opinion, double median) const {
  return opinion.samples >= options_.samples && median > 0 &&
         opinion.latency_seconds > Seconds(options_.slow_floor) &&
         opinion.latency_seconds > options_.slow_factor * median;
}

}  // namespace turmericshift
