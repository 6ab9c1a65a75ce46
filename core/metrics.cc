#include "core/metrics.h"

#include <sstream>
#include <vector>

// The Boost headers use <sstream> without including it, so they must come after <sstream>.
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace turmericshift {
namespace {

namespace acc = boost::accumulators;

using Accumulators =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square_quantile(acc::quadratic)>>;

const std::vector<double>& Probabilities() {
  static const std::vector<double> probabilities = {0.25, 0.5, 0.75, 0.9, 0.99, 0.999};
  return probabilities;
}

constexpr const char* kPrefix = "turmericshift_";

template <typename Metric>
Metric& FindOrMake(std::map<std::string, std::unique_ptr<Metric>>* metrics,
                   const std::string& name) {
  std::unique_ptr<Metric>& slot = (*metrics)[name];
  if (!slot) slot = std::make_unique<Metric>();
  return *slot;
}

}  // namespace

struct Distribution::State {
  Accumulators accumulators{acc::extended_p_square_probabilities = Probabilities()};
};

Distribution::Distribution() : state_(std::make_unique<State>()) {}
Distribution::~Distribution() = default;

void Distribution::Record(double sample) {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_->accumulators(sample);
}

int64_t Distribution::count() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int64_t>(acc::count(state_->accumulators));
}

double Distribution::sum() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return acc::sum(state_->accumulators);
}

double Distribution::Quantile(double quantile) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (acc::count(state_->accumulators) == 0) return 0;
  return acc::quantile(state_->accumulators, acc::quantile_probability = quantile);
}

Counter& MetricsRegistry::counter(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrMake(&counters_, name);
}

Gauge& MetricsRegistry::gauge(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrMake(&gauges_, name);
}

Distribution& MetricsRegistry::distribution(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrMake(&distributions_, name);
}

std::string MetricsRegistry::Expose() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  for (const auto& [name, counter] : counters_) {
    out << "# TYPE " << kPrefix << name << " counter\n";
    out << kPrefix << name << " " << counter->value() << "\n";
  }
  for (const auto& [name, gauge] : gauges_) {
    out << "# TYPE " << kPrefix << name << " gauge\n";
    out << kPrefix << name << " " << gauge->value() << "\n";
  }
  for (const auto& [name, distribution] : distributions_) {
    out << "# TYPE " << kPrefix << name << " summary\n";
    for (const double quantile : {0.5, 0.99}) {
      out << kPrefix << name << "{quantile=\"" << quantile << "\"} "
          << distribution->Quantile(quantile) << "\n";
    }
    out << kPrefix << name << "_sum " << distribution->sum() << "\n";
    out << kPrefix << name << "_count " << distribution->count() << "\n";
  }
  return out.str();
}

}  // namespace turmericshift
