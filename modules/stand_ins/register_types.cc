#include "modules/stand_ins/register_types.h"

#include "modules/stand_ins/fake_worker.h"

namespace turmericshift {

void RegisterStandInTypes() {
  WorkerServiceRegistry::Instance().Register(
      "stand_in", [](const std::string& /*address*/) { return std::make_unique<FakeWorker>(); });
}

}  // namespace turmericshift
