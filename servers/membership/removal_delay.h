// When an agent tries again to remove itself from the members topic.
//
// Load pattern: the workers of many VMs leave at the same moment. A removal holds only if the topic
// ends where its agent has read to, so that of those who try at once all but one are refused.
#pragma once

#include <string>

#include "core/clock.h"

namespace turmericshift::membership {

// Attempts that an agent makes; it has about a second before its own VM goes.
inline constexpr int kRemovalAttempts = 8;

// Delay after the refused attempt number `attempt` (from 1). Agents that were refused together get
// different delays each time, so that they do not meet again.
Duration RemovalDelay(const std::string& node, int attempt);

}  // namespace turmericshift::membership
