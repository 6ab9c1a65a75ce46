#include "rpc/gate_listener.h"

#include <peer.capnp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "core/error.h"
#include "core/listen_socket.h"
#include "core/logging.h"
#include "core/secret.h"
#include "rpc/convert.h"
#include "rpc/offload.h"
#include "rpc/rpc_agent_port.h"
#include "rpc/sockets.h"
#include "rpc/text.h"

namespace turmericshift {
namespace {

constexpr size_t kNonceBytes = 16;
constexpr int kPollMillis = 100;
// Time between a failed accept and the next.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr int kPoolThreads = 16;
constexpr Duration kHeartbeatTimeout = std::chrono::seconds(3);

// Serves an agent's calls after its admission.
class EntrySessionService final : public wire::EntrySession::Server {
 public:
  EntrySessionService(std::shared_ptr<EntryPort> port, ThreadPool* pool)
      : port_(std::move(port)), pool_(pool) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    auto heartbeat = std::make_shared<AgentHeartbeat>(Read(context.getParams().getBeat()));
    std::shared_ptr<EntryPort> port = port_;
    return Offload<HeartbeatReply>(
               pool_, [port, heartbeat] { return port->Heartbeat(*heartbeat, kHeartbeatTimeout); })
        .then([context](Result<HeartbeatReply> result) mutable {
          auto results = context.getResults();
          if (result.error) return Write(*result.error, results.initFailure());
          Write(*result.value, results.initBeat());
        });
  }

 private:
  const std::shared_ptr<EntryPort> port_;
  ThreadPool* const pool_;
};

class GateService final : public wire::Gate::Server {
 public:
  GateService(Session* session, EntryGate* gate, const SharedKeys& keys, ThreadPool* pool)
      : session_(session), gate_(gate), keys_(keys), pool_(pool) {}

  kj::Promise<void> challenge(ChallengeContext context) override {
    nonce_ = RandomHex(kNonceBytes);
    auto results = context.getResults();
    results.setNonce(AsText(nonce_));
    // The proof covers the role as well as the peer's nonce, so that it can't be reflected to the
    // process that made it.
    const std::string peer_nonce = Text(context.getParams().getNonce());
    results.setProof(Prove(keys_.keys.front(), "entry:" + peer_nonce));
    return kj::READY_NOW;
  }

  kj::Promise<void> openAgent(OpenAgentContext context) override {
    auto params = context.getParams();
    auto results = context.getResults();
    if (!VerifyProof(Text(params.getProof()))) {
      LogEvent(LogLevel::kWarning, "session_refused", {{"reason", "wrong key"}});
      Write(Error(ErrorKind::kUnauthenticated, "the proof does not fit any shared key"),
            results.initFailure());
      return kj::READY_NOW;
    }
    try {
      auto agent = std::make_shared<RpcAgentPort>(session_->shared_from_this(), params.getAgent());
      auto port = gate_->OpenAgent(Read(params.getHello()), agent);
      session_->Admit();
      results.setSession(kj::heap<EntrySessionService>(std::move(port), pool_));
    } catch (const Error& error) {
      Write(error, results.initFailure());
    }
    return kj::READY_NOW;
  }

 private:
  // Checks the peer's proof for the current nonce. A nonce is valid for one check only.
  bool VerifyProof(const std::string& proof) {
    const std::string nonce = std::exchange(nonce_, "");
    if (nonce.empty()) return false;
    return std::any_of(keys_.keys.begin(), keys_.keys.end(), [&](const std::string& key) {
      return ProofHolds(key, "agent:" + nonce, proof);
    });
  }

  Session* const session_;
  EntryGate* const gate_;
  const SharedKeys keys_;
  ThreadPool* const pool_;
  std::string nonce_;
};

}  // namespace

GateListener::GateListener(const GateOptions& options, EntryGate* gate)
    : options_(options), gate_(gate), pool_("gate", kPoolThreads) {
  if (options.keys.keys.empty()) throw Error(ErrorKind::kInvalidInput, "no shared key is set");
  listener_ = ListenSocket(options.address, options.port);
  port_ = BoundPort(listener_);
  thread_ = Thread(ThreadRole::kEssential, "gate-accept", [this] { Accept(); });
}

GateListener::~GateListener() {
  stopping_.store(true);
  thread_.Join();
  close(listener_);
  std::vector<Accepted> sessions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sessions.swap(sessions_);
  }
  for (const Accepted& accepted : sessions) {
    if (const auto session = accepted.session.lock()) {
      session->Close();
      session->WaitClosed();
    }
  }
}

void GateListener::Accept() {
  while (!stopping_.load()) {
    try {
      AcceptOnce();
    } catch (const std::exception& error) {
      // If this loop ended, agents could no longer reach this entry although it is ready.
      accept_failures_.fetch_add(1);
      accept_episode_.NoteFailure(error.what());
      SleepFor(kAcceptRetryDelay);
    }
  }
}

void GateListener::AcceptOnce() {
  pollfd waiting{listener_, POLLIN, 0};
  const bool connected = poll(&waiting, 1, kPollMillis) > 0;
  const Time now = DefaultClock().Now();
  CloseOverdue(now);
  if (!connected) return;
  const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd < 0) throw Error(ErrorKind::kUnavailable, std::generic_category().message(errno));
  Admit(fd, now);
  accept_episode_.NoteSuccess();
}

void GateListener::CloseOverdue(Time now) {
  std::vector<std::shared_ptr<Session>> overdue;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::erase_if(sessions_, [](const Accepted& each) { return each.session.expired(); });
    for (const Accepted& each : sessions_) {
      if (now - each.accepted_at <= options_.admission_limit) continue;
      auto session = each.session.lock();
      if (session && !session->admitted() && !session->closed()) overdue.push_back(session);
    }
  }
  for (const auto& session : overdue) {
    LogEvent(LogLevel::kWarning, "session_refused", {{"reason", "no proof in time"}});
    session->Close();
  }
}

void GateListener::Admit(int fd, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto unadmitted = std::count_if(sessions_.begin(), sessions_.end(), [](const auto& each) {
    const auto session = each.session.lock();
    return session && !session->admitted();
  });
  if (static_cast<int>(sessions_.size()) >= options_.max_sessions ||
      unadmitted >= options_.max_unadmitted) {
    LogEvent(LogLevel::kWarning, "session_refused", {{"reason", "too many sessions"}});
    close(fd);
    return;
  }
  const auto make_gate = [this](Session* session) -> capnp::Capability::Client {
    return kj::heap<GateService>(session, gate_, options_.keys, &pool_);
  };
  sessions_.push_back(
      {Session::Open(fd, Session::Side::kAccepting, "agent-session", make_gate), now});
}

}  // namespace turmericshift
