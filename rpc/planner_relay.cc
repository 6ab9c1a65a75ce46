#include "rpc/planner_relay.h"

#include <kj/io.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "core/listen_socket.h"
#include "rpc/rpc_entry_connector.h"
#include "rpc/sockets.h"

namespace turmericshift {

bool PlannerRelay::LinkedTo(const std::string& address) const {
  return link_.get() != nullptr && address_ == address && !link_->lost;
}

wire::PoolGate::Client PlannerRelay::LinkedGate() {
  return link_->client->bootstrap().castAs<wire::PoolGate>();
}

kj::Promise<wire::PoolGate::Client> PlannerRelay::GateAt(const std::string& address) {
  if (LinkedTo(address)) return LinkedGate();
  const PeerAddress peer = ParsePeerAddress(address);
  const sockaddr_in to = SocketAddress(peer.ip, peer.port);
  kj::AutoCloseFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  EnableDeadPeerDetection(socket.get());
  return provider_
      ->wrapConnectingSocketFd(kj::mv(socket), reinterpret_cast<const sockaddr*>(&to), sizeof(to))
      .then([this, address](kj::Own<kj::AsyncIoStream>&& stream) {
        // A concurrent call may have connected first; its connection is used then.
        if (!LinkedTo(address)) Link(address, kj::mv(stream));
        return LinkedGate();
      });
}

void PlannerRelay::Link(const std::string& address, kj::Own<kj::AsyncIoStream> stream) {
  auto link = kj::heap<PlannerLink>();
  link->stream = kj::mv(stream);
  link->client = kj::heap<capnp::TwoPartyClient>(*link->stream);
  PlannerLink* raw = link.get();
  link->disconnect_watch =
      link->client->onDisconnect().then([raw] { raw->lost = true; }).eagerlyEvaluate(nullptr);
  address_ = address;
  link_ = kj::mv(link);
}

}  // namespace turmericshift
