// Tells sick workers from sick jobs by how runs end. A worker that fails whatever it is given looks
// idle and draws work, so that one of eleven spoils far more than its share; it is set aside for a
// while and tried again. A job whose runs fail on several workers is at fault itself.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

class WorkerHealthTracker {
 public:
  void RunFailed(const std::string& worker, const std::string& job, Time now);
  void RunDone(const std::string& worker);
  // The worker turned an order away or did not answer it.
  void OrderFailed(const std::string& worker, Time now);
  // Nothing that runs at the worker gets any further.
  void StandsStill(const std::string& worker, Time now);
  // A new life of a worker starts with a clean sheet.
  void Forget(const std::string& worker);

  // Gets no work now.
  bool IsQuarantined(const std::string& worker, Time now) const;
  // Failed something lately: comes last.
  bool IsSuspect(const std::string& worker, Time now) const;

 private:
  struct Failure {
    std::string job;
    Time at{};
  };
  struct Sheet {
    std::deque<Failure> failures;
    Time aside_until{};
    int times_aside = 0;
  };

  // Jobs that failed lately at this worker and have not failed elsewhere.
  int BlamedJobs(const std::string& worker, const Sheet& sheet, Time now) const;
  void Judge(const std::string& worker, Time now);
  // Until then at least.
  void KeepAside(const std::string& worker, Time until);

  std::map<std::string, Sheet> sheets_;
};

}  // namespace turmericshift::pool
