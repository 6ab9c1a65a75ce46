#include "modules/stand_ins/fake_target.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace turmericshift {

FakeTarget::FakeTarget(const HttpServerOptions& options) {
  server_ = std::make_unique<HttpServer>(
      options, [this](const HttpRequest& request) { return Handle(request); });
}

void FakeTarget::SetFaults(const TargetFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

int FakeTarget::RunsOf(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = runs_.find(key);
  return found == runs_.end() ? 0 : found->second;
}

HttpResponse FakeTarget::ShowRuns() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return JsonResponse(nlohmann::json(runs_).dump());
}

HttpResponse FakeTarget::Handle(const HttpRequest& request) {
  if (request.method == "GET" && request.path == "/runs") return ShowRuns();
  TargetFaults faults;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
    const std::string key = request.header("Idempotency-Key");
    if (!key.empty()) ++runs_[key];
  }
  if (faults.delay > Duration::zero()) std::this_thread::sleep_for(faults.delay);
  served_.fetch_add(1);
  if (faults.fails_everything) return {500, "failed\n", {}};
  return {200, request.body, {{"Content-Type", "application/octet-stream"}}};
}

}  // namespace turmericshift
