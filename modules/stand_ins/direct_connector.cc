#include "modules/stand_ins/direct_connector.h"

#include <shared_mutex>
#include <utility>

#include "core/error.h"

namespace turmericshift {

struct DirectConnector::Way {
  std::shared_mutex mutex;
  EntryGate* gate = nullptr;
};

namespace {

// The agent as an entry holds it. An entry keeps it longer than the session lasts, and the agent
// may be gone by then; a call after that would reach a destroyed object.
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
  SeenAnswer Resolve(const SeenQuestion& question, Duration timeout) override {
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
  Port(std::shared_ptr<Way> way, std::shared_ptr<EntryPort> port,
       std::shared_ptr<DirectConnectorAgent> agent)
      : way_(std::move(way)), port_(std::move(port)), agent_(std::move(agent)) {}
  ~Port() override { agent_->Cut(); }

  EntryBeat Heartbeat(const AgentBeat& beat, Duration timeout) override {
    const std::shared_lock<std::shared_mutex> lock(way_->mutex);
    if (way_->gate == nullptr) throw Error(ErrorKind::kConnectionLost, "the way was cut");
    return port_->Heartbeat(beat, timeout);
  }

 private:
  const std::shared_ptr<Way> way_;
  const std::shared_ptr<EntryPort> port_;
  const std::shared_ptr<DirectConnectorAgent> agent_;
};

std::shared_ptr<EntryPort> DirectConnector::Connect(const std::string& address,
                                                    const AgentHello& hello, AgentPort* agent) {
  std::shared_ptr<Way> way;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = ways_.find(address);
    if (found != ways_.end()) way = found->second;
  }
  if (!way) throw Error(ErrorKind::kUnavailable, "no entry at " + address);
  const std::shared_lock<std::shared_mutex> lock(way->mutex);
  if (way->gate == nullptr) throw Error(ErrorKind::kUnavailable, "no entry at " + address);
  auto held = std::make_shared<DirectConnectorAgent>(agent);
  return std::make_shared<Port>(way, way->gate->OpenAgent(hello, held), held);
}

void DirectConnector::Attach(const std::string& address, EntryGate* gate) {
  // A way that stands is cut first. Replaced while sessions still went by it, it would be out of
  // Detach's reach, and their next heartbeat would meet an entry that is gone.
  Detach(address);
  const std::lock_guard<std::mutex> lock(mutex_);
  auto way = std::make_shared<Way>();
  way->gate = gate;
  ways_[address] = std::move(way);
}

void DirectConnector::Detach(const std::string& address) {
  std::shared_ptr<Way> way;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = ways_.find(address);
    if (found == ways_.end()) return;
    way = found->second;
    ways_.erase(found);
  }
  const std::unique_lock<std::shared_mutex> lock(way->mutex);
  way->gate = nullptr;
}

}  // namespace turmericshift
