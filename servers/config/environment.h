// The environment document: workspaces with guarantees, availability zones, services. One INI text
// for each environment; the same bytes serve trial and production.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/jobs/job.h"

namespace turmericshift {

// Sizes of the cells that guarantees are made of; each splits into two of the level below, a rack
// into its workers.
enum class CellLevel { kAccelerator, kPair, kHalf, kWorker, kRack };
inline constexpr int kCellLevelCount = 5;
const char* CellLevelName(CellLevel level);
CellLevel CellLevelFromName(const std::string& name);

struct CellCount {
  CellLevel level = CellLevel::kAccelerator;
  int count = 0;
};

struct AvailabilityZoneSpec {
  std::string name;
  // False while operators have taken the zone out: nothing may start there.
  bool in = true;
  int workers = 0;
  int workers_per_rack = 1;
  // What each worker has.
  TaskShape worker;
};

// Objectives of one workspace, as shares from 0 to 1.
struct ServiceLevelObjectives {
  double plans_on_time = 0.99;
  double requests_answered = 0.999;
  double starts_within_bound = 0.99;
};

struct WorkspaceSpec {
  std::string name;
  // Salted hashes; more than one while a token is rolled.
  std::vector<std::string> token_hashes;
  std::vector<CellCount> guarantee;
  // Most accelerators that the workspace may use at once, borrowed ones included.
  int accelerator_cap = 0;
  ServiceLevelObjectives objectives;
};

struct ServiceSpec {
  std::string name;
  int slots = 8;
  int connections = 64;
  // Whether requests without an idempotency key may be sent again after an unknown outcome.
  bool repeatable = true;
};

struct Bounds {
  // Borrowed room is back within this time.
  Duration reclaim = std::chrono::seconds(30);
  // No start in a zone later than this after it was taken out.
  Duration zone_out = std::chrono::seconds(3);
  // Work that runs in a zone that was taken out may go on for this long before it is checkpointed
  // and moved. Zero empties the zone at once.
  Duration zone_drain = std::chrono::minutes(30);
  // A task stops by itself this long after its agent last heard an entry.
  Duration lease = std::chrono::seconds(10);
};

struct Environment {
  std::string deployment;
  std::map<std::string, AvailabilityZoneSpec> zones;
  std::map<std::string, WorkspaceSpec> workspaces;
  std::map<std::string, ServiceSpec> services;
  Bounds bounds;
  std::vector<std::string> operator_token_hashes;

  // Null when there is none of that name.
  const AvailabilityZoneSpec* FindZone(const std::string& name) const;
  const WorkspaceSpec* FindWorkspace(const std::string& name) const;
  const ServiceSpec* FindService(const std::string& name) const;
  // Names of the zones that operators have taken out.
  std::vector<std::string> ZonesOut() const;
};

// Throws Error(kInvalidInput) listing every problem with file, line and key.
Environment ParseEnvironment(const std::string& name, const std::string& text);

// `text` with the `state` of one zone set to "in" or "out", all else untouched.
// Throws Error(kNotFound) when the document has no such zone.
std::string WithZoneState(const std::string& text, const std::string& zone, bool in);

}  // namespace turmericshift
