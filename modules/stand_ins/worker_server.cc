#include "modules/stand_ins/worker_server.h"

#include "core/error.h"
#include "modules/http_worker/worker_json.h"

namespace turmericshift {
namespace {

constexpr const char* kPrefix = "/v1/tasks/";

}  // namespace

WorkerServer::WorkerServer(const HttpServerOptions& options, WorkerService* worker)
    : worker_(worker),
      http_(options, [this](const HttpRequest& request) { return Handle(request); }) {}

HttpResponse WorkerServer::Handle(const HttpRequest& request) {
  const std::string prefix = kPrefix;
  const bool known = request.method == "POST" && request.path.rfind(prefix, 0) == 0;
  const std::string step = known ? request.path.substr(prefix.size()) : "";
  nlohmann::json answer = nlohmann::json::object();
  try {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    if (step == "report") {
      answer = nlohmann::json::array();
      for (const TaskReport& report : worker_->Report()) answer.push_back(TaskReportJson(report));
      return JsonResponse(answer.dump());
    }
    if (step == "start") {
      worker_->Start(TaskStartFromJson(body));
      return JsonResponse(answer.dump());
    }
    const TaskId id = TaskIdFromJson(body);
    if (step == "release") {
      worker_->Release(id);
    } else if (step == "renew") {
      worker_->Renew(id, Duration(body.at("lease_ns").get<int64_t>()));
    } else if (step == "checkpoint") {
      worker_->Checkpoint(id);
    } else if (step == "throttle") {
      worker_->Throttle(id, body.at("share").get<double>());
    } else if (step == "stop") {
      worker_->Stop(id);
    } else if (step == "forget") {
      worker_->Forget(id);
    } else {
      throw Error(ErrorKind::kInvalidInput, "unknown worker call: " + request.path);
    }
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kInvalidInput, error.what());
  }
  return JsonResponse(answer.dump());
}

}  // namespace turmericshift
