// Relays calls to the planner for callers that can't connect to it themselves. The entry that
// relays opens one connection to the planner and returns a gate whose calls go over that
// connection.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "rpc/generated/pool.capnp.h"

namespace turmericshift {

// Must be used on a single event loop, whose provider must outlive it.
class PlannerRelay {
 public:
  explicit PlannerRelay(kj::LowLevelAsyncIoProvider* provider) : provider_(provider) {}

  // Returns the gate of the planner at `address`, "IP:port". Fails with DISCONNECTED if the planner
  // can't be reached.
  kj::Promise<wire::PoolGate::Client> GateAt(const std::string& address);

 private:
  struct PlannerLink {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    // Sets `lost` when the connection ends.
    kj::Promise<void> disconnect_watch = kj::READY_NOW;
    bool lost = false;
  };

  bool LinkedTo(const std::string& address) const;
  wire::PoolGate::Client LinkedGate();
  void Link(const std::string& address, kj::Own<kj::AsyncIoStream> stream);

  kj::LowLevelAsyncIoProvider* const provider_;
  // Address of the planner that was requested last.
  std::string address_;
  kj::Own<PlannerLink> link_;
};

}  // namespace turmericshift
