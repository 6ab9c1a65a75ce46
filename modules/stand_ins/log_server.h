// Serves a MemoryLog over HTTP with the protocol of docs/PLATFORM.md. For tests and dev mode only.
#pragma once

#include <memory>

#include "core/http_server.h"
#include "modules/stand_ins/memory_log.h"

namespace turmericshift {

class LogServer {
 public:
  // `log` must outlive the server.
  LogServer(const HttpServerOptions& options, MemoryLog* log);

  int port() const { return server_->port(); }

 private:
  HttpResponse Handle(const HttpRequest& request);

  MemoryLog* const log_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace turmericshift
