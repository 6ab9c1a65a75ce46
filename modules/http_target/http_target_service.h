// Client of a target over HTTP, with the protocol of docs/PLATFORM.md.
#pragma once

#include <string>

#include "servers/platform/target_service.h"

namespace turmericshift {

class HttpTargetService : public TargetService {
 public:
  // `address` is "http://IP:port".
  explicit HttpTargetService(const std::string& address) : address_(address) {}
  ServiceAnswer Perform(const ServiceRequest& request) override;

 private:
  const std::string address_;
};

}  // namespace turmericshift
