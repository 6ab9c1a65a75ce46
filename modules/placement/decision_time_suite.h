// Benchmark of the time that a zone's planner takes for one decision under a steady change of jobs,
// at today's size of a zone and at the size planned for the long run.
#pragma once

#include "core/bench_suite.h"

namespace turmericshift {

class DecisionTimeSuite : public BenchSuite {
 public:
  std::string Summary() const override;
  std::vector<BenchFigure> Run(const BenchOptions& options) override;
};

}  // namespace turmericshift
