#include "servers/speeds/worker_speeds.h"

namespace turmericshift::speeds {
namespace {

class EqualSpeeds : public WorkerSpeeds {
 public:
  std::string name() const override { return "speeds"; }
  int version() const override { return 0; }
  Duration max_age() const override { return Duration::zero(); }
  nlohmann::json Save(size_t, Time) const override { return nlohmann::json::object(); }
  void Load(const nlohmann::json&, Duration, Time) override {}
  void SetSlowFactor(double) override {}
  double slow_factor() const override { return 1; }
  void BeginIncarnation(const std::string&, int64_t) override {}
  RunHandle BeginRun(const RunInfo&, Time) override { return 0; }
  void RecordProgress(RunHandle, int, Time) override {}
  void RecordDone(RunHandle, Duration, Time) override {}
  std::vector<SpeedChange> Update(Time) override { return {}; }
  bool uneven() const override { return false; }
  double TimeFactor(const std::string&, Time) const override { return 1; }
  double CautiousFactor(const std::string&, Time) const override { return 1; }
  bool IsSlowed(const std::string&, Time) const override { return false; }
  SpeedSummary summary() const override { return {}; }
};

}  // namespace

std::unique_ptr<WorkerSpeeds> MakeEqualSpeeds() { return std::make_unique<EqualSpeeds>(); }

}  // namespace turmericshift::speeds
