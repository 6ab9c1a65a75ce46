// Time types and clocks. Functions that make decisions take the current time as an argument; only
// the outer layers (sessions, servers, commands) read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace turmericshift {

using Duration = std::chrono::nanoseconds;
// Monotonic time, comparable only within one process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::duration_cast;

// Source of the current time for the outer layers.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time Now() const = 0;
  // Wall-clock time in milliseconds since 1970, for records and logs that people read. Decisions
  // must not use it.
  virtual int64_t WallMillis() const = 0;
};

class SystemClock : public Clock {
 public:
  Time Now() const override { return std::chrono::steady_clock::now(); }
  int64_t WallMillis() const override;
};

// A clock that also advances while the VM is suspended, unlike the steady clock. With a clock that
// stops, a resumed VM would still honour a lease that has expired for all other processes.
class SuspendAwareClock : public Clock {
 public:
  Time Now() const override;
  int64_t WallMillis() const override;
};

// Returns the process's clock for leases, a SuspendAwareClock.
const Clock& LeaseClock();

// Returns the process's SystemClock, for code in the outer layers that is not passed a clock.
const Clock& DefaultClock();

inline double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns `duration` multiplied by `factor`.
inline Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

inline Duration FromSeconds(double seconds) {
  return duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace turmericshift
