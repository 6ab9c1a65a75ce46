#include "servers/entry/operator_api.h"

#include <nlohmann/json.hpp>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"
#include "core/units.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(5);

nlohmann::json VersionJson(const ConfigVersion& version) {
  return {{"version", version.version},
          {"digest", version.digest},
          {"author", version.author},
          {"published_ms", version.wall_ms}};
}

}  // namespace

HttpResponse OperatorApi::Handle(const HttpRequest& request) {
  if (request.path == "/healthz") return {200, "ok\n", {}};
  if (request.path == "/readyz") {
    if (entry_->ready()) return {200, "ready\n", {}};
    return {503, "not ready\n", {}};
  }
  entry_->tokens_.RequireOperator(request, entry_->options_.operator_token);
  if (request.path == "/metrics") {
    return {200, entry_->metrics_->Expose(), {{"Content-Type", "text/plain; version=0.0.4"}}};
  }
  if (request.path == "/v1/status") return ShowStatus();
  if (request.path == "/v1/config/history") return ShowHistory();
  if (request.path == "/v1/config" && request.method == "GET") return ShowConfig();
  if (request.path == "/v1/config" && request.method == "POST") return PublishConfig(request);
  if (request.path.rfind("/v1/zones/", 0) == 0 && request.method == "POST") return SetZone(request);
  throw Error(ErrorKind::kNotFound, "no such path: " + request.path);
}

HttpResponse OperatorApi::ShowConfig() const {
  const auto current = entry_->config_fold_.current();
  if (!current) throw Error(ErrorKind::kNotFound, "no configuration was published yet");
  nlohmann::json json = VersionJson(*current);
  json["text"] = current->text;
  return JsonResponse(json.dump());
}

HttpResponse OperatorApi::ShowHistory() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& version : entry_->config_fold_.history()) list.push_back(VersionJson(*version));
  return JsonResponse(list.dump());
}

HttpResponse OperatorApi::PublishConfig(const HttpRequest& request) {
  ParseEnvironment("document", request.body);
  const std::string parent = request.argument("parent");
  if (parent.empty()) throw Error(ErrorKind::kInvalidInput, "name the parent version: ?parent=N");
  return Publish(request.body, ParseInteger(parent, 0, INT64_MAX), request.argument("author"));
}

HttpResponse OperatorApi::SetZone(const HttpRequest& request) {
  const std::string rest = request.path.substr(std::string("/v1/zones/").size());
  const size_t slash = rest.find('/');
  const std::string state = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (state != "in" && state != "out") {
    throw Error(ErrorKind::kInvalidInput, "use /v1/zones/NAME/in or /v1/zones/NAME/out");
  }
  const auto current = entry_->config_fold_.current();
  if (!current) throw Error(ErrorKind::kNotFound, "no configuration was published yet");
  const std::string text = WithZoneState(current->text, rest.substr(0, slash), state == "in");
  return Publish(text, current->version, request.argument("author"));
}

HttpResponse OperatorApi::Publish(const std::string& text, int64_t parent,
                                  const std::string& author) {
  ConfigPublished record;
  record.id = NewRecordId();
  record.parent = parent;
  record.version = parent + 1;
  record.text = text;
  record.digest = Digest(text);
  record.author = author;
  record.wall_ms = DefaultClock().WallMillis();
  const Written written = entry_->config_stream_.Write(record, kRecordTimeout);
  if (!written.verdict.accepted) throw Error(ErrorKind::kConflict, written.verdict.reason);
  LogEvent(LogLevel::kInfo, "config_accepted",
           {{"version", record.version},
            {"digest", record.digest},
            {"author", author},
            {"zones_out", ParseEnvironment("document", text).ZonesOut()}});
  return JsonResponse(
      nlohmann::json({{"version", record.version}, {"digest", record.digest}}).dump(), 201);
}

HttpResponse OperatorApi::ShowStatus() const {
  nlohmann::json agents = nlohmann::json::array();
  for (const AgentState& agent : entry_->directory_.Agents("")) {
    agents.push_back({{"agent", agent.hello.process},
                      {"zone", agent.hello.zone},
                      {"service", agent.hello.service},
                      {"config_version", agent.beat.config_version},
                      {"running", agent.beat.load.running},
                      {"tasks", agent.beat.tasks.size()},
                      {"leaving", agent.beat.leaving}});
  }
  const auto current = entry_->config_fold_.current();
  const StreamView view = entry_->config_stream_.view();
  const nlohmann::json status = {{"process", entry_->options_.process},
                                 {"zone", entry_->options_.zone},
                                 {"ready", entry_->ready()},
                                 {"config_version", current ? current->version : 0},
                                 {"log_failing", view.failing},
                                 {"planner_duty", entry_->planner_->holds_duty()},
                                 {"agents", agents}};
  return JsonResponse(status.dump());
}

}  // namespace turmericshift
