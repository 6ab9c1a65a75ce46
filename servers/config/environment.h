// The environment document: workspaces with their guarantees, availability zones and services. Each
// environment has one INI text; trial and production use the same bytes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/jobs/job.h"

namespace turmericshift {

// Sizes of the cells in which guarantees are given. Each cell splits into two of the level below,
// except that a rack splits into its workers.
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
  // False while operators have taken the zone out; nothing may start in the zone then.
  bool in = true;
  int workers = 0;
  int workers_per_rack = 1;
  // Resources of each worker.
  TaskShape worker;
};

// Objectives of a workspace, as fractions from 0 to 1.
struct ServiceLevelObjectives {
  double plans_on_time = 0.99;
  double requests_answered = 0.999;
  double starts_within_bound = 0.99;
};

struct WorkspaceSpec {
  std::string name;
  // Salted hashes of the workspace's tokens; more than one while a token is being replaced.
  std::vector<std::string> token_hashes;
  std::vector<CellCount> guarantee;
  // Maximum number of accelerators in use by the workspace at a time, including borrowed ones.
  int accelerator_cap = 0;
  ServiceLevelObjectives objectives;
};

struct ServiceSpec {
  std::string name;
  int slots = 8;
  int connections = 64;
  // Whether requests without an idempotency key may be retried after an unknown outcome.
  bool repeatable = true;
};

struct Bounds {
  // Room that other workspaces borrowed from a guarantee is reclaimed within this time.
  Duration reclaim = std::chrono::seconds(30);
  // No task starts in a zone later than this after the zone was taken out.
  Duration zone_out = std::chrono::seconds(3);
  // How long running work may continue in a zone that was taken out before the work is checkpointed
  // and moved. Zero empties the zone immediately.
  Duration zone_drain = std::chrono::minutes(30);
  // A task stops by itself this long after its agent last received an answer from an entry.
  Duration lease = std::chrono::seconds(10);
};

struct Environment {
  std::string deployment;
  std::map<std::string, AvailabilityZoneSpec> zones;
  std::map<std::string, WorkspaceSpec> workspaces;
  std::map<std::string, ServiceSpec> services;
  Bounds bounds;
  std::vector<std::string> operator_token_hashes;

  // Null if the document has no entry of that name.
  const AvailabilityZoneSpec* FindZone(const std::string& name) const;
  const WorkspaceSpec* FindWorkspace(const std::string& name) const;
  const ServiceSpec* FindService(const std::string& name) const;
  // Names of the zones that operators have taken out.
  std::vector<std::string> ZonesOut() const;
};

// Throws Error(kInvalidInput) that lists every problem with the file's `name`, line and key.
Environment ParseEnvironment(const std::string& name, const std::string& text);

// Returns `text` with the `state` of `zone` set to "in" or "out" and everything else unchanged.
// Throws Error(kNotFound) if the document has no such zone.
std::string WithZoneState(const std::string& text, const std::string& zone, bool in);

}  // namespace turmericshift
