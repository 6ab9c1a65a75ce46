// What operators may ask over HTTP, on a listen address of their own. Needs an operator's token,
// but for the two health paths.
//
//   GET /healthz    200 while the process lives
//   GET /readyz     200 once this entry has read the log and is not leaving, else 503
//   GET /metrics    metrics in the text format that monitoring systems scrape
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
