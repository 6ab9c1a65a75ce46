#include "tests/stand_ins/request_cluster.h"

#include <gtest/gtest.h>

#include <thread>

#include "core/digest.h"
#include "core/secret.h"
#include "modules/routing/two_choices.h"

namespace turmericshift {
namespace {

constexpr Duration kWaitTimeout = std::chrono::seconds(10);
constexpr Duration kAwaitPoll = std::chrono::milliseconds(2);
constexpr Duration kLeaveLimit = std::chrono::seconds(10);

RouterOptions QuickOptions() {
  RouterOptions options;
  options.sender.heartbeat_age_limit = std::chrono::milliseconds(400);
  options.sender.dead = std::chrono::milliseconds(400);
  options.sender.unreachable_timeout = std::chrono::milliseconds(200);
  options.sender.outliers.base_ejection_time = std::chrono::milliseconds(50);
  return options;
}

// Connects one agent to entries, whose addresses are their indexes.
class DirectConnector : public EntryConnector {
 public:
  DirectConnector(const RequestCluster* cluster, LinkState* link_state,
                  std::shared_ptr<AgentProcess> agent_process)
      : cluster_(cluster), link_state_(link_state), agent_process_(std::move(agent_process)) {}

  std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& hello,
                                     AgentPort* agent) override {
    agent_process_->agent = agent;
    std::shared_ptr<TestEntry> entry = cluster_->entry(std::stoul(address));
    entry->directory.Open(hello, std::make_shared<FaultyLink>(link_state_, agent_process_),
                          DefaultClock().Now());
    return std::make_shared<HeartbeatPort>(std::move(entry), hello);
  }

 private:
  const RequestCluster* const cluster_;
  LinkState* const link_state_;
  const std::shared_ptr<AgentProcess> agent_process_;
};

}  // namespace

HeartbeatReply HeartbeatPort::Heartbeat(const AgentHeartbeat& beat, Duration /*timeout*/) {
  if (entry_->gone.load()) throw Error(ErrorKind::kConnectionLost, "the entry is gone");
  entry_->directory.RecordHeartbeat(hello_, beat, DefaultClock().Now());
  return {};
}

void WaitUntil(const std::string& what, const std::function<bool()>& holds) {
  const Time limit = DefaultClock().Now() + kWaitTimeout;
  while (!holds()) {
    if (DefaultClock().Now() > limit) {
      ADD_FAILURE() << what;
      return;
    }
    std::this_thread::sleep_for(kAwaitPoll);
  }
}

TestEntry::TestEntry(LogService* log)
    : replicated_requests({kRetainedKeys, size_t{1} << 20, kRetainedKeys}),
      stream(Stream::kRequests, log, &replicated_requests, &metrics),
      router(QuickOptions(), std::make_unique<TwoChoices>(1), &directory, &stream,
             &replicated_requests, nullptr, &metrics) {}

RequestCluster::RequestCluster(int entries, int agents, uint64_t seed) : link_state_(seed) {
  for (int index = 0; index < entries; ++index) {
    entries_.push_back(std::make_shared<TestEntry>(&log_));
  }
  for (int index = 0; index < agents; ++index) {
    TestAgent agent;
    agent.name = "worker-" + std::to_string(index);
    agent.target = std::make_unique<CountingTarget>(agent.name, &history_, &link_state_.random);
    agents_.push_back(std::move(agent));
  }
  for (size_t index = 0; index < agents_.size(); ++index) StartAgent(index);
  WaitForSessions();
}

RequestCluster::~RequestCluster() {
  for (size_t index = 0; index < agents_.size(); ++index) KillAgent(index);
  // Ends reads that wait for new records.
  LogFaults down;
  down.reads_fail = true;
  log_.SetFaults(down);
}

void RequestCluster::StartAgent(size_t index) {
  TestAgent& agent = agents_[index];
  AgentOptions options;
  options.hello.process = agent.name;
  options.hello.incarnation = RandomHex(4);
  options.hello.service = kTestService;
  options.heartbeat = std::chrono::milliseconds(20);
  options.leave_grace_period = std::chrono::milliseconds(50);
  for (size_t entry = 0; entry < entries_.size(); ++entry) {
    options.entries.push_back(std::to_string(entry));
  }
  agent.agent_process = std::make_shared<AgentProcess>();
  agent.metrics = std::make_unique<MetricsRegistry>();
  agent.connector = std::make_unique<DirectConnector>(this, &link_state_, agent.agent_process);
  agent.server = std::make_unique<AgentServer>(options, agent.connector.get(), agent.target.get(),
                                               nullptr, agent.metrics.get());
}

void RequestCluster::KillAgent(size_t index) {
  TestAgent& agent = agents_[index];
  if (!agent.server) return;
  agent.agent_process->dead.store(true);
  // Running calls of the agent end without an answer; after that the server can be destroyed.
  const std::unique_lock<std::shared_mutex> lock(agent.agent_process->alive);
  agent.server.reset();
}

void RequestCluster::RestartAgent(size_t index, bool graceful) {
  if (graceful) agents_[index].server->Leave(kLeaveLimit);
  KillAgent(index);
  StartAgent(index);
}

void RequestCluster::ReplaceEntry(size_t index) {
  auto fresh = std::make_shared<TestEntry>(&log_);
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_[index]->gone.store(true);
  entries_[index] = std::move(fresh);
}

void RequestCluster::Reconnect(size_t agent, size_t entry) {
  AgentDirectory& directory = this->entry(entry)->directory;
  directory.Open(directory.Find(agents_[agent].name).hello,
                 std::make_shared<FaultyLink>(&link_state_, agents_[agent].agent_process),
                 DefaultClock().Now());
}

std::shared_ptr<TestEntry> RequestCluster::entry(size_t index) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_[index];
}

void RequestCluster::WaitForSessions() {
  WaitUntil("not every entry has a session with every agent", [this] {
    for (size_t index = 0; index < entries(); ++index) {
      const auto known =
          entry(index)->directory.Candidates(kTestService, DefaultClock().Now(), kWaitTimeout);
      if (known.size() != agents_.size()) return false;
      if (!entry(index)->stream.view().ever_fresh) return false;
    }
    return true;
  });
}

AnswerEvent RequestCluster::Call(size_t entry_index, const std::string& key,
                                 const std::string& body, Duration limit) {
  ServiceRequest request;
  request.request_id = "r" + std::to_string(next_request_.fetch_add(1));
  request.workspace = "workspace";
  request.service = kTestService;
  request.path = "/plan";
  request.body = body;
  request.body_digest = Digest(body);
  request.time_left = limit;
  request.idempotency_key = key;
  AnswerEvent event{request.request_id, key, body, Outcome::kRan, false, "", ""};
  const std::shared_ptr<TestEntry> entry = this->entry(entry_index);
  try {
    event.answer = entry->router.Route(request).body;
    event.answered = true;
  } catch (const Error& error) {
    event.outcome = error.outcome();
    event.error = std::string(ErrorInfoFor(error.kind()).name) + ": " + error.what();
  }
  history_.Add(event);
  return event;
}

}  // namespace turmericshift
