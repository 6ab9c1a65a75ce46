// Benchmark suite `requests`: compares requests through an entry with direct calls to the same
// stand-in targets.
#pragma once

#include "core/bench_suite.h"

namespace turmericshift {

class RequestBench : public BenchSuite {
 public:
  std::string Summary() const override;
  std::vector<BenchFigure> Run(const BenchOptions& options) override;
};

void RegisterRequestBench();

}  // namespace turmericshift
