// A clock that only advances when a test calls Advance.
#pragma once

#include <atomic>

#include "core/clock.h"

namespace turmericshift {

class ManualClock : public Clock {
 public:
  Time Now() const override { return Time(Duration(nanos_.load())); }
  int64_t WallMillis() const override {
    return duration_cast<std::chrono::milliseconds>(Duration(nanos_.load())).count();
  }
  void Advance(Duration step) { nanos_ += step.count(); }

 private:
  // Starts at 1 h rather than zero, because code may treat the zero time as "never".
  std::atomic<int64_t> nanos_{Duration(std::chrono::hours(1)).count()};
};

}  // namespace turmericshift
