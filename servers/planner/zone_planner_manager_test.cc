#include "servers/planner/zone_planner_manager.h"

#include <gtest/gtest.h>

#include <thread>

#include "core/digest.h"
#include "core/error.h"
#include "modules/placement/register_types.h"
#include "servers/state/stream_client.h"
#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

constexpr Duration kClaimLimit = std::chrono::seconds(30);

constexpr const char* kDocument =
    "[environment]\ndeployment = test\n"
    "[availability_zone zone-a]\nstate = in\nworkers = 1\nworkers_per_rack = 1\n"
    "processors_per_worker = 8\nmemory_per_worker = 8GiB\naccelerators_per_worker = 4\n";

// Tells when the zone's planner tries to claim it, and refuses the claim.
class ClaimWatch : public RecordWriter {
 public:
  WriteResult Write(const Record& /*record*/, Duration /*timeout*/) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      claimed_ = true;
    }
    changed_.notify_all();
    throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "the log is down");
  }

  bool WaitForClaim() {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kClaimLimit, [this] { return claimed_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool claimed_ = false;
};

// The thread of a zone's planner can't be started at first. If the zone were not tried again, this
// entry would never plan it.
TEST(ZonePlannerManagerTest, StartsAZonesPlannerAfterALackOfThreads) {
  RegisterPlacementTypes();
  AgentDirectory directory;
  ClaimWatch writer;
  ReplicatedJobs jobs;
  ReplicatedConfig config;
  MetricsRegistry metrics;
  ConfigPublished record{NewRecordId(), 1, 0, Digest(kDocument), kDocument, "test", 0, ""};
  record.sets_zones = true;
  ASSERT_TRUE(config.Apply(record, 1).accepted);
  ZonePlannerManagerOptions options;
  options.process = "entry-0";
  options.own_zone = "zone-a";
  auto shortage = std::make_unique<ThreadShortage>("planner");
  ZonePlannerManager manager(options, &directory, &writer, &jobs, &config, &metrics);
  while (shortage->refusals() == 0) std::this_thread::yield();
  EXPECT_FALSE(manager.Active("zone-a"));
  shortage.reset();
  EXPECT_TRUE(writer.WaitForClaim());
}

}  // namespace
}  // namespace turmericshift
