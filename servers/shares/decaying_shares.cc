// Each resource's share is averaged with exponentially decaying weights; the largest average of a
// workspace is its use (dominant resource fairness, Ghodsi et al., NSDI 2011).
#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

#include "core/error.h"
#include "servers/shares/workspace_shares.h"

namespace turmericshift::shares {
namespace {

constexpr Duration kUseHalfLife = std::chrono::seconds(10);
// Twice the common length of runs (6 to 11 s): a run that starts again after its preemption should
// end before its workspace is as cheap a victim as the others.
constexpr Duration kLossHalfLife = std::chrono::seconds(20);
// Longest time for which the recorded use is assumed to go on. Without a round of planning for this
// long, runs end as their leases expire.
constexpr Duration kMaxHold = std::chrono::seconds(10);
// A workspace counts as active this long after its last work. Use decays over the same time, and
// short jobs would otherwise change the fair share of all workspaces as they come and go.
constexpr Duration kActiveTime = kUseHalfLife;
// Part of the pool that is divided equally however much is guaranteed, so that the fair share of a
// workspace without a guarantee is above 0.
constexpr double kMinCommonPart = 0.1;

// Limits the weight, because the cost of preemption also decides whether an urgent unit preempts at
// all.
constexpr double kMaxWeight = 3;
// The weight is halfway to its limit for a workspace that has lost the work of its fair share in
// this time.
constexpr double kHalfWeightSeconds = 1;

constexpr Duration kLevelCheckInterval = std::chrono::seconds(1);

constexpr int kFormat = 1;
constexpr Duration kMaxAge = std::chrono::minutes(5);
constexpr double kMilli = 1000;
// Largest loss that a saved workspace may have, in core-seconds: beyond what any pool computes
// within the half-life.
constexpr double kMaxSavedLoss = 1e9;

using ResourceShares = std::array<double, 3>;

double Decay(Duration time, Duration half_life) {
  return std::exp2(-static_cast<double>(std::max(time, Duration::zero()).count()) /
                   static_cast<double>(half_life.count()));
}

double ShareOf(int64_t part, int64_t total) {
  if (total <= 0) return 0;
  return std::clamp(static_cast<double>(part) / static_cast<double>(total), 0.0, 1.0);
}

ResourceShares SharesOf(const Resources& part, const Resources& total) {
  return {ShareOf(part.processor_millis, total.processor_millis),
          ShareOf(part.memory_mib, total.memory_mib),
          ShareOf(part.accelerators, total.accelerators)};
}

class DecayingShares : public WorkspaceShares {
 public:
  std::string name() const override { return "shares"; }
  int version() const override { return kFormat; }
  Duration max_age() const override { return kMaxAge; }
  nlohmann::json Save(size_t max_bytes, Time now) const override;
  void Load(const nlohmann::json& data, Duration age, Time now) override;

  std::vector<LevelChange> RecordUse(const std::map<std::string, WorkspaceUse>& by_workspace,
                                     const PoolCapacity& total, Time now) override;
  double Overuse(const std::string& workspace, Time now) const override;
  void RecordPreempted(const std::string& workspace, double core_seconds, Time now) override;
  double PreemptionWeight(const std::string& workspace, Time now) const override;
  SharesSummary summary(Time now) const override;

 private:
  struct State {
    // Shares in use since `recorded_at`, and their decaying averages as of that time.
    ResourceShares in_use{};
    ResourceShares averages{};
    Time recorded_at{};
    // Lost core-seconds as of `lost_at`.
    double lost = 0;
    Time lost_at{};
    std::optional<Time> last_work;
    double fair_share = 1;
    // Level as last reported.
    int level = 0;
  };
  using States = std::map<std::string, State>;

  static ResourceShares AveragesAt(const State& state, Time now);
  // Average share of the resource of which the workspace has used most.
  static double UseAt(const State& state, Time now);
  static double OveruseAt(const State& state, Time now);
  static double LossAt(const State& state, Time now);
  static bool IsActive(const State& state, Time now);
  void SetFairShares(const std::map<std::string, WorkspaceUse>& by_workspace,
                     const PoolCapacity& total, Time now);
  std::vector<LevelChange> UpdateLevels(Time now);
  static std::pair<std::string, State> LoadRow(const std::string& name, const nlohmann::json& row,
                                               Duration age, Time now);

