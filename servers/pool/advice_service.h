// The service that decides which workers may run the steps of advised queues. An adapter implements
// a platform's protocol for it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"
#include "servers/pool/job_progress.h"

namespace turmericshift::pool {

struct AdvisedStep {
  std::string job;
  StepPlace place;

  auto operator<=>(const AdvisedStep&) const = default;
};

// One incarnation of a worker; tickets of other incarnations are invalid for it.
struct AdvisedWorker {
  std::string id;
  int64_t start_time_ms = 0;

  auto operator<=>(const AdvisedWorker&) const = default;
};

struct AdviceRequest {
  AdvisedStep step;
  std::vector<AdvisedWorker> workers;
  AdviceTiming timing = {};
  // How long to wait for the answer; set by AdviceCache::Next().
  Duration timeout{};
};

struct AdviceTicket {
  std::string worker_id;
  std::string ticket;
};

struct AdviceResponse {
  // Workers that may run the step; the other workers named in the request may not.
  std::vector<AdviceTicket> allowed;
  // How long the tickets are valid.
  Duration valid_for{};
};

class AdviceService {
 public:
  virtual ~AdviceService() = default;
  // Throws Error: kOverloaded when the service refuses the call because too many wait;
  // kUnavailable, kConnectionLost or kDeadlineExceeded when it does not answer; kInvalidInput for a
  // malformed answer.
  virtual AdviceResponse Ask(const AdviceRequest& request, Duration timeout) = 0;
};

// Registry of the clients by name; the argument is the service's address, such as "10.0.0.1:8080".
using AdviceServiceRegistry = PluginRegistry<AdviceService, const std::string&>;

}  // namespace turmericshift::pool
