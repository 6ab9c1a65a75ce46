// HTTP API for operators, on a listen address of its own. All paths but the two health checks need
// an operator's token.
//
//   GET /healthz    200 while the process is alive
//   GET /readyz     200 once this entry has read the log and is not leaving, else 503
//   GET /metrics    metrics in the Prometheus text format
//   GET /v1/status  this entry's view: agents, versions, log, and a digest of each stream's state
//   /v1/config…, /v1/zones…   see config_api.h
#pragma once

#include "core/http_server.h"

namespace turmericshift {

class EntryServer;

class OperatorApi {
 public:
  explicit OperatorApi(EntryServer* entry) : entry_(entry) {}
  // Throws Error.
  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse ShowStatus() const;

  EntryServer* const entry_;
};

}  // namespace turmericshift
