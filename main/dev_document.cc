#include "main/dev_document.h"

#include <sstream>

#include "core/secret.h"
#include "main/commands/options.h"
#include "servers/config/environment.h"

namespace turmericshift {
namespace {

constexpr size_t kTokenBytes = 16;
constexpr const char* kWorkspaceHeader = "[workspace ";
constexpr const char* kHashesKey = "token_hashes";

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

}  // namespace

DevDocument ReadDevDocument(const std::string& path) {
  const std::string original = ReadFileText(path);
  DevDocument document;
  for (const auto& [name, workspace] : ParseEnvironment(path, original).workspaces) {
    document.tokens[name] = RandomHex(kTokenBytes);
  }
  std::istringstream lines(original);
  std::string line;
  while (std::getline(lines, line)) {
    if (!StartsWith(line, kHashesKey)) document.text += line + "\n";
    if (!StartsWith(line, kWorkspaceHeader)) continue;
    const size_t begin = std::string(kWorkspaceHeader).size();
    const std::string workspace = line.substr(begin, line.find(']') - begin);
    const std::string hash = HashToken(document.tokens.at(workspace));
    document.text += std::string(kHashesKey) + " = " + hash + "\n";
  }
  return document;
}

}  // namespace turmericshift
