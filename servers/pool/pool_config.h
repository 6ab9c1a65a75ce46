// The operators' document as the pool scheduler needs it. An adapter makes it from the platform's.
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
  // Path that the calls of the queue begin with, "/jobs/".
  std::string path_prefix;
  QueueTerms terms;
  // Callers need no key.
  bool open = false;
};

struct Workspace {
  std::string name;
  std::set<std::string> keys;
  // Accelerators that are the workspace's own for jobs of priority 0, at all times.
  int64_t guaranteed_accelerators = 0;
};

struct PoolConfig {
  int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Workspace> workspaces;
  size_t max_body_bytes = size_t{256} * 1024;

  const Queue* FindQueue(const std::string& name) const;
  // The queue of `host` whose prefix is the longest that `path` begins with; null if there is none.
  const Queue* Route(const std::string& host, const std::string& path) const;
  // The workspace that holds `key`; null if none does.
  const Workspace* WorkspaceForKey(const std::string& key) const;
  const Workspace* FindWorkspace(const std::string& name) const;
};

// All that operators say: the newest document and the zones that are out.
struct OperatorState {
  PoolConfig config;
  std::set<std::string> zones_out;
};

// Reads the records in which a platform's operators state the above.
class OperatorDecoder {
 public:
  virtual ~OperatorDecoder() = default;
  // The topic that the records come in.
  virtual std::string topic() const = 0;
  // Takes one record in. Throws Error(kInvalidInput) for one that can't be read; `state` is then
  // as before.
  virtual void Apply(const KeyedRecord& record, OperatorState* state) const = 0;
};

using OperatorDecoderRegistry = PluginRegistry<OperatorDecoder>;

}  // namespace turmericshift::pool
