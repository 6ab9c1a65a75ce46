#include "servers/entry/agent_directory.h"

namespace turmericshift {

void AgentDirectory::Open(const AgentHello& hello, std::shared_ptr<AgentPort> port, Time now) {
  std::shared_ptr<AgentPort> replaced;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    AgentState& state = agents_[hello.process];
    const bool same_start = state.hello.incarnation == hello.incarnation;
    replaced = state.port;
    const int outstanding = state.outstanding;
    const bool leaving = same_start && state.leaving;
    state = {hello, std::move(port), {}, now, outstanding, leaving, false};
  }
  if (replaced) replaced->Drop();
}

void AgentDirectory::RecordHeartbeat(const AgentHello& hello, const AgentHeartbeat& beat,
                                     Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(hello.process);
  if (found == agents_.end() || found->second.hello.incarnation != hello.incarnation) return;
  found->second.beat = beat;
  found->second.last_contact_at = now;
  found->second.leaving = found->second.leaving || beat.leaving;
}

void AgentDirectory::MarkLeaving(const std::string& agent, const std::string& incarnation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent);
  if (found == agents_.end() || found->second.hello.incarnation != incarnation) return;
  found->second.leaving = true;
}

void AgentDirectory::DisconnectSilent(Time now, Duration limit) {
  std::vector<std::shared_ptr<AgentPort>> silent;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [name, agent] : agents_) {
      if (agent.disconnected || now - agent.last_contact_at <= limit) continue;
      agent.disconnected = true;
      silent.push_back(agent.port);
    }
  }
  for (const auto& port : silent) port->Drop();
}

void AgentDirectory::RecordLoad(const std::string& agent, const TargetLoad& load) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent);
  if (found != agents_.end()) found->second.beat.load = load;
}

void AgentDirectory::AddOutstanding(const std::string& agent, int change) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent);
  if (found != agents_.end()) found->second.outstanding += change;
}

std::vector<std::string> AgentDirectory::RemoveSilent(Time now, Duration limit) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> gone;
  for (auto agent = agents_.begin(); agent != agents_.end();) {
    if (now - agent->second.last_contact_at <= limit) {
      ++agent;
      continue;
    }
    gone.push_back(agent->first);
    agent = agents_.erase(agent);
  }
  return gone;
}

std::vector<TargetCandidate> AgentDirectory::Candidates(const std::string& service, Time now,
                                                        Duration limit) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<TargetCandidate> result;
  for (const auto& [name, agent] : agents_) {
    const bool open = agent.hello.service == service && !agent.leaving;
    if (!open || now - agent.last_contact_at > limit) continue;
    result.push_back({name, agent.hello.zone, agent.beat.load, agent.outstanding});
  }
  return result;
}

std::vector<AgentState> AgentDirectory::Agents(const std::string& zone) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<AgentState> result;
  for (const auto& [name, agent] : agents_) {
    if (zone.empty() || agent.hello.zone == zone) result.push_back(agent);
  }
  return result;
}

AgentState AgentDirectory::Find(const std::string& agent) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = agents_.find(agent);
  return found == agents_.end() ? AgentState{} : found->second;
}

}  // namespace turmericshift
