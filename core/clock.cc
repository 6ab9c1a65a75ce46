#include "core/clock.h"

#include <ctime>

namespace turmericshift {

int64_t SystemClock::WallMillis() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

Time SuspendAwareClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

int64_t SuspendAwareClock::WallMillis() const { return DefaultClock().WallMillis(); }

// The clocks are never destroyed, since threads may use them until the process exits.
const Clock& LeaseClock() {
  static const auto* const clock = new SuspendAwareClock;
  return *clock;
}

const Clock& DefaultClock() {
  static const auto* const clock = new SystemClock;
  return *clock;
}

}  // namespace turmericshift
