#include "servers/config/guarantee_check.h"

#include "core/error.h"
#include "servers/planner/guarantee_split.h"

namespace turmericshift {
namespace {

std::string CellsText(const std::vector<UnhostedCell>& cells) {
  std::string text;
  for (const UnhostedCell& cell : cells) {
    text += (text.empty() ? "" : ", ") + std::to_string(cell.count) + " " +
            CellLevelName(cell.level) + " of " + cell.workspace;
  }
  return text;
}

int TotalAccelerators(const Environment& environment) {
  int total = 0;
  for (const auto& [name, zone] : environment.zones) {
    if (zone.in) total += AcceleratorsOf(zone);
  }
  return total;
}

// Sum of all guarantees in accelerators, with the cell sizes of the document's first zone.
int GuaranteedAccelerators(const Environment& environment) {
  const CellSizes sizes = SizesOf(environment.zones.begin()->second);
  int total = 0;
  for (const auto& [name, workspace] : environment.workspaces) {
    for (const CellCount& cell : workspace.guarantee) {
      total += cell.count * sizes.Accelerators(cell.level);
    }
  }
  return total;
}

std::string Numbers(const Environment& environment) {
  return "guaranteed " + std::to_string(GuaranteedAccelerators(environment)) + " accelerators of " +
         std::to_string(TotalAccelerators(environment));
}

void CheckCaps(const Environment& environment, GuaranteeReport* report) {
  const CellSizes sizes = SizesOf(environment.zones.begin()->second);
  for (const auto& [name, workspace] : environment.workspaces) {
    int guaranteed = 0;
    for (const CellCount& cell : workspace.guarantee) {
      guaranteed += cell.count * sizes.Accelerators(cell.level);
    }
    if (guaranteed <= workspace.accelerator_cap) continue;
    report->errors.push_back("workspace " + name + ": guarantee of " + std::to_string(guaranteed) +
                             " accelerators exceeds its accelerator_cap of " +
                             std::to_string(workspace.accelerator_cap));
  }
}

}  // namespace

GuaranteeReport CheckGuarantees(const Environment& environment) {
  GuaranteeReport report;
  if (environment.zones.empty()) return report;
  CheckCaps(environment, &report);
  Environment scenario = environment;
  for (auto& [name, zone] : scenario.zones) zone.in = true;
  const GuaranteeSplit all_in = SplitGuarantees(scenario);
  if (!all_in.unhosted.empty()) {
    report.errors.push_back("with all zones in, " + Numbers(scenario) +
                            "; no zone has room for: " + CellsText(all_in.unhosted));
    return report;
  }
  for (const auto& [name, zone] : environment.zones) {
    scenario.zones[name].in = false;
    const GuaranteeSplit split = SplitGuarantees(scenario);
    if (!split.unhosted.empty()) {
      report.warnings.push_back("with " + name + " out, " + Numbers(scenario) +
                                "; not guaranteed then: " + CellsText(split.unhosted));
    }
    scenario.zones[name].in = true;
  }
  return report;
}

void RequireGuarantees(const std::string& name, const GuaranteeReport& report) {
  if (report.errors.empty()) return;
  std::string text;
  for (const std::string& error : report.errors) {
    if (!text.empty()) text += "\n";
    text += name;
    text += ": ";
    text += error;
  }
  throw Error(ErrorKind::kInvalidInput, text);
}

}  // namespace turmericshift
