// Measures how long a whole run takes, from the percentages that its worker reports.
#pragma once

#include <optional>

#include "core/clock.h"

namespace turmericshift::speeds {

// Logarithm of a run's whole time in seconds, and the variance of its measurement.
struct Measurement {
  double log_time = 0;
  double variance = 0;
};

enum class Pace {
  kUnknown,
  kSteady,
  // Several times as slow as before.
  kSlowed,
};

class RunMeter {
 public:
  // `percent` (0 to 100) of the work was done at `at`. Returns how the run's recent progress
  // compares with its earlier progress.
  Pace Record(int percent, Time at);
  // The run did all its work in `elapsed`.
  void RecordDone(Duration elapsed);
  // What was measured while the run was not slowed; empty if that is too little.
  std::optional<Measurement> measurement() const { return measurement_; }

 private:
  struct Mark {
    int percent = 0;
    Time at{};
  };

  std::optional<Mark> first_;
  std::optional<Mark> last_;
  // Begin of the stretch that is compared with the run's earlier progress.
  std::optional<Mark> recent_;
  std::optional<Measurement> measurement_;
  bool slowed_ = false;
  // Whether the run has ever been slowed, so that its whole time is not that of a steady run.
  bool has_been_slowed_ = false;
};

}  // namespace turmericshift::speeds
