// The operators' part of the soak: their commands, as processes, while entries are frozen, killed,
// stopped in order and out of reach.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace turmericshift::soak {

struct OperatorSoakOptions {
  std::string binary;
  // Gets settings and logs.
  std::string folder;
  // A loopback address that nobody else uses.
  std::string ip = "127.0.0.1";
  uint64_t seed = 1;
  std::chrono::seconds length{15};
};

// Prints what it saw; returns 0 when all promises were kept, 1 otherwise. The promises: while one
// entry serves, a command ends in time and is settled; what was said done stands in the history as
// the version that was told, what was said not done never does; versions follow each other.
int RunOperatorSoak(const OperatorSoakOptions& options);

}  // namespace turmericshift::soak
