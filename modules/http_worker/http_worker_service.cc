#include "modules/http_worker/http_worker_service.h"

#include "core/error.h"
#include "core/http_client.h"
#include "modules/http_worker/worker_json.h"

namespace turmericshift {
namespace {

// Shorter than the planner's timeout for a call to the agent, so that the agent can still answer.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);

}  // namespace

void HttpWorkerService::Start(const TaskStart& start) {
  Call("start", TaskStartJson(start).dump());
}

void HttpWorkerService::Release(const TaskId& id) { Call("release", TaskIdJson(id).dump()); }

void HttpWorkerService::Renew(const TaskId& id, Duration lease) {
  nlohmann::json json = TaskIdJson(id);
  json["lease_ns"] = lease.count();
  Call("renew", json.dump());
}

void HttpWorkerService::Checkpoint(const TaskId& id) { Call("checkpoint", TaskIdJson(id).dump()); }

void HttpWorkerService::Throttle(const TaskId& id, double share) {
  nlohmann::json json = TaskIdJson(id);
  json["share"] = share;
  Call("throttle", json.dump());
}

void HttpWorkerService::Stop(const TaskId& id) { Call("stop", TaskIdJson(id).dump()); }

std::vector<TaskReport> HttpWorkerService::Report() {
  const nlohmann::json json = nlohmann::json::parse(Call("report", "{}"), nullptr, false);
  if (!json.is_array()) {
    throw Error(ErrorKind::kUnavailable, Outcome::kUnknown,
                "the worker's report is not a JSON array");
  }
  std::vector<TaskReport> reports;
  try {
    for (const nlohmann::json& report : json) reports.push_back(TaskReportFromJson(report));
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kUnavailable, Outcome::kUnknown, error.what());
  }
  return reports;
}

void HttpWorkerService::Forget(const TaskId& id) { Call("forget", TaskIdJson(id).dump()); }

std::string HttpWorkerService::Call(const std::string& step, const std::string& body) const {
  HttpCall call;
  call.method = "POST";
  call.url = address_ + "/v1/tasks/" + step;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = body;
  call.timeout = kCallTimeout;
  HttpReply reply = PerformHttp(call);
  if (reply.status == 404) throw Error(ErrorKind::kNotFound, "no such task");
  if (reply.status >= 300) {
    throw Error(ErrorKind::kUnavailable, Outcome::kUnknown,
                step + ": worker answered with HTTP status " + std::to_string(reply.status));
  }
  return std::move(reply.body);
}

}  // namespace turmericshift
