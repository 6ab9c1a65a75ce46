// The HTTP API that an agent serves to operators: health, readiness and metrics.
#pragma once

#include <string>

#include "core/http_server.h"
#include "core/metrics.h"
#include "servers/agent/agent_server.h"

namespace turmericshift {

class AgentOperatorApi {
 public:
  // All pointers must outlive the API. `token` is the operator token that /metrics requires;
  // /healthz and /readyz require none.
  AgentOperatorApi(const AgentServer* agent, const MetricsRegistry* metrics,
                   const std::string& token)
      : agent_(agent), metrics_(metrics), token_(token) {}

  // Throws Error(kUnauthenticated) without a valid operator token and Error(kNotFound) for an
  // unknown path.
  HttpResponse Handle(const HttpRequest& request) const;

 private:
  const AgentServer* const agent_;
  const MetricsRegistry* const metrics_;
  const std::string token_;
};

}  // namespace turmericshift
