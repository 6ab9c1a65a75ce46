// Converts between the plain messages of servers/ports and their Cap'n Proto types. Read throws
// Error(kInvalidInput) for values that only a faulty or hostile peer sends.
#pragma once

#include <peer.capnp.h>

#include "core/error.h"
#include "servers/ports/messages.h"

namespace turmericshift {

void Write(const AgentHello& from, wire::AgentHello::Builder to);
AgentHello Read(wire::AgentHello::Reader from);

void Write(const ServiceRequest& from, wire::ServiceRequest::Builder to);
ServiceRequest Read(wire::ServiceRequest::Reader from);

void Write(const ServiceAnswer& from, wire::ServiceAnswer::Builder to);
ServiceAnswer Read(wire::ServiceAnswer::Reader from);

void Write(const RequestStatusQuery& from, wire::SeenQuestion::Builder to);
RequestStatusQuery Read(wire::SeenQuestion::Reader from);

void Write(const RequestStatusReply& from, wire::SeenAnswer::Builder to);
RequestStatusReply Read(wire::SeenAnswer::Reader from);

void Write(const GangReserve& from, wire::GangReserve::Builder to);
GangReserve Read(wire::GangReserve::Reader from);

void Write(const GangStart& from, wire::GangStart::Builder to);
GangStart Read(wire::GangStart::Reader from);

void Write(const GangAction& from, wire::GangAction::Builder to);
GangAction Read(wire::GangAction::Reader from);

void Write(const EntryMember& from, wire::EntryMember::Builder to);
EntryMember Read(wire::EntryMember::Reader from);

void Write(const ObservedEntry& from, wire::HeardEntry::Builder to);
ObservedEntry Read(wire::HeardEntry::Reader from);

void Write(const AgentHeartbeat& from, wire::AgentBeat::Builder to);
AgentHeartbeat Read(wire::AgentBeat::Reader from);

void Write(const HeartbeatReply& from, wire::EntryBeat::Builder to);
HeartbeatReply Read(wire::EntryBeat::Reader from);

void Write(const Error& from, wire::Failure::Builder to);
// Throws the Error described by `from`. Does nothing if `from` describes none.
void ThrowIfFailed(wire::Failure::Reader from);

}  // namespace turmericshift
