// How fast and at what price a new document reaches every agent, by three ways of spreading it.
#pragma once

#include <cstdint>
#include <vector>

namespace turmericshift {

struct SpreadResult {
  // From the accepted answer to an agent having it in force; seconds, one for each agent.
  std::vector<double> delays;
  // What the log had to serve while nothing changed, reads a second.
  double log_reads_per_second = 0;

  double Quantile(double share) const;
};

// Agents pull with their heartbeats, once a second, from three entries each. Real entries, guards
// and messages; no sockets.
SpreadResult SpreadByHeartbeats(int agents, uint64_t seed);

// Every agent's process reads the log itself with long-polls, a thread each.
SpreadResult SpreadByLogReaders(int agents);

// Entries tell 10 agents; every agent pulls once a second from one that is nearer, three to each.
// In simulated time: only the heartbeats' random phases matter.
SpreadResult SpreadByRelays(int agents, uint64_t seed);

}  // namespace turmericshift
