// An HTTP server by libmicrohttpd: one thread a connection, bounded bodies, slow senders cut off.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/http_client.h"

namespace turmericshift {

struct HttpRequest {
  std::string method;
  // Path without the query.
  std::string path;
  std::vector<HttpHeader> headers;
  std::vector<HttpHeader> query;
  std::string body;

  // The value of the header `name` (any case), or "".
  std::string header(const std::string& name) const;
  // The value of the query argument `name`, or "".
  std::string argument(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::vector<HttpHeader> headers;
};

// A problem+json answer for `error`, by the table of error kinds. `request_id` may be empty;
// `retry_after` of zero leaves the header out.
HttpResponse ProblemResponse(const Error& error, const std::string& request_id,
                             Duration retry_after = Duration::zero());

HttpResponse JsonResponse(const std::string& json, int status = 200);

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  // 0 lets the system choose; see HttpServer::port().
  int port = 0;
  size_t max_body_bytes = size_t{16} << 20;
  int max_connections = 1024;
  // A connection on which nothing arrives or leaves for this long is closed.
  std::chrono::seconds idle_timeout = std::chrono::seconds(60);
  // A request whose body has not arrived whole within this time is cut, however steadily it
  // trickles.
  Duration receive_limit = std::chrono::seconds(60);
  size_t stack_bytes = size_t{256} * 1024;
};

class HttpServer {
 public:
  // Called on the connection's thread. An Error thrown becomes a ProblemResponse.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  // Listens at once. Throws Error(kUnavailable) when the address can't be bound.
  HttpServer(const HttpServerOptions& options, Handler handler);
  // Cuts what is open; call StopAccepting and Drain first for a graceful stop.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const { return port_; }
  // Requests whose handler has begun and whose answer is not yet out.
  int in_flight() const;
  // From here on every answer closes its connection, so that callers who keep theirs open move on.
  void CloseAfterAnswers();
  // Takes in the connections that the system has queued and refuses new ones; open connections go
  // on and close after their present answer.
  void StopAccepting();
  // Waits until nothing is in flight, at most `limit`; returns whether that came about. A
  // connection whose request has not arrived yet gets a short while for it.
  bool Drain(Duration limit);

 private:
  struct State;
  std::unique_ptr<State> state_;
  int port_ = 0;
};

}  // namespace turmericshift
