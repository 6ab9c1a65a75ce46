// Time as a value. Functions that decide take the present time as an argument; only threads at the
// edge (sessions, servers, commands) read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace turmericshift {

using Duration = std::chrono::nanoseconds;
// Monotonic, comparable only inside one process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::duration_cast;

// Source of the present time for the threads at the edge.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time Now() const = 0;
  // Milliseconds since 1970, for records and logs that people read; never for decisions.
  virtual int64_t WallMillis() const = 0;
};

class SystemClock : public Clock {
 public:
  Time Now() const override { return std::chrono::steady_clock::now(); }
  int64_t WallMillis() const override;
};

// Counts on while the VM is suspended, which the steady clock does not: a lease reckoned by a clock
// that stood still would be honoured here after it has lapsed everywhere else.
class SuspendAwareClock : public Clock {
 public:
  Time Now() const override;
  int64_t WallMillis() const override;
};

// The process's clock for leases.
const Clock& LeaseClock();

// The process's own clock, for code at the edge that is not handed one.
const Clock& DefaultClock();

inline double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// `duration` times `factor`.
inline Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

inline Duration FromSeconds(double seconds) {
  return duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace turmericshift
