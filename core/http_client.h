// HTTP client based on libcurl, with one handle for each thread and limits on time and size.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Creates the sockets of HTTP calls in place of the system, for a caller whose network is
// simulated.
class SocketOpener {
 public:
  virtual ~SocketOpener() = default;
  // Returns a socket that the HTTP client connects and closes, or -1 if the connection is refused.
  virtual int Open() noexcept = 0;
};

struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(10);
  // Limit for establishing the connection, counted as part of `timeout`.
  Duration connect_timeout = std::chrono::seconds(2);
  size_t max_answer_bytes = size_t{16} << 20;
  // Forces a new connection. When a reused connection is closed before the first byte of the
  // response, libcurl resends the request on its own, even a POST, so the request might run twice.
  bool fresh_connection = false;
  // Creates the sockets of the call, if not null. Must outlive the call.
  SocketOpener* opener = nullptr;
};

struct HttpReply {
  int status = 0;
  std::string body;
  std::vector<HttpHeader> headers;
  // Whether libcurl has resent the request on its own (see HttpCall::fresh_connection). An earlier
  // copy may have been carried out even if this reply is a refusal.
  bool resent = false;

  // Returns the value of the header `name` (case-insensitive), or "".
  std::string header(const std::string& name) const;
};

// Ends calls from another thread.
class HttpCanceller {
 public:
  // Makes the running call and all later calls with this canceller end immediately.
  void Cancel();
  bool cancelled() const;

 private:
  friend class CancellableTransfer;

  mutable std::mutex mutex_;
  bool cancelled_ = false;
  // The libcurl transfer of the running call; null if none is running.
  void* transfer_ = nullptr;
};

// Performs the call on the calling thread's handle, which keeps its connections open for later
// calls. Throws Error: kUnavailable with outcome not_run when the connection was refused,
// kDeadlineExceeded with not_run when no connection was established in time; kConnectionLost,
// kDeadlineExceeded or kAnswerCut with outcome unknown when the request may have been received,
// also on an earlier connection.
HttpReply PerformHttp(const HttpCall& call);
// As above, on a connection of its own. Throws Error(kCancelled) with outcome unknown when
// `canceller` ends the call. A canceller serves one call at a time and must outlive it.
HttpReply PerformHttp(const HttpCall& call, HttpCanceller* canceller);

}  // namespace turmericshift
