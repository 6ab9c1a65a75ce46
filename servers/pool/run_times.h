// Learns how long the tasks of each queue really take, since callers' estimates are off by up to
// nine tenths. A gang estimated at a third of its run time would soon be given up as hopeless and
// passed over, and one estimated at three times its run time would seem to have plenty of slack.
#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "servers/learned/learned_part.h"

namespace turmericshift::pool {

class RunTimes : public learned::LearnedPart {
 public:
  // Records that a task with the estimate `estimate` took `actual`, at full speed and without
  // interruption.
  void Record(const std::string& queue, Duration estimate, Duration actual);

  // Expected run time of a task of the queue: by the queue's mean or by the task's estimate,
  // whichever has predicted better; the estimate while little is known.
  Duration ExpectedTime(const std::string& queue, Duration estimate) const;

  // Deviation of actual from expected run times: the standard deviation of the logarithm of their
  // ratio.
  double SpreadOf(const std::string& queue) const;

  std::string name() const override { return "run_times"; }
  int version() const override { return 1; }
  Duration max_age() const override { return std::chrono::hours(1); }
  nlohmann::json Save(size_t max_bytes, Time now) const override;
  void Load(const nlohmann::json& data, Duration age, Time now) override;

 private:
  // Mean and variance of logarithms of seconds, or of ratios, because run times vary by factors.
  struct LogStatistics {
    double mean = 0;
    double variance = 0;

    void Add(double value, int count);
  };
  struct Queue {
    int count = 0;
    LogStatistics actual;
    LogStatistics ratio;
  };

  std::map<std::string, Queue> queues_;
};

}  // namespace turmericshift::pool
