#include "rpc/rpc_entry_connector.h"

#include <algorithm>
#include <utility>

#include "core/error.h"
#include "core/result.h"
#include "core/secret.h"
#include "core/units.h"
#include "rpc/convert.h"
#include "rpc/session.h"
#include "rpc/sockets.h"
#include "rpc/text.h"

namespace turmericshift {
namespace {

constexpr int kConnectMillis = 2000;
constexpr Duration kOpenTimeout = std::chrono::seconds(5);
constexpr size_t kNonceBytes = 16;
constexpr int kControlThreads = 8;

class RpcEntryPort final : public EntryPort {
 public:
  RpcEntryPort(std::shared_ptr<Session> session, std::unique_ptr<wire::EntrySession::Client> client)
      : session_(std::move(session)), client_(std::move(client)) {}

  ~RpcEntryPort() override {
    session_->Release(std::move(client_));
    session_->Close();
    session_->WaitClosed();
  }

  HeartbeatReply Heartbeat(const AgentHeartbeat& heartbeat, Duration timeout) override {
    return session_
        ->Call(
            [&] {
              auto call = client_->heartbeatRequest();
              Write(heartbeat, call.initBeat());
              return call.send().then([](auto&& response) {
                return ResultOf<HeartbeatReply>([&] {
                  ThrowIfFailed(response.getFailure());
                  return Read(response.getBeat());
                });
              });
            },
            timeout)
        .Take();
  }

 private:
  const std::shared_ptr<Session> session_;
  std::unique_ptr<wire::EntrySession::Client> client_;
};

using SessionClient = wire::EntrySession::Client;
// On the heap, because a capability must be created, used and destroyed on its own loop's thread.
using OpenResult = Result<std::unique_ptr<SessionClient>>;

OpenResult ReadOpened(wire::Gate::OpenAgentResults::Reader opened) {
  return ResultOf<std::unique_ptr<SessionClient>>([&] {
    ThrowIfFailed(opened.getFailure());
    return std::make_unique<SessionClient>(opened.getSession());
  });
}

// Returns whether the entry's proof for `nonce` was made with one of `keys`.
bool VerifyEntryProof(const SharedKeys& keys, const std::string& nonce, const std::string& proof) {
  return std::any_of(keys.keys.begin(), keys.keys.end(), [&](const std::string& key) {
    return ProofHolds(key, "entry:" + nonce, proof);
  });
}

// Authenticates both sides and opens the agent's session. Runs on the session's loop.
kj::Promise<OpenResult> OpenSession(Session* session, const SharedKeys& keys,
                                    const AgentHello& hello, wire::Agent::Client agent) {
  auto gate = session->Bootstrap().castAs<wire::Gate>();
  const std::string nonce = RandomHex(kNonceBytes);
  auto challenge = gate.challengeRequest();
  challenge.setNonce(AsText(nonce));
  return challenge.send().then([gate, nonce, keys, hello,
                                agent](auto&& answer) mutable -> kj::Promise<OpenResult> {
    if (!VerifyEntryProof(keys, nonce, Text(answer.getProof()))) {
      OpenResult refused;
      refused.error.emplace(ErrorKind::kUnauthenticated, "the entry does not know the shared key");
      return kj::mv(refused);
    }
    auto open = gate.openAgentRequest();
    open.setProof(Prove(keys.keys.front(), std::string("agent:") + Text(answer.getNonce())));
    Write(hello, open.initHello());
    open.setAgent(kj::mv(agent));
    return open.send().then([](auto&& opened) { return ReadOpened(opened); });
  });
}

}  // namespace

PeerAddress ParsePeerAddress(const std::string& text, int min_port) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw Error(ErrorKind::kInvalidInput, "'" + text + "' is not of the form IP:port");
  }
  return {text.substr(0, colon),
          static_cast<int>(ParseInteger(text.substr(colon + 1), min_port, 65535))};
}

RpcEntryConnector::RpcEntryConnector(const SharedKeys& keys, int max_requests)
    : keys_(keys), pools_{{"request", max_requests}, {"control", kControlThreads}} {
  if (keys.keys.empty()) throw Error(ErrorKind::kInvalidInput, "no shared key is set");
}

std::shared_ptr<EntryPort> RpcEntryConnector::Connect(const std::string& address,
                                                      const AgentHello& hello, AgentPort* agent) {
  const PeerAddress peer = ParsePeerAddress(address);
  const int fd = ConnectSocket(peer.ip, peer.port, kConnectMillis);
  const std::shared_ptr<Session> session =
      Session::Open(fd, Session::Side::kConnecting, "entry-session", nullptr);
  try {
    OpenResult opened = session->Call(
        [&] { return OpenSession(session.get(), keys_, hello, MakeAgentService(agent, &pools_)); },
        kOpenTimeout);
    return std::make_shared<RpcEntryPort>(session, opened.Take());
  } catch (...) {
    session->Close();
    session->WaitClosed();
    throw;
  }
}

}  // namespace turmericshift
