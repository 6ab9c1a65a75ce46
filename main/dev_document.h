// An environment document prepared for a run on loopback. The token hashes of its workspaces are
// replaced by those of newly generated tokens, since the deployment's real tokens are not known
// here.
#pragma once

#include <map>
#include <string>

namespace turmericshift {

struct DevDocument {
  std::string text;
  // Token of each workspace, by the workspace's name.
  std::map<std::string, std::string> tokens;
};

// Throws Error(kInvalidInput) if the file can't be read or is not a valid environment document.
DevDocument ReadDevDocument(const std::string& path);

}  // namespace turmericshift
