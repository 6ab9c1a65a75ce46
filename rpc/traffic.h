// Counts the bytes that this process's sessions have transferred, for benchmarks and metrics.
#pragma once

#include <atomic>
#include <cstdint>

namespace turmericshift {

struct SessionTraffic {
  std::atomic<int64_t> read{0};
  std::atomic<int64_t> written{0};
};

// Returns the traffic of all sessions since the start of the process.
inline SessionTraffic& ProcessTraffic() {
  static SessionTraffic traffic;
  return traffic;
}

}  // namespace turmericshift
