// Progress of a run as its worker reports it, and the remaining time derived from it. Callers'
// estimates are off by up to ten times, while the reported share of the work gives the remaining
// time with an error of at most a tenth once the run has been observed for a second.
#pragma once

#include <optional>

#include "core/clock.h"

namespace turmericshift::pool {

class RunProgress {
 public:
  // The worker reported that `percent` (0 to 100) of the work is done. Repeated reports of the same
  // percentage are ignored.
  void Update(int percent, Time now);

  // Whether the run, whose expected run time is `expected`, has begun and made no progress for
  // longer than the usual time between two changes of its percentage, both as expected and as
  // observed.
  bool IsStalled(Duration expected, Time now) const;

  // Remaining time of the run. `estimate`: its whole run time, used until progress gives a better
  // figure; `since`: when it was ordered.
  Duration RemainingTime(Duration estimate, Time since, Time now) const;

 private:
  struct Mark {
    int percent = 0;
    Time at{};
  };

  // The first report is often from a moment before the run began, so the second report is the
  // baseline from which the speed is measured.
  std::optional<Mark> last_report_;
  std::optional<Mark> baseline_;
  Mark latest_;
  // Time for each percent of the newest progress.
  Duration time_per_percent_{};
};

}  // namespace turmericshift::pool
