#include "servers/pool/pool_config.h"

namespace turmericshift::pool {

const Queue* PoolConfig::FindQueue(const std::string& name) const {
  for (const Queue& queue : queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const Queue* PoolConfig::Route(const std::string& host, const std::string& path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host != host || path.rfind(queue.path_prefix, 0) != 0) continue;
    if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()) best = &queue;
  }
  return best;
}

const Workspace* PoolConfig::WorkspaceForKey(const std::string& key) const {
  for (const Workspace& workspace : workspaces) {
    if (workspace.keys.count(key) > 0) return &workspace;
  }
  return nullptr;
}

const Workspace* PoolConfig::FindWorkspace(const std::string& name) const {
  for (const Workspace& workspace : workspaces) {
    if (workspace.name == name) return &workspace;
  }
  return nullptr;
}

}  // namespace turmericshift::pool
