// Calls one URL from many threads and measures what comes back.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/http_client.h"

namespace turmericshift {

struct LoadOptions {
  int threads = 1;
  Duration length = std::chrono::seconds(1);
  // Calls a second of all threads together; 0: each calls again as soon as it is answered.
  double rate = 0;
};

struct LoadResult {
  // Seconds each, of the calls answered with status 200.
  std::vector<double> latencies;
  int sent = 0;
  double elapsed_seconds = 0;

  // `share` from 0 to 1; 0 without a latency.
  double Quantile(double share) const;
  double AnsweredPerSecond() const;
};

// `call` makes the numbered call; errors count as sent and not answered.
LoadResult GenerateLoad(const LoadOptions& options, const std::function<HttpCall(int)>& call);

}  // namespace turmericshift
