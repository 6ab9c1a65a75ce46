#include "servers/planner/guarantee_split.h"

#include <algorithm>
#include <tuple>

namespace turmericshift {
namespace {

// How many cells of each level a zone can still host.
class ZoneSupply {
 public:
  explicit ZoneSupply(const AvailabilityZoneSpec& zone) : sizes_(SizesOf(zone)) {
    const int racks = zone.workers / zone.workers_per_rack;
    left_ = sizes_.Cumulative({{CellLevel::kWorker, zone.workers}});
    left_[static_cast<size_t>(CellLevel::kRack)] = racks;
  }

  const CellSizes& sizes() const { return sizes_; }

  bool Take(CellLevel level) {
    level = sizes_.Normalize(level);
    const CellCounts cost = sizes_.Cumulative({{level, 1}});
    for (size_t index = 0; index < left_.size(); ++index) {
      if (index <= static_cast<size_t>(level) && left_[index] < cost[index]) return false;
    }
    // A cell may break one of each level above it; taking from what is broken already comes first.
    CellCounts after = left_;
    for (size_t index = 0; index < left_.size(); ++index) after[index] -= cost[index];
    for (size_t index = static_cast<size_t>(level) + 1; index < left_.size(); ++index) {
      const auto outer = static_cast<CellLevel>(index);
      const int64_t whole = after[index - 1] / std::max<int64_t>(1, RatioOneUp(outer));
      after[index] = std::min(after[index], whole);
    }
    left_ = after;
    return true;
  }

  int64_t left(CellLevel level) const {
    return left_[static_cast<size_t>(sizes_.Normalize(level))];
  }

 private:
  int64_t RatioOneUp(CellLevel outer) const {
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

// Large cells first, so that small ones don't break the room they need.
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

void Host(const Cell& cell, const std::string& zone, const Supplies& supplies,
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

// A workspace's cells are kept together, so that its gangs find them in one zone; else the zone
// with the most left.
std::string ChooseZone(const Cell& cell, const std::map<std::string, std::string>& last,
                       Supplies* supplies) {
  const auto previous = last.find(cell.workspace);
  if (previous != last.end() && supplies->at(previous->second).Take(cell.level)) {
    return previous->second;
  }
  std::vector<std::pair<int64_t, std::string>> order;
  for (const auto& [name, supply] : *supplies) {
    order.emplace_back(-supply.left(CellLevel::kAccelerator), name);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [left, name] : order) {
    if (supplies->at(name).Take(cell.level)) return name;
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

// The zone in which a workspace gets a large share though an even one would be small; "" where an
// even one will do. Another one for each workspace, so that not all crowd into the same.
std::string ZoneForWideGangs(const Environment& environment, const WorkspaceSpec& workspace) {
  // Shares from a quarter of a zone on hold most gangs that a zone can place at all.
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

// Even over the zones, in whole workers where possible, but half of one zone first where an even
// share is small: a gang runs in one zone, and in an even split over eight zones none above an
// eighth of the cap would ever run, however idle the cluster; its caller is told that the job is
// impossible.
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
  const auto give = [&](const std::string& name, int most) {
    const int piece = std::min({left, most, room[name]});
    split->zones[name][workspace.name].accelerator_cap += piece;
    room[name] -= piece;
    left -= piece;
  };
  const std::string wide = ZoneForWideGangs(environment, workspace);
  if (!wide.empty()) {
    const int has = split->zones[wide][workspace.name].accelerator_cap;
    give(wide, std::max(0, AcceleratorsOf(*environment.FindZone(wide)) / 2 - has));
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
    give(emptiest, std::max(1, environment.FindZone(emptiest)->worker.accelerators));
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
  std::vector<Cell> homeless;
  std::map<std::string, std::string> last;
  for (const Cell& cell : CellsOf(environment)) {
    const std::string home = ChooseZone(cell, last, &supplies);
    if (home.empty()) {
      homeless.push_back(cell);
      continue;
    }
    last[cell.workspace] = home;
    if (environment.FindZone(home)->in) {
      Host(cell, home, supplies, &split);
    } else {
      homeless.push_back(cell);
    }
  }
  std::erase_if(supplies,
                [&](const auto& entry) { return !environment.FindZone(entry.first)->in; });
  std::erase_if(last, [&](const auto& entry) { return supplies.count(entry.second) == 0; });
  for (const Cell& cell : homeless) {
    const std::string host = ChooseZone(cell, last, &supplies);
    if (host.empty()) {
      AddUnhosted(cell, &split.unhosted);
      continue;
    }
    last[cell.workspace] = host;
    Host(cell, host, supplies, &split);
  }
  for (const auto& [name, workspace] : environment.workspaces) {
    SplitCap(environment, workspace, &split);
  }
  return split;
}

}  // namespace turmericshift
