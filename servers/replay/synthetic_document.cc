#include "servers/replay/synthetic_document.h"

#include <sstream>

namespace turmericshift {

std::string SyntheticDocument(const DocumentSize& size) {
  std::ostringstream text;
  text << "[environment]\ndeployment = synthetic\n";
  for (int zone = 0; zone < size.zones; ++zone) {
    text << "[availability_zone zone-" << zone
         << "]\nstate = in\nworkers = " << size.workers_per_zone
         << "\nworkers_per_rack = " << size.workers_per_rack
         << "\nprocessors_per_worker = " << size.processors
         << "\nmemory_per_worker = " << size.memory
         << "\naccelerators_per_worker = " << size.accelerators << "\n";
  }
  for (int workspace = 0; workspace < size.workspaces; ++workspace) {
    text << "[workspace team-" << workspace << "]\ntoken_hashes =\nguarantee = " << size.guarantee
         << "\naccelerator_cap = " << size.accelerator_cap << "\n";
  }
  return text.str();
}

}  // namespace turmericshift
