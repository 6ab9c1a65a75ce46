#include "servers/entry/operator_api.h"

#include <nlohmann/json.hpp>

#include "core/digest.h"
#include "core/error.h"
#include "servers/entry/config_api.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {

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
  if (ConfigApi::Handles(request.path)) return ConfigApi(entry_).Handle(request);
  throw Error(ErrorKind::kNotFound, "no such path: " + request.path);
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
  nlohmann::json streams = nlohmann::json::object();
  for (const StreamClient* stream : {&entry_->config_stream_, &entry_->request_stream_,
                                     &entry_->job_stream_, &entry_->member_stream_}) {
    // Different digests at equal offsets mean that the replicated states of two entries differ.
    const SnapshotState state = stream->TakeSnapshot();
    streams[stream->name()] = {{"next", state.covers}, {"digest", Digest(state.bytes)}};
  }
  const auto current = entry_->replicated_config_.current();
  const StreamView view = entry_->config_stream_.view();
  const nlohmann::json status = {{"process", entry_->options_.process},
                                 {"zone", entry_->options_.zone},
                                 {"ready", entry_->ready()},
                                 {"config_version", current ? current->version : 0},
                                 {"log_failing", view.failing},
                                 {"planner_duty", entry_->planners_->Active(entry_->options_.zone)},
                                 {"environment", entry_->replicated_config_.environment_name()},
                                 {"streams", streams},
                                 {"agents", agents}};
  return JsonResponse(status.dump());
}

}  // namespace turmericshift
