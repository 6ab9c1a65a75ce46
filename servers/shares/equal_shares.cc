#include "servers/shares/workspace_shares.h"

namespace turmericshift::shares {
namespace {

class EqualShares : public WorkspaceShares {
 public:
  std::string name() const override { return "shares"; }
  int version() const override { return 0; }
  Duration max_age() const override { return Duration::zero(); }
  nlohmann::json Save(size_t, Time) const override { return nlohmann::json::object(); }
  void Load(const nlohmann::json&, Duration, Time) override {}
  std::vector<LevelChange> RecordUse(const std::map<std::string, WorkspaceUse>&,
                                     const PoolCapacity&, Time) override {
    return {};
  }
  double Overuse(const std::string&, Time) const override { return 0; }
  void RecordPreempted(const std::string&, double, Time) override {}
  double PreemptionWeight(const std::string&, Time) const override { return 1; }
  SharesSummary summary(Time) const override { return {}; }
};

}  // namespace

std::unique_ptr<WorkspaceShares> MakeEqualShares() { return std::make_unique<EqualShares>(); }

}  // namespace turmericshift::shares
