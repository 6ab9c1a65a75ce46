#include "main/agent_operator_api.h"

#include "core/error.h"
#include "core/secret.h"

namespace turmericshift {

HttpResponse AgentOperatorApi::Handle(const HttpRequest& request) const {
  if (request.path == "/healthz") return {200, "ok\n", {}};
  if (request.path == "/readyz") {
    const bool ready = agent_->guard().config_version() > 0;
    return {ready ? 200 : 503, ready ? "ready\n" : "no environment document received yet\n", {}};
  }
  if (!ProofHolds("operator", "Bearer " + token_,
                  Prove("operator", request.header("Authorization")))) {
    throw Error(ErrorKind::kUnauthenticated, "the token belongs to no operator");
  }
  if (request.path != "/metrics") {
    throw Error(ErrorKind::kNotFound, "no such path: " + request.path);
  }
  return {200, metrics_->Expose(), {{"Content-Type", "text/plain; version=0.0.4"}}};
}

}  // namespace turmericshift
