#include "servers/admission/admission_policy.h"

#include <algorithm>
#include <array>
#include <utility>

namespace turmericshift::admission {
namespace {

// The price of an accelerator that operators use.
constexpr double kCoresPerAccelerator = 8;
// No forecast looks further ahead, so that sums of durations stay in range.
constexpr double kMaxSeconds = 86'400;

constexpr std::array<std::pair<RefusalReason, const char*>, 2> kReasonNames = {{
    {RefusalReason::kPoolOverloaded, "pool_overloaded"},
    {RefusalReason::kWorkspaceOverloaded, "workspace_overloaded"},
}};

double SecondsFor(double work, double capacity) {
  return work > 0 && capacity > 0 ? std::min(work / capacity, kMaxSeconds) : 0;
}

class AdmitAll : public AdmissionPolicy {
 public:
  std::optional<Refusal> Decide(const AdmissionRequest& /*request*/, const PoolLoad& /*load*/,
                                Time /*now*/) override {
    return std::nullopt;
  }
  bool needs_load() const override { return false; }
  size_t refused_jobs() const override { return 0; }
};

}  // namespace

double Work::core_seconds() const { return processors + kCoresPerAccelerator * accelerators; }

Work& Work::operator+=(const Work& other) {
  processors += other.processors;
  accelerators += other.accelerators;
  return *this;
}

Work& Work::operator-=(const Work& other) {
  processors -= other.processors;
  accelerators -= other.accelerators;
  return *this;
}

Duration TimeFor(const Work& work, const Capacity& capacity, double share) {
  return FromSeconds(std::max(SecondsFor(work.processors, share * capacity.processors),
                              SecondsFor(work.accelerators, share * capacity.accelerators)));
}

Duration PoolLoad::backlog() const {
  Work all;
  for (const auto& [name, workspace] : workspaces) {
    for (const auto& [priority, work] : workspace.by_priority) all += work;
  }
  return TimeFor(all, capacity, 1);
}

const char* RefusalReasonName(RefusalReason reason) {
  for (const auto& [known, name] : kReasonNames) {
    if (known == reason) return name;
  }
  return "";
}

std::unique_ptr<AdmissionPolicy> MakeAdmitAll() { return std::make_unique<AdmitAll>(); }

}  // namespace turmericshift::admission
