// Generates environment documents of a given size, for traces and benchmarks of clusters that are
// too large to write by hand.
#pragma once

#include <string>

namespace turmericshift {

struct DocumentSize {
  // Zones are named "zone-0", "zone-1" and so on, and are all alike.
  int zones = 1;
  int workers_per_zone = 1;
  int workers_per_rack = 16;
  int processors = 128;
  std::string memory = "512GiB";
  int accelerators = 8;
  // Workspaces are named "team-0", "team-1" and so on, and are all alike.
  int workspaces = 1;
  std::string guarantee = "1 worker";
  int accelerator_cap = 0;
};

std::string SyntheticDocument(const DocumentSize& size);

}  // namespace turmericshift
