// A fake target: an HTTP server that answers each request with the body that it received. For tests
// and dev mode only.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/http_server.h"

namespace turmericshift {

struct TargetFaults {
  // Delay before each answer.
  Duration delay{};
  // Every request gets status 500.
  bool fails_everything = false;
};

class FakeTarget {
 public:
  explicit FakeTarget(const HttpServerOptions& options);

  int port() const { return server_->port(); }
  void SetFaults(const TargetFaults& faults);
  int64_t served() const { return served_.load(); }
  // How often a request with the idempotency key `key` was run.
  int RunsOf(const std::string& key) const;

 private:
  HttpResponse Handle(const HttpRequest& request);
  // Answers `GET /runs` with the number of runs of each idempotency key.
  HttpResponse ShowRuns() const;

  mutable std::mutex mutex_;
  TargetFaults faults_;
  std::map<std::string, int> runs_;
  std::atomic<int64_t> served_{0};
  std::unique_ptr<HttpServer> server_;
};

}  // namespace turmericshift
