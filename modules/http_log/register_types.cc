#include "modules/http_log/register_types.h"

#include "modules/http_log/http_log_service.h"

namespace turmericshift {

void RegisterHttpLogTypes() {
  LogServiceRegistry::Instance().Register(
      "http", [](const std::string& address) { return std::make_unique<HttpLogService>(address); });
}

}  // namespace turmericshift
