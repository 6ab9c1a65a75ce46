// How long the tasks of each queue really take. Answers callers whose estimates are off by up to
// nine tenths: a gang that is thought to take a third of its time is soon held for hopeless and
// passed over, and one thought to take three times as long seems to have all the time in the world.
#pragma once

#include <map>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

class RunTimes {
 public:
  // A task that was estimated to take `estimate` took `actual`, on its own worker and undisturbed.
  void Note(const std::string& queue, Duration estimate, Duration actual);

  // What a task of the queue should take: by the mean of its queue or by its estimate, whichever
  // has been the better guide; the estimate while little is known.
  Duration ExpectedTime(const std::string& queue, Duration estimate) const;

  // How far true times lie off the expected ones: the standard deviation of the logarithm of their
  // ratio.
  double SpreadOf(const std::string& queue) const;

 private:
  // Mean and spread of logarithms of seconds, or of ratios: times spread by factors.
  struct Spread {
    double mean = 0;
    double squares = 0;

    void Add(double value, int count);
  };
  struct Queue {
    int count = 0;
    Spread actual;
    Spread ratio;
  };

  std::map<std::string, Queue> queues_;
};

}  // namespace turmericshift::pool
