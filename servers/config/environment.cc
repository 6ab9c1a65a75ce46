#include "servers/config/environment.h"

#include <array>
#include <sstream>

#include "core/error.h"
#include "core/ini_keys.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr std::array<const char*, kCellLevelCount> kLevelNames = {"accelerator", "pair", "half",
                                                                  "worker", "rack"};
constexpr int kMaxWorkersPerZone = 10000;
constexpr int kMaxCells = 100000;

// Parses a list of cells such as "2 worker, 1 half".
std::vector<CellCount> ParseGuarantee(const std::string& text) {
  std::vector<CellCount> cells;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    std::istringstream words(part);
    std::string count;
    std::string level;
    std::string rest;
    words >> count >> level;
    if (count.empty() || level.empty() || (words >> rest)) {
      throw Error(ErrorKind::kInvalidInput,
                  "'" + text + "' is not a list of cells such as '2 worker, 1 half'");
    }
    const int number = static_cast<int>(ParseInteger(count, 0, kMaxCells));
    cells.push_back({CellLevelFromName(level), number});
  }
  return cells;
}

// A key that holds a space-separated list of "salt$hash".
IniKey HashesKey(const std::string& name, std::vector<std::string>* target) {
  return {name, false, [=](const std::string& value) {
            std::istringstream words(value);
            std::string word;
            while (words >> word) {
              if (word.find('$') == std::string::npos) {
                throw Error(ErrorKind::kInvalidInput,
                            "expected salted hashes in the form salt$hash");
              }
              target->push_back(word);
            }
          }};
}

void BindEnvironment(const IniSection& section, Environment* environment, IniFile* file) {
  BindSection(
      section,
      {{"deployment", true, [=](const std::string& value) { environment->deployment = value; }},
       HashesKey("operator_token_hashes", &environment->operator_token_hashes),
       DurationKey("reclaim_bound", Presence::kOptional, &environment->bounds.reclaim),
       DurationKey("zone_drain", Presence::kOptional, &environment->bounds.zone_drain),
       DurationKey("zone_out_bound", Presence::kOptional, &environment->bounds.zone_out),
       DurationKey("lease", Presence::kOptional, &environment->bounds.lease)},
      file);
}

void BindZone(const IniSection& section, Environment* environment, IniFile* file) {
  AvailabilityZoneSpec zone;
  zone.name = section.label;
  const auto assign_state = [&zone](const std::string& value) {
    if (value != "in" && value != "out") {
      throw Error(ErrorKind::kInvalidInput,
                  "'" + value + "' is not a zone state; expected in or out");
    }
    zone.in = value == "in";
  };
  BindSection(
      section,
      {{"state", true, assign_state},
       IntegerKey("workers", Presence::kRequired, 0, kMaxWorkersPerZone, &zone.workers),
       IntegerKey("workers_per_rack", Presence::kRequired, 1, kMaxWorkersPerZone,
                  &zone.workers_per_rack),
       IntegerKey("processors_per_worker", Presence::kRequired, 1, 4096, &zone.worker.processors),
       IntegerKey("accelerators_per_worker", Presence::kRequired, 0, 32, &zone.worker.accelerators),
       {"memory_per_worker", true,
        [&zone](const std::string& value) { zone.worker.memory_bytes = ParseBytes(value); }}},
      file);
  environment->zones[zone.name] = zone;
}

void BindWorkspace(const IniSection& section, Environment* environment, IniFile* file) {
  WorkspaceSpec workspace;
  workspace.name = section.label;
  BindSection(
      section,
      {HashesKey("token_hashes", &workspace.token_hashes),
       {"guarantee", true,
        [&workspace](const std::string& value) { workspace.guarantee = ParseGuarantee(value); }},
       IntegerKey("accelerator_cap", Presence::kRequired, 0, 1 << 20, &workspace.accelerator_cap),
       ShareKey("objective_plans_on_time", Presence::kOptional,
                &workspace.objectives.plans_on_time),
       ShareKey("objective_requests_answered", Presence::kOptional,
                &workspace.objectives.requests_answered),
       ShareKey("objective_starts_within_bound", Presence::kOptional,
                &workspace.objectives.starts_within_bound)},
      file);
  environment->workspaces[workspace.name] = workspace;
}

