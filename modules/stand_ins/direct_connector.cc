#include "modules/stand_ins/direct_connector.h"

#include <shared_mutex>
#include <utility>

#include "core/error.h"

namespace turmericshift {

struct DirectConnector::Link {
  std::shared_mutex mutex;
  EntryGate* gate = nullptr;
};

namespace {

// The entry's handle of an agent. The entry may keep this handle after the session has ended and
// the agent has been destroyed; calls then fail instead of reaching the destroyed agent.
class DirectConnectorAgent : public AgentPort {
 public:
  explicit DirectConnectorAgent(AgentPort* agent) : agent_(agent) {}

  void Cut() {
    const std::unique_lock<std::shared_mutex> lock(mutex_);
    agent_ = nullptr;
  }

  ServiceAnswer Serve(const ServiceRequest& request) override {
    const std::shared_lock<std::shared_mutex> lock(mutex_);
    return Required()->Serve(request);
  }
  void Cancel(const std::string& id) override { Call(&AgentPort::Cancel, id); }
  RequestStatusReply Resolve(const RequestStatusQuery& question, Duration timeout) override {
    const std::shared_lock<std::shared_mutex> lock(mutex_);
    return Required()->Resolve(question, timeout);
  }
  void Reserve(const GangReserve& step, Duration timeout) override {
    Call(&AgentPort::Reserve, step, timeout);
  }
  void Start(const GangStart& step, Duration timeout) override {
    Call(&AgentPort::Start, step, timeout);
  }
  void Release(const GangAction& step, Duration timeout) override {
    Call(&AgentPort::Release, step, timeout);
  }
  void Renew(const GangAction& step, Duration timeout) override {
    Call(&AgentPort::Renew, step, timeout);
  }
  void Stop(const GangAction& step, Duration timeout) override {
    Call(&AgentPort::Stop, step, timeout);
  }
  void Forget(const GangAction& step, Duration timeout) override {
    Call(&AgentPort::Forget, step, timeout);
  }

 private:
  template <typename Step, typename... Arguments>
  void Call(Step step, const Arguments&... arguments) {
    const std::shared_lock<std::shared_mutex> lock(mutex_);
    (Required()->*step)(arguments...);
  }
  AgentPort* Required() const {
    if (agent_ == nullptr) throw Error(ErrorKind::kConnectionLost, "the session has ended");
    return agent_;
  }

  std::shared_mutex mutex_;
  AgentPort* agent_;
};

}  // namespace

class DirectConnector::Port : public EntryPort {
 public:
  Port(std::shared_ptr<Link> link, std::shared_ptr<EntryPort> port,
       std::shared_ptr<DirectConnectorAgent> agent)
      : link_(std::move(link)), port_(std::move(port)), agent_(std::move(agent)) {}
  ~Port() override { agent_->Cut(); }

  HeartbeatReply Heartbeat(const AgentHeartbeat& beat, Duration timeout) override {
    const std::shared_lock<std::shared_mutex> lock(link_->mutex);
    if (link_->gate == nullptr) throw Error(ErrorKind::kConnectionLost, "the entry was detached");
    return port_->Heartbeat(beat, timeout);
  }

 private:
  const std::shared_ptr<Link> link_;
  const std::shared_ptr<EntryPort> port_;
  const std::shared_ptr<DirectConnectorAgent> agent_;
};

std::shared_ptr<EntryPort> DirectConnector::Connect(const std::string& address,
                                                    const AgentHello& hello, AgentPort* agent) {
  std::shared_ptr<Link> link;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = links_.find(address);
    if (found != links_.end()) link = found->second;
  }
  if (!link) throw Error(ErrorKind::kUnavailable, "no entry at " + address);
  const std::shared_lock<std::shared_mutex> lock(link->mutex);
  if (link->gate == nullptr) throw Error(ErrorKind::kUnavailable, "no entry at " + address);
  auto agent_handle = std::make_shared<DirectConnectorAgent>(agent);
  return std::make_shared<Port>(link, link->gate->OpenAgent(hello, agent_handle), agent_handle);
}

void DirectConnector::Attach(const std::string& address, EntryGate* gate) {
  // Detaches an existing link first. If a link were replaced while sessions still used it, Detach
  // could no longer reach it, and their next heartbeat would call a destroyed entry.
  Detach(address);
  const std::lock_guard<std::mutex> lock(mutex_);
  auto link = std::make_shared<Link>();
  link->gate = gate;
  links_[address] = std::move(link);
}

void DirectConnector::Detach(const std::string& address) {
  std::shared_ptr<Link> link;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = links_.find(address);
    if (found == links_.end()) return;
    link = found->second;
    links_.erase(found);
  }
  const std::unique_lock<std::shared_mutex> lock(link->mutex);
  link->gate = nullptr;
}

}  // namespace turmericshift
