// The way through an entry for those who can't reach the planner themselves: the entry opens one
// connection to the planner, and calls made on the gate that it hands out pass over that.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "rpc/generated/pool.capnp.h"

namespace turmericshift {

// Used on one event loop only, whose provider outlives it.
class PlannerRelay {
 public:
  explicit PlannerRelay(kj::LowLevelAsyncIoProvider* provider) : provider_(provider) {}

  // The gate of the planner at `address`, "ip:port". Fails with DISCONNECTED where it can't be
  // reached.
  kj::Promise<wire::PoolGate::Client> GateAt(const std::string& address);

 private:
  struct PlannerLink {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Promise<void> watch = kj::READY_NOW;
    bool lost = false;
  };

  bool LinkedTo(const std::string& address) const;
  wire::PoolGate::Client LinkedGate();
  void Link(const std::string& address, kj::Own<kj::AsyncIoStream> stream);

  kj::LowLevelAsyncIoProvider* const provider_;
  // The newest planner that somebody has asked for.
  std::string address_;
  kj::Own<PlannerLink> link_;
};

}  // namespace turmericshift
