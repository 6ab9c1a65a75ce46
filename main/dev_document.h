// A deployment's document made ready for a run on loopback: tokens known to this run in place of
// the ones that the deployment's own operators keep.
#pragma once

#include <map>
#include <string>

namespace turmericshift {

struct DevDocument {
  std::string text;
  // Token by workspace.
  std::map<std::string, std::string> tokens;
};

// Throws Error(kInvalidInput) when the file can't be read or is no document.
DevDocument ReadDevDocument(const std::string& path);

}  // namespace turmericshift
