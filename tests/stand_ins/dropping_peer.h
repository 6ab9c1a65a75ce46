// An HTTP server that reads a request completely and then closes the connection without an answer.
#pragma once

#include <string>

#include "core/thread.h"

namespace turmericshift {

// Answers the first request with `first`, reads the second one on the same connection, drops that
// connection, and answers a further request with `last`. If `last` is empty, the peer accepts no
// further connection.
class DroppingPeer {
 public:
  DroppingPeer(const std::string& first, const std::string& last);
  // Waits until all requests described above have been served.
  ~DroppingPeer();
  DroppingPeer(const DroppingPeer&) = delete;
  DroppingPeer& operator=(const DroppingPeer&) = delete;

  int port() const { return port_; }

 private:
  void Serve(const std::string& first, const std::string& last);

  int listener_;
  const int port_;
  Thread thread_;
};

// Returns an HTTP answer that leaves the connection open.
std::string HttpAnswer(int status, const std::string& body);

}  // namespace turmericshift
