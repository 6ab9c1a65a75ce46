// Measures the delay until a new environment document is in force at every agent, and the load on
// the log, for three methods of propagation.
#pragma once

#include <cstdint>
#include <vector>

namespace turmericshift {

struct PropagationResult {
  // Seconds from the acceptance of the document until it is in force, one value for each agent.
  std::vector<double> delays;
  // Reads per second that the log served while nothing changed.
  double log_reads_per_second = 0;

  double Quantile(double share) const;
};

// Each agent polls three entries with its heartbeats, once a second. Uses the real entries, start
// guards and messages, but no sockets.
PropagationResult PropagateByHeartbeats(int agents, uint64_t seed);

// Every agent reads the log itself by long polling, on a thread of its own.
PropagationResult PropagateByLogReaders(int agents);

// Entries send the document to 10 agents; each other agent polls a parent agent once a second, and
// each agent is the parent of three. Simulates only the heartbeats' random phases; no real time
// passes.
PropagationResult PropagateByRelays(int agents, uint64_t seed);

}  // namespace turmericshift
