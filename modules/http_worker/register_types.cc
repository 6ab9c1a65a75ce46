#include "modules/http_worker/register_types.h"

#include "modules/http_worker/http_worker_service.h"

namespace turmericshift {

void RegisterHttpWorkerTypes() {
  WorkerServiceRegistry::Instance().Register("http", [](const std::string& address) {
    return std::make_unique<HttpWorkerService>(address);
  });
}

}  // namespace turmericshift
