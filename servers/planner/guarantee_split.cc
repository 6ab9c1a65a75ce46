#include "servers/planner/guarantee_split.h"

#include <algorithm>
#include <tuple>

namespace turmericshift {
namespace {

// The number of cells of each level that a zone can still host.
class ZoneSupply {
 public:
  explicit ZoneSupply(const AvailabilityZoneSpec& zone) : sizes_(SizesOf(zone)) {
    const int racks = zone.workers / zone.workers_per_rack;
    left_ = sizes_.Cumulative({{CellLevel::kWorker, zone.workers}});
    left_[static_cast<size_t>(CellLevel::kRack)] = racks;
  }

  const CellSizes& sizes() const { return sizes_; }

  bool Allocate(CellLevel level) {
    level = sizes_.Normalize(level);
    const CellCounts cost = sizes_.Cumulative({{level, 1}});
    for (size_t index = 0; index < left_.size(); ++index) {
      if (index <= static_cast<size_t>(level) && left_[index] < cost[index]) return false;
    }
    // A new cell may split one cell of each level above it. Cells that are already split are used
    // first.
    CellCounts after = left_;
    for (size_t index = 0; index < left_.size(); ++index) after[index] -= cost[index];
    for (size_t index = static_cast<size_t>(level) + 1; index < left_.size(); ++index) {
      const auto outer = static_cast<CellLevel>(index);
      const int64_t whole = after[index - 1] / std::max<int64_t>(1, RatioToLowerLevel(outer));
      after[index] = std::min(after[index], whole);
    }
    left_ = after;
    return true;
  }

  int64_t left(CellLevel level) const {
    return left_[static_cast<size_t>(sizes_.Normalize(level))];
  }

 private:
  int64_t RatioToLowerLevel(CellLevel outer) const {
    return sizes_.Ratio(outer, static_cast<CellLevel>(static_cast<int>(outer) - 1));
  }

