// The part of the operators' document that the pool scheduler needs; an adapter converts it from
// the platform's format.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/platform/keyed_log.h"
#include "servers/pool/job_model.h"

namespace turmericshift::pool {

struct Queue {
  std::string name;
  std::string host;
  // Path prefix of the queue's calls, such as "/jobs/".
  std::string path_prefix;
  QueueTerms terms;
  // Whether callers may use the queue without a key.
  bool open = false;
};

struct Workspace {
  std::string name;
  std::set<std::string> keys;
  // Accelerators that are guaranteed to the workspace's jobs of priority 0 at all times.
  int64_t guaranteed_accelerators = 0;
};

struct PoolConfig {
  int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Workspace> workspaces;
  size_t max_body_bytes = size_t{256} * 1024;

  const Queue* FindQueue(const std::string& name) const;
  // The queue of `host` with the longest prefix that `path` starts with; null if there is none.
  const Queue* Route(const std::string& host, const std::string& path) const;
  // The workspace that `key` belongs to; null if there is none.
  const Workspace* WorkspaceForKey(const std::string& key) const;
  const Workspace* FindWorkspace(const std::string& name) const;
};

// Complete operator input: the newest document and the zones that are out.
struct OperatorState {
  PoolConfig config;
  std::set<std::string> zones_out;
};

// Decodes a platform's records of the operator state.
class OperatorDecoder {
 public:
  virtual ~OperatorDecoder() = default;
  // Topic of the records.
  virtual std::string topic() const = 0;
  // Applies one record. Throws Error(kInvalidInput) for a malformed record, with `state` unchanged.
  virtual void Apply(const KeyedRecord& record, OperatorState* state) const = 0;
};

using OperatorDecoderRegistry = PluginRegistry<OperatorDecoder>;

}  // namespace turmericshift::pool
