// How far a run has come, from what its worker says of it, and from that when it will end. Callers'
// estimates are off by up to ten times, while the share of the work that is done tells the rest
// within a tenth once a second of it has been seen.
#pragma once

#include <optional>

#include "core/clock.h"

namespace turmericshift::pool {

class RunProgress {
 public:
  // The worker said that `percent` (0 to 100) of the work is done. Repeats of a word say nothing.
  void Note(int percent, Time now);

  // Whether the run, which should take `expected` in all, has begun and got no further for longer
  // than the pauses between two words of it.
  bool StandsStill(Duration expected, Time now) const;

  // How long the run will still take. `estimate`: the whole of it, while nothing better is known;
  // `since`: when it was ordered.
  Duration Left(Duration estimate, Time since, Time now) const;

 private:
  struct Mark {
    int percent = 0;
    Time at{};
  };

  // The first word of a run is often of a moment before it began, so the second one counts.
  std::optional<Mark> heard_;
  std::optional<Mark> first_;
  Mark newest_;
};

}  // namespace turmericshift::pool