  States states_;
  double cores_ = 0;
  // Workspaces that had work recently, as of the last record.
  int active_ = 0;
  std::optional<Time> levels_checked_;
};

ResourceShares DecayingShares::AveragesAt(const State& state, Time now) {
  const Duration elapsed = now - state.recorded_at;
  const Duration held = std::min(elapsed, kMaxHold);
  const double kept = Decay(held, kUseHalfLife);
  const double decayed = Decay(elapsed - held, kUseHalfLife);
  ResourceShares averages{};
  for (size_t i = 0; i < averages.size(); ++i) {
    averages[i] = decayed * (state.in_use[i] + kept * (state.averages[i] - state.in_use[i]));
  }
  return averages;
}

double DecayingShares::UseAt(const State& state, Time now) {
  const ResourceShares averages = AveragesAt(state, now);
  return *std::max_element(averages.begin(), averages.end());
}

double DecayingShares::OveruseAt(const State& state, Time now) {
  return UseAt(state, now) / state.fair_share;
}

double DecayingShares::LossAt(const State& state, Time now) {
  return state.lost * Decay(now - state.lost_at, kLossHalfLife);
}

bool DecayingShares::IsActive(const State& state, Time now) {
  return state.last_work && now - *state.last_work <= kActiveTime;
}

std::vector<LevelChange> DecayingShares::RecordUse(
    const std::map<std::string, WorkspaceUse>& by_workspace, const PoolCapacity& total, Time now) {
  std::erase_if(states_, [&](const auto& row) { return by_workspace.count(row.first) == 0; });
  for (const auto& [workspace, use] : by_workspace) {
    State& state = states_[workspace];
    state.averages = AveragesAt(state, now);
    state.in_use = SharesOf(use.in_use, total.resources);
    state.recorded_at = now;
    if (use.has_work) state.last_work = now;
  }
  cores_ = total.cores;
  SetFairShares(by_workspace, total, now);
  return UpdateLevels(now);
}

// Guaranteed accelerators belong to the fair share of their workspace; the rest of the pool is
// divided equally. A workspace without recent work gets the share that it would have with work.
void DecayingShares::SetFairShares(const std::map<std::string, WorkspaceUse>& by_workspace,
                                   const PoolCapacity& total, Time now) {
  active_ = 0;
  double active_guarantees = 0;
  const auto guarantee_of = [&](const WorkspaceUse& use) {
    return ShareOf(use.guaranteed_accelerators, total.resources.accelerators);
  };
  for (const auto& [workspace, use] : by_workspace) {
    if (!IsActive(states_[workspace], now)) continue;
    ++active_;
    active_guarantees += guarantee_of(use);
  }
  for (const auto& [workspace, use] : by_workspace) {
    State& state = states_[workspace];
    const bool counted = IsActive(state, now);
    const double own = guarantee_of(use);
    const double all = active_guarantees + (counted ? 0 : own);
    const double guaranteed_part = std::min(all, 1 - kMinCommonPart);
    const double common_part = (1 - guaranteed_part) / (active_ + (counted ? 0 : 1));
    state.fair_share = common_part + (all > 0 ? guaranteed_part * own / all : 0);
  }
}

std::vector<LevelChange> DecayingShares::UpdateLevels(Time now) {
  if (levels_checked_ && now - *levels_checked_ < kLevelCheckInterval) return {};
  levels_checked_ = now;
  std::vector<LevelChange> changes;
  for (auto& [workspace, state] : states_) {
    const double overuse = OveruseAt(state, now);
    const int level = OveruseLevel(overuse);
    if (level == state.level) continue;
    changes.push_back(
        {workspace, state.level, level, overuse, UseAt(state, now), state.fair_share});
    state.level = level;
  }
  return changes;
}

double DecayingShares::Overuse(const std::string& workspace, Time now) const {
  const auto found = states_.find(workspace);
  return found == states_.end() ? 0 : OveruseAt(found->second, now);
}

void DecayingShares::RecordPreempted(const std::string& workspace, double core_seconds, Time now) {
  const auto found = states_.find(workspace);
  if (found == states_.end() || !(core_seconds > 0)) return;
  State& state = found->second;
  state.lost = LossAt(state, now) + core_seconds;
  state.lost_at = now;
}

double DecayingShares::PreemptionWeight(const std::string& workspace, Time now) const {
  const auto found = states_.find(workspace);
  // Alone in the pool, there is no other workspace that could lose work instead.
  if (found == states_.end() || active_ < 2) return 1;
  const State& state = found->second;
  const double lost = LossAt(state, now);
  const double reference = cores_ * state.fair_share * kHalfWeightSeconds;
  if (lost <= 0 || reference <= 0) return 1;
  return 1 + (kMaxWeight - 1) * lost / (lost + reference);
}

SharesSummary DecayingShares::summary(Time now) const {
  SharesSummary summary;
  for (const auto& [workspace, state] : states_) {
    if (!IsActive(state, now)) continue;
    const double overuse = OveruseAt(state, now);
    summary.max_overuse = std::max(summary.max_overuse, overuse);
    summary.over_share += OveruseLevel(overuse) > 0;
  }
  return summary;
}

// A row is the average share of each resource in thousandths, the lost core-seconds, and the time
// since the last work in milliseconds.
nlohmann::json DecayingShares::Save(size_t max_bytes, Time now) const {
  std::vector<std::pair<double, std::string>> by_use;
  for (const auto& [workspace, state] : states_) {
    if (state.last_work) by_use.emplace_back(UseAt(state, now), workspace);
  }
  std::stable_sort(by_use.begin(), by_use.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  nlohmann::json rows = nlohmann::json::object();
  size_t bytes = nlohmann::json({{"workspaces", rows}}).dump().size();
  for (const auto& [use, workspace] : by_use) {
    const State& state = states_.at(workspace);
    nlohmann::json row = nlohmann::json::array();
    for (const double average : AveragesAt(state, now)) {
      row.push_back(std::lround(average * kMilli));
    }
    row.push_back(std::lround(LossAt(state, now)));
    const Duration idle = std::max(now - *state.last_work, Duration::zero());
    row.push_back(duration_cast<std::chrono::milliseconds>(idle).count());
    // A colon and a comma.
    bytes += nlohmann::json(workspace).dump().size() + row.dump().size() + 2;
    if (bytes > max_bytes) break;
    rows[workspace] = std::move(row);
  }
  return {{"workspaces", rows}};
}

std::pair<std::string, DecayingShares::State> DecayingShares::LoadRow(const std::string& name,
                                                                      const nlohmann::json& row,
                                                                      Duration age, Time now) {
  constexpr size_t kRowSize = 5;
  const auto check = [&](bool valid) {
    if (!valid) throw Error(ErrorKind::kInvalidInput, "the saved use of '" + name + "' is invalid");
  };
  check(row.is_array() && row.size() == kRowSize);
  State state;
  state.recorded_at = state.lost_at = now;
  for (size_t i = 0; i < state.averages.size(); ++i) {
    check(row[i].is_number());
    state.averages[i] = row[i].get<double>() / kMilli;
    check(state.averages[i] >= 0 && state.averages[i] <= 1);
    // What ran since the state was saved is not known and not counted.
    state.averages[i] *= Decay(age, kUseHalfLife);
  }
  check(row[3].is_number());
  state.lost = row[3].get<double>();
  check(state.lost >= 0 && state.lost <= kMaxSavedLoss);
  state.lost *= Decay(age, kLossHalfLife);
  check(row[4].is_number_unsigned() || (row[4].is_number_integer() && row[4].get<int64_t>() >= 0));
  const auto idle_ms = row[4].get<uint64_t>();
  const Duration max_idle = kActiveTime + kMaxAge;
  const bool idle_long =
      idle_ms > static_cast<uint64_t>(duration_cast<std::chrono::milliseconds>(max_idle).count());
  state.last_work =
      now - age - (idle_long ? max_idle : std::chrono::milliseconds(static_cast<int64_t>(idle_ms)));
  return {name, state};
}

void DecayingShares::Load(const nlohmann::json& data, Duration age, Time now) {
  const Duration since_saved = std::max(age, Duration::zero());
  if (!data.is_object() || !data.contains("workspaces") || !data["workspaces"].is_object()) {
    throw Error(ErrorKind::kInvalidInput, "the saved shares have no object 'workspaces'");
  }
  States loaded;
  for (const auto& [name, row] : data["workspaces"].items()) {
    loaded.insert(LoadRow(name, row, since_saved, now));
  }
  states_ = std::move(loaded);
  levels_checked_.reset();
}

}  // namespace

int OveruseLevel(double overuse) {
  int level = 0;
  for (double bound = 2; overuse >= bound && level < kMaxOveruseLevel; bound *= 2) ++level;
  return level;
}

std::unique_ptr<WorkspaceShares> MakeDecayingShares() { return std::make_unique<DecayingShares>(); }

}  // namespace turmericshift::shares
