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
    level = sizes_.Normal(level);
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

  int64_t left(CellLevel level) const { return left_[static_cast<size_t>(sizes_.Normal(level))]; }

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
  const CellLevel level = supplies.at(zone).sizes().Normal(cell.level);
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

// Fills whole zones, those that host the workspace's cells first, then those with the least of all
// caps so far: a cap spread evenly would leave no zone in which a large gang fits under it.
void SplitCap(const Environment& environment, const WorkspaceSpec& workspace,
              std::map<std::string, int>* caps_so_far, GuaranteeSplit* split) {
  std::vector<std::tuple<int, double, std::string>> order;
  for (const auto& [name, zone] : environment.zones) {
    if (!zone.in) continue;
    int guaranteed = 0;
    for (const CellCount& cell : split->zones[name][workspace.name].cells) {
      guaranteed += cell.count * SizesOf(zone).Accelerators(cell.level);
    }
    const double crowded =
        static_cast<double>((*caps_so_far)[name]) / std::max(1, AcceleratorsOf(zone));
    order.emplace_back(-guaranteed, crowded, name);
  }
  std::sort(order.begin(), order.end());
  int left = workspace.accelerator_cap;
  // Every zone's guaranteed cells are under the cap before any zone is filled.
  for (const auto& [guaranteed, crowded, name] : order) {
    const int part = std::min(left, -guaranteed);
    split->zones[name][workspace.name].accelerator_cap = part;
    left -= part;
  }
  for (const auto& [guaranteed, crowded, name] : order) {
    int& cap = split->zones[name][workspace.name].accelerator_cap;
    const int part = std::min(left, AcceleratorsOf(*environment.FindZone(name)) - cap);
    cap += part;
    left -= part;
    (*caps_so_far)[name] += cap;
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
  std::map<std::string, int> caps_so_far;
  for (const auto& [name, workspace] : environment.workspaces) {
    SplitCap(environment, workspace, &caps_so_far, &split);
  }
  return split;
}

}  // namespace turmericshift