void BindService(const IniSection& section, Environment* environment, IniFile* file) {
  ServiceSpec service;
  service.name = section.label;
  BindSection(section,
              {IntegerKey("slots", Presence::kOptional, 1, 4096, &service.slots),
               IntegerKey("connections", Presence::kOptional, 1, 65536, &service.connections),
               {"repeatable", false,
                [&service](const std::string& value) { service.repeatable = ParseBool(value); }}},
              file);
  environment->services[service.name] = service;
}

void BindAny(const IniSection& section, Environment* environment, IniFile* file) {
  if (section.kind == "environment") return BindEnvironment(section, environment, file);
  if (section.label.empty()) {
    file->problems.push_back(
        {section.line, "[" + section.kind + "]", "the section header has no name"});
    return;
  }
  if (section.kind == "availability_zone") return BindZone(section, environment, file);
  if (section.kind == "workspace") return BindWorkspace(section, environment, file);
  if (section.kind == "service") return BindService(section, environment, file);
  ReportUnknownSection(section, "environment, availability_zone, workspace, service", file);
}

template <typename Spec>
const Spec* Find(const std::map<std::string, Spec>& specs, const std::string& name) {
  const auto found = specs.find(name);
  return found == specs.end() ? nullptr : &found->second;
}

}  // namespace

const char* CellLevelName(CellLevel level) { return kLevelNames.at(static_cast<size_t>(level)); }

CellLevel CellLevelFromName(const std::string& name) {
  for (size_t index = 0; index < kLevelNames.size(); ++index) {
    if (name == kLevelNames[index]) return static_cast<CellLevel>(index);
  }
  throw Error(
      ErrorKind::kInvalidInput,
      "'" + name + "' is not a cell level; expected accelerator, pair, half, worker or rack");
}

const AvailabilityZoneSpec* Environment::FindZone(const std::string& name) const {
  return Find(zones, name);
}
const WorkspaceSpec* Environment::FindWorkspace(const std::string& name) const {
  return Find(workspaces, name);
}
const ServiceSpec* Environment::FindService(const std::string& name) const {
  return Find(services, name);
}

std::vector<std::string> Environment::ZonesOut() const {
  std::vector<std::string> out;
  for (const auto& [name, zone] : zones) {
    if (!zone.in) out.push_back(name);
  }
  return out;
}

Environment ParseEnvironment(const std::string& name, const std::string& text) {
  IniFile file = ParseIni(name, text);
  Environment environment;
  // Binding a section appends problems to the file but never sections, so the indices stay valid.
  for (size_t index = 0; index < file.sections.size(); ++index) {
    const IniSection section = file.sections[index];
    BindAny(section, &environment, &file);
  }
  if (environment.deployment.empty()) {
    file.problems.push_back({0, "[environment] deployment", "missing"});
  }
  if (environment.zones.empty()) {
    file.problems.push_back({0, "[availability_zone …]", "at least one section is required"});
  }
  file.ThrowIfProblems();
  return environment;
}

std::string WithZoneState(const std::string& text, const std::string& zone, bool in) {
  std::istringstream lines(text);
  std::string line;
  std::string result;
  bool inside = false;
  bool found = false;
  while (std::getline(lines, line)) {
    if (line.rfind('[', 0) == 0) inside = line.rfind("[availability_zone " + zone + "]", 0) == 0;
    const bool is_state = inside && line.rfind("state", 0) == 0;
    if (is_state) line = std::string("state = ") + (in ? "in" : "out");
    found = found || is_state;
    result += line + "\n";
  }
  if (!found) throw Error(ErrorKind::kNotFound, "no availability zone named '" + zone + "'");
  return result;
}

}  // namespace turmericshift
