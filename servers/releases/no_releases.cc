#include "servers/releases/release_tracker.h"

namespace turmericshift::releases {
namespace {

class NoReleases : public ReleaseTracker {
 public:
  void RecordWorker(const std::string& /*node*/, const std::string& /*service*/,
                    const std::string& /*version*/, int64_t /*start_time_ms*/,
                    Time /*now*/) override {}
  void RecordGone(const std::string& /*node*/, Time /*now*/) override {}
  bool IsOutdated(const std::string& /*node*/, Time /*now*/) const override { return false; }
  int outdated_workers() const override { return 0; }
  std::vector<ReleaseChange> Update(Time /*now*/) override { return {}; }
};

}  // namespace

std::unique_ptr<ReleaseTracker> MakeNoReleases() { return std::make_unique<NoReleases>(); }

}  // namespace turmericshift::releases
