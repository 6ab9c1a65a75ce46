// Serves a WorkerService over HTTP in place of the platform's worker. For tests and trials only.
#pragma once

#include "core/http_server.h"
#include "modules/stand_ins/fake_worker.h"

namespace turmericshift {

class WorkerServer {
 public:
  // `worker` must outlive the server.
  WorkerServer(const HttpServerOptions& options, WorkerService* worker);

  int port() const { return http_.port(); }

 private:
  HttpResponse Handle(const HttpRequest& request);

  WorkerService* const worker_;
  HttpServer http_;
};

}  // namespace turmericshift
