#include "rpc/planner_relay.h"

#include <arpa/inet.h>
#include <kj/debug.h>
#include <kj/io.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "rpc/rpc_entry_connector.h"
#include "rpc/sockets.h"

namespace turmericshift {

kj::Promise<wire::PoolGate::Client> PlannerRelay::GateAt(const std::string& address) {
  if (link_.get() != nullptr && address_ == address && !link_->lost) {
    return link_->client->bootstrap().castAs<wire::PoolGate>();
  }
  const PeerAddress peer = ParsePeerAddress(address);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(peer.port));
  KJ_REQUIRE(inet_pton(AF_INET, peer.ip.c_str(), &to.sin_addr) == 1, "no IPv4 address");
  kj::AutoCloseFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  LimitSilence(socket.get());
  return provider_
      ->wrapConnectingSocketFd(kj::mv(socket), reinterpret_cast<const sockaddr*>(&to), sizeof(to))
      .then([this, address](kj::Own<kj::AsyncIoStream>&& stream) {
        return Take(address, kj::mv(stream));
      });
}

wire::PoolGate::Client PlannerRelay::Take(const std::string& address,
                                          kj::Own<kj::AsyncIoStream> stream) {
  auto link = kj::heap<Link>();
  link->stream = kj::mv(stream);
  link->client = kj::heap<capnp::TwoPartyClient>(*link->stream);
  Link* raw = link.get();
  link->watch =
      link->client->onDisconnect().then([raw] { raw->lost = true; }).eagerlyEvaluate(nullptr);
  address_ = address;
  link_ = kj::mv(link);
  return link_->client->bootstrap().castAs<wire::PoolGate>();
}

}  // namespace turmericshift
