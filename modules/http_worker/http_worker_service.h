// Client of a worker over HTTP, with the protocol of docs/PLATFORM.md.
#pragma once

#include <string>

#include "servers/platform/worker_service.h"

namespace turmericshift {

class HttpWorkerService : public WorkerService {
 public:
  // `address` is "http://IP:port".
  explicit HttpWorkerService(const std::string& address) : address_(address) {}

  void Start(const TaskStart& start) override;
  void Release(const TaskId& id) override;
  void Renew(const TaskId& id, Duration lease) override;
  void Checkpoint(const TaskId& id) override;
  void Throttle(const TaskId& id, double share) override;
  void Stop(const TaskId& id) override;
  std::vector<TaskReport> Report() override;
  void Forget(const TaskId& id) override;

 private:
  // Sends one call to the worker and returns the body of the answer. Throws Error: kNotFound for an
  // unknown task, kUnavailable for any other failure status.
  std::string Call(const std::string& step, const std::string& body) const;

  const std::string address_;
};

}  // namespace turmericshift
