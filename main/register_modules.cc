#include "main/register_modules.h"

#include "main/benches/bench_control.h"
#include "main/benches/bench_gangs.h"
#include "main/benches/bench_requests.h"
#include "main/benches/capacity_bench.h"
#include "main/benches/pool_rounds_bench.h"
#include "main/benches/replay_bench.h"
#include "modules/http_log/register_types.h"
#include "modules/http_target/register_types.h"
#include "modules/http_worker/register_types.h"
#include "modules/placement/register_types.h"
#include "modules/routing/register_types.h"
#include "modules/stand_ins/register_types.h"
#include "platform/register_types.h"

namespace turmericshift {

void RegisterModules() {
  RegisterControlBench();
  RegisterGangsBench();
  RegisterHttpLogTypes();
  RegisterHttpTargetTypes();
  RegisterHttpWorkerTypes();
  RegisterPlacementTypes();
  RegisterRoutingTypes();
  RegisterStandInTypes();
  RegisterPlatformTypes();
  RegisterRequestBench();
  RegisterCapacityBench();
  RegisterPoolRoundsBench();
  RegisterReplayBench();
}

}  // namespace turmericshift
