// Benchmark of the default placement policy against the better of the two baselines. Replays, in
// simulated time and with the decision code of production, a generated day of both deployments with
// an evening peak, bursts and declared run times that are off by up to a factor of 4; and the same
// day with a zone that is taken out and returns.
#pragma once

#include "core/bench_suite.h"

namespace turmericshift {

class PlacementSuite : public BenchSuite {
 public:
  std::string Summary() const override;
  std::vector<BenchFigure> Run(const BenchOptions& options) override;
};

}  // namespace turmericshift
