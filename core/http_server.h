// HTTP server based on libmicrohttpd, with one thread for each connection. It limits the size of
// bodies and disconnects slow senders.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/byte_budget.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/http_client.h"
#include "core/metrics.h"

namespace turmericshift {

struct HttpRequest {
  std::string method;
  // Path without the query.
  std::string path;
  std::vector<HttpHeader> headers;
  std::vector<HttpHeader> query;
  std::string body;

  // Returns the value of the header `name` (case-insensitive), or "".
  std::string header(const std::string& name) const;
  // Returns the value of the query argument `name` (case-insensitive), or "".
  std::string argument(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::vector<HttpHeader> headers;
};

// Makes an application/problem+json response for `error` from the table of error kinds.
// `request_id` may be empty. If `retry_after` is zero, the Retry-After header is left out.
HttpResponse ProblemResponse(const Error& error, const std::string& request_id,
                             Duration retry_after = Duration::zero());

HttpResponse JsonResponse(const std::string& json, int status = 200);

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 lets the system choose a port; see HttpServer::port().
  int port = 0;
  // A request that announces a longer body is refused before the body is read. A body without a
  // length is dropped once it is longer.
  size_t max_body_bytes = size_t{16} << 20;
  // Memory for the bodies of all requests, which several servers may share; null: unlimited. Must
  // outlive the server. A request that finds it used up is answered 503 and was not run.
  ByteBudget* body_budget = nullptr;
  // Part of a request that is not taken from the budget, so that small requests are served while
  // large ones use it up.
  size_t uncounted_bytes = size_t{16} << 10;
  // Returns the memory that the handler takes for a body, if not null.
  std::function<size_t(const std::string&)> handling_bytes;
  // Returns whether an earlier copy of the request may have been run, if not null. Its refusal then
  // leaves the outcome open.
  std::function<bool(const HttpRequest&)> may_have_run;
  int max_connections = 1024;
  // A connection without any traffic for this time is closed.
  std::chrono::seconds idle_timeout = std::chrono::seconds(60);
  // A connection whose request body is not complete within this time is closed, even if data keeps
  // arriving.
  Duration receive_timeout = std::chrono::seconds(60);
  size_t stack_bytes = size_t{256} * 1024;
  // Counts refusals, if not null. Must outlive the server.
  MetricsRegistry* metrics = nullptr;
};

class HttpServer {
 public:
  // Called on the connection's thread. An Error that the handler throws becomes a ProblemResponse.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  // Starts listening. Throws Error(kUnavailable) if the address can't be bound.
  HttpServer(const HttpServerOptions& options, Handler handler);
  // Closes all connections. For a graceful stop call StopAccepting and Drain first.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const { return port_; }
  // Number of requests whose headers have arrived and whose response has not been sent completely.
  int in_flight() const;
  // From now on every response closes its connection, so that callers with persistent connections
  // connect to another process.
  void CloseAfterAnswers();
  // Accepts the connections in the kernel's queue and refuses new connections. Open connections are
  // closed after their next response.
  void StopAccepting();
  // Waits, for `limit` at most, until all requests that have arrived are answered, then ends open
  // connections; returns whether this was reached. An idle connection gets up to 1 s for a request.
  bool Drain(Duration limit);

 private:
  struct State;
  std::unique_ptr<State> state_;
  int port_ = 0;
};

}  // namespace turmericshift
