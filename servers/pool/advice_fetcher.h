// Sends the requests of this process's planner to the advice service, one at a time: the service
// answers a VM's calls in turn, so a second call would only wait at the service.
#pragma once

#include <atomic>

#include "core/thread.h"
#include "servers/pool/advice_service.h"
#include "servers/pool/planner_service.h"

namespace turmericshift::pool {

class AdviceFetcher {
 public:
  // `advice` and `planner` must outlive the fetcher.
  AdviceFetcher(AdviceService* advice, PlannerService* planner);
  ~AdviceFetcher();
  AdviceFetcher(const AdviceFetcher&) = delete;
  AdviceFetcher& operator=(const AdviceFetcher&) = delete;

 private:
  void Run();

  AdviceService* const advice_;
  PlannerService* const planner_;
  std::atomic<bool> stopping_{false};
  Thread thread_;
};

}  // namespace turmericshift::pool
