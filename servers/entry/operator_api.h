// What operators may ask over HTTP: configuration, zones, status, metrics.
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
  HttpResponse ShowConfig() const;
  HttpResponse ShowHistory() const;
  HttpResponse PublishConfig(const HttpRequest& request);
  HttpResponse SetZone(const HttpRequest& request);
  HttpResponse Publish(const std::string& text, int64_t parent, const std::string& author);
  HttpResponse ShowStatus() const;

  EntryServer* const entry_;
};

}  // namespace turmericshift
