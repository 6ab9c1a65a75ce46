#include "modules/http_target/register_types.h"

#include "modules/http_target/http_target_service.h"

namespace turmericshift {

void RegisterHttpTargetTypes() {
  TargetServiceRegistry::Instance().Register("http", [](const std::string& address) {
    return std::make_unique<HttpTargetService>(address);
  });
}

}  // namespace turmericshift
