// Benchmark suite "requests": the request path against direct calls to the same stand-in targets.
#pragma once

#include "core/bench_suite.h"

namespace turmericshift {

class RequestBench : public BenchSuite {
 public:
  std::string Summary() const override;
  std::vector<BenchFigure> Run(const BenchOptions& options) override;
};

// Adds the suite to its registry.
void RegisterRequestBench();

}  // namespace turmericshift
