// How long one decision of a zone's planner takes, at today's size and at the long-run size, under
// a steady change of jobs.
#pragma once

#include "core/bench_suite.h"

namespace turmericshift {

class DecisionTimeSuite : public BenchSuite {
 public:
  std::string Summary() const override;
  std::vector<BenchFigure> Run(const BenchOptions& options) override;
};

}  // namespace turmericshift
