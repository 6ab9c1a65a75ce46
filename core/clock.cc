#include "core/clock.h"

namespace turmericshift {

int64_t SystemClock::WallMillis() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

const Clock& DefaultClock() {
  static const SystemClock clock;
  return clock;
}

}  // namespace turmericshift
