// HTTP calls by libcurl, one handle a thread, bounded in time and size.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(10);
  // Part of `timeout` within which the connection must stand.
  Duration connect_limit = std::chrono::seconds(2);
  size_t max_answer_bytes = size_t{16} << 20;
  // Never reuses a connection. libcurl sends a request again by itself, also a POST, when a reused
  // connection ends before the first byte of the answer, and so might run it twice.
  bool fresh_connection = false;
};

struct HttpReply {
  int status = 0;
  std::string body;
  std::vector<HttpHeader> headers;

  // The value of the header `name` (any case), or "".
  std::string header(const std::string& name) const;
};

// Performs the call on the calling thread's own handle, which keeps its connection open.
// Throws Error: kUnavailable with outcome not_run when the connection was refused,
// kDeadlineExceeded with not_run when none stood in time; kConnectionLost,
// kDeadlineExceeded or kAnswerCut with outcome unknown when the request may have been received.
HttpReply PerformHttp(const HttpCall& call);

}  // namespace turmericshift
