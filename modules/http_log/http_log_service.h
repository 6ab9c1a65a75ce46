// Client of the platform's log over HTTP, with the protocol of docs/PLATFORM.md.
#pragma once

#include <string>

#include "servers/platform/log_service.h"

namespace turmericshift {

class HttpLogService : public LogService {
 public:
  // `address` is "http://IP:port".
  explicit HttpLogService(const std::string& address) : address_(address) {}

  Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) override;
  LogBatch Read(const std::string& stream, Offset from, Duration wait, Duration timeout) override;
  Offset FirstKept(const std::string& stream, Duration timeout) override;

 private:
  std::string Url(const std::string& stream) const;

  const std::string address_;
};

}  // namespace turmericshift
