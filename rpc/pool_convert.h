// Converts between the pool's messages and their Cap'n Proto types. Read throws
// Error(kInvalidInput) for values that only a faulty or hostile peer sends.
#pragma once

#include <pool.capnp.h>

#include "servers/pool/pool_messages.h"

namespace turmericshift {

void Write(const pool::AgentReport& from, wire::PoolReport::Builder to);
pool::AgentReport Read(wire::PoolReport::Reader from);
void Write(const pool::AgentOrders& from, wire::PoolOrders::Builder to);
pool::AgentOrders Read(wire::PoolOrders::Reader from);

}  // namespace turmericshift
