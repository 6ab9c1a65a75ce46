// The service that knows which workers may run the steps of some queues. An adapter speaks a
// platform's own protocol behind it.
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

// One life of a worker: another one's tickets are of no use to it.
struct AdvisedWorker {
  std::string id;
  int64_t start_time_ms = 0;

  auto operator<=>(const AdvisedWorker&) const = default;
};

struct AdviceRequest {
  AdvisedStep step;
  std::vector<AdvisedWorker> workers;
};

struct AdviceTicket {
  std::string worker_id;
  std::string ticket;
};

struct AdviceResponse {
  // Workers that may run the step; the others that were named may not.
  std::vector<AdviceTicket> allowed;
  // How long the tickets hold.
  Duration valid_for{};
};

class AdviceService {
 public:
  virtual ~AdviceService() = default;
  // Throws Error: kOverloaded when too many calls wait there, kUnavailable, kConnectionLost or
  // kDeadlineExceeded when it does not answer, kInvalidInput for an answer that can't be read.
  virtual AdviceResponse Ask(const AdviceRequest& question, Duration timeout) = 0;
};

// Clients by name; the argument is the service's address ("10.0.0.1:8080").
using AdviceServiceRegistry = PluginRegistry<AdviceService, const std::string&>;

}  // namespace turmericshift::pool