  CellSizes sizes_;
  CellCounts left_{};
};

using Supplies = std::map<std::string, ZoneSupply>;

struct Cell {
  std::string workspace;
  CellLevel level;
};

// Returns large cells first, so that small cells don't fragment the room that large cells need.
std::vector<Cell> CellsOf(const Environment& environment) {
  std::vector<Cell> cells;
  for (const auto& [name, workspace] : environment.workspaces) {
    for (const CellCount& count : workspace.guarantee) {
      for (int index = 0; index < count.count; ++index) cells.push_back({name, count.level});
    }
  }
  std::stable_sort(cells.begin(), cells.end(),
                   [](const Cell& a, const Cell& b) { return a.level > b.level; });
  return cells;
}

void AssignCell(const Cell& cell, const std::string& zone, const Supplies& supplies,
                GuaranteeSplit* split) {
  const CellLevel level = supplies.at(zone).sizes().Normalize(cell.level);
  std::vector<CellCount>& cells = split->zones[zone][cell.workspace].cells;
  const auto found = std::find_if(cells.begin(), cells.end(),
                                  [&](const CellCount& count) { return count.level == level; });
  if (found != cells.end()) {
    ++found->count;
    return;
  }
  cells.push_back({level, 1});
  std::sort(cells.begin(), cells.end(),
            [](const CellCount& a, const CellCount& b) { return a.level > b.level; });
}

// Keeps the cells of a workspace together, so that its gangs find them in one zone; otherwise takes
// the zone with the most accelerators left. Returns "" if no zone can host the cell.
std::string ChooseZone(const Cell& cell, const std::map<std::string, std::string>& last_zone,
                       Supplies* supplies) {
  const auto previous = last_zone.find(cell.workspace);
  if (previous != last_zone.end() && supplies->at(previous->second).Allocate(cell.level)) {
    return previous->second;
  }
  std::vector<std::pair<int64_t, std::string>> order;
  for (const auto& [name, supply] : *supplies) {
    order.emplace_back(-supply.left(CellLevel::kAccelerator), name);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [left, name] : order) {
    if (supplies->at(name).Allocate(cell.level)) return name;
  }
  return "";
}

void AddUnhosted(const Cell& cell, std::vector<UnhostedCell>* unhosted) {
  for (UnhostedCell& each : *unhosted) {
    if (each.workspace != cell.workspace || each.level != cell.level) continue;
    ++each.count;
    return;
  }
  unhosted->push_back({cell.workspace, cell.level, 1});
}

// The zone in which a workspace gets a large share although an even share would be small; "" if
// even shares are large enough. The zone differs between workspaces, so that they don't all use the
// same zone.
std::string ZoneForWideGangs(const Environment& environment, const WorkspaceSpec& workspace) {
  // Shares of at least a quarter of a zone hold most gangs that a zone can place at all.
  constexpr int kSmallShare = 4;
  std::vector<std::string> names;
  for (const auto& [name, zone] : environment.zones) {
    if (zone.in) names.push_back(name);
  }
  if (names.empty()) return "";
  const auto self = environment.workspaces.find(workspace.name);
  const auto turn = static_cast<size_t>(std::distance(environment.workspaces.begin(), self));
  const std::string& name = names[turn % names.size()];
  const int even_share = workspace.accelerator_cap / static_cast<int>(names.size());
  const bool small = even_share * kSmallShare < AcceleratorsOf(*environment.FindZone(name));
  return small ? name : "";
}

// Splits the cap evenly over the zones, in whole workers where possible. If an even share is small,
// one zone first gets half of its accelerators: a gang runs in one zone, so with an even split over
// eight zones no gang above an eighth of the cap could run, however idle the cluster, and its
// caller would be told that the job is impossible.
void SplitCap(const Environment& environment, const WorkspaceSpec& workspace,
              GuaranteeSplit* split) {
  int left = workspace.accelerator_cap;
  std::map<std::string, int> room;
  for (const auto& [name, zone] : environment.zones) {
    if (!zone.in) continue;
    ZoneShare& share = split->zones[name][workspace.name];
    const CellSizes sizes = SizesOf(zone);
    for (const CellCount& cell : share.cells) {
      share.accelerator_cap += cell.count * sizes.Accelerators(cell.level);
    }
    share.accelerator_cap = std::min(share.accelerator_cap, left);
    left -= share.accelerator_cap;
    room[name] = AcceleratorsOf(zone) - share.accelerator_cap;
  }
  const auto assign = [&](const std::string& name, int most) {
    const int piece = std::min({left, most, room[name]});
    split->zones[name][workspace.name].accelerator_cap += piece;
    room[name] -= piece;
    left -= piece;
  };
  const std::string wide = ZoneForWideGangs(environment, workspace);
  if (!wide.empty()) {
    const int has = split->zones[wide][workspace.name].accelerator_cap;
    assign(wide, std::max(0, AcceleratorsOf(*environment.FindZone(wide)) / 2 - has));
  }
  while (left > 0) {
    std::string emptiest;
    double least = 2;
    for (const auto& [name, free] : room) {
      if (free <= 0) continue;
      const double used = static_cast<double>(split->zones[name][workspace.name].accelerator_cap) /
                          AcceleratorsOf(*environment.FindZone(name));
      if (used >= least) continue;
      least = used;
      emptiest = name;
    }
    if (emptiest.empty()) return;
    assign(emptiest, std::max(1, environment.FindZone(emptiest)->worker.accelerators));
  }
}

}  // namespace

const ZoneShare& GuaranteeSplit::Share(const std::string& zone,
                                       const std::string& workspace) const {
  static const ZoneShare kEmpty;
  const auto found = zones.find(zone);
  if (found == zones.end()) return kEmpty;
  const auto share = found->second.find(workspace);
  return share == found->second.end() ? kEmpty : share->second;
}

CellSizes SizesOf(const AvailabilityZoneSpec& zone) {
  return CellSizes(zone.worker, zone.workers_per_rack);
}

int AcceleratorsOf(const AvailabilityZoneSpec& zone) {
  return zone.workers * zone.worker.accelerators;
}

GuaranteeSplit SplitGuarantees(const Environment& environment) {
  GuaranteeSplit split;
  Supplies supplies;
  for (const auto& [name, zone] : environment.zones) supplies.emplace(name, ZoneSupply(zone));
  std::vector<Cell> unplaced;
  std::map<std::string, std::string> last_zone;
  for (const Cell& cell : CellsOf(environment)) {
    const std::string home = ChooseZone(cell, last_zone, &supplies);
    if (home.empty()) {
      unplaced.push_back(cell);
      continue;
    }
    last_zone[cell.workspace] = home;
    if (environment.FindZone(home)->in) {
      AssignCell(cell, home, supplies, &split);
    } else {
      unplaced.push_back(cell);
    }
  }
  std::erase_if(supplies,
                [&](const auto& entry) { return !environment.FindZone(entry.first)->in; });
  std::erase_if(last_zone, [&](const auto& entry) { return supplies.count(entry.second) == 0; });
  for (const Cell& cell : unplaced) {
    const std::string host = ChooseZone(cell, last_zone, &supplies);
    if (host.empty()) {
      AddUnhosted(cell, &split.unhosted);
      continue;
    }
    last_zone[cell.workspace] = host;
    AssignCell(cell, host, supplies, &split);
  }
  for (const auto& [name, workspace] : environment.workspaces) {
    SplitCap(environment, workspace, &split);
  }
  return split;
}

}  // namespace turmericshift
