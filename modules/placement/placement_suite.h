// A generated day of both deployments, with its evening peak, bursts and declared times off by up
// to 4, and the same day with a zone that leaves and returns, replayed in passed-in time against
// the decision code: the default policy against the better of the two baselines.
#pragma once

#include "core/bench_suite.h"

namespace turmericshift {

class PlacementSuite : public BenchSuite {
 public:
  std::string Summary() const override;
  std::vector<BenchFigure> Run(const BenchOptions& options) override;
};

}  // namespace turmericshift
