// The operator soak: runs operators' commands as processes while entries are frozen, killed,
// stopped gracefully and unreachable.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace turmericshift::soak {

struct OperatorSoakOptions {
  std::string binary;
  // Folder for settings and logs.
  std::string folder;
  // A loopback address that no other process uses.
  std::string ip = "127.0.0.1";
  uint64_t seed = 1;
  std::chrono::seconds length{15};
};

// Prints a summary; returns 0 if all guarantees held and 1 otherwise. Guarantees: while one entry
// serves, each command ends in time with a known outcome; a change reported as done is in the
// history under the reported version, and a change reported as not done is not; versions have no
// gaps.
int RunOperatorSoak(const OperatorSoakOptions& options);

}  // namespace turmericshift::soak
