// Registry of plug-ins by name. A module's register_types function adds its factories;
// main/register_modules.cc calls every such function, so that the linker can't silently drop a
// module.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"

namespace turmericshift {

template <typename Interface, typename... Arguments>
class PluginRegistry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  // Returns the registry of this interface.
  static PluginRegistry& Instance() {
    static PluginRegistry registry;
    return registry;
  }

  // Registering a name again replaces its factory, so that register_types may run more than once.
  void Register(const std::string& name, Factory factory) { factories_[name] = std::move(factory); }

  // Throws Error(kInvalidInput), with the list of known plug-ins, if `name` is not registered.
  std::unique_ptr<Interface> Create(const std::string& name, Arguments... arguments) const {
    const auto found = factories_.find(name);
    if (found != factories_.end()) return found->second(std::forward<Arguments>(arguments)...);
    std::string known;
    for (const auto& entry : factories_) known += " " + entry.first;
    throw Error(ErrorKind::kInvalidInput, "no plug-in named '" + name + "'; known:" + known);
  }

  std::vector<std::string> names() const {
    std::vector<std::string> result;
    for (const auto& entry : factories_) result.push_back(entry.first);
    return result;
  }

 private:
  std::map<std::string, Factory> factories_;
};

}  // namespace turmericshift
