// Generates HTTP load from several threads and measures latency and throughput.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/http_client.h"

namespace turmericshift {

struct LoadOptions {
  int threads = 1;
  Duration duration = std::chrono::seconds(1);
  // Calls per second of all threads together (open loop); 0: each thread sends its next call when
  // the previous one has ended (closed loop).
  double rate = 0;
};

struct LoadResult {
  // Latencies in seconds of the calls answered with status 200.
  std::vector<double> latencies;
  int sent = 0;
  double elapsed_seconds = 0;

  // Returns the latency quantile for `share` from 0 to 1; 0 if no call was answered.
  double Quantile(double share) const;
  double AnsweredPerSecond() const;
};

// Sends the calls that `call` builds for the numbers 0, 1, 2 and so on. Failed calls count as sent
// but not as answered.
LoadResult GenerateLoad(const LoadOptions& options, const std::function<HttpCall(int)>& call);

}  // namespace turmericshift
