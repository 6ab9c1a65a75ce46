// What operators were told during a soak, and whether it was true. Shared between threads.
#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::soak {

// How one command ended.
struct CommandEnd {
  // "zone out a", for people.
  std::string command;
  // "" for a command that changes nothing.
  std::string change;
  int status = -1;
  // That it was told; 0: none.
  int64_t version = 0;
  Duration duration{};
};

class OperatorHistory {
 public:
  // A command was given while at least one entry served until its end.
  void RecordCommand(const CommandEnd& end);
  void RecordViolation(const std::string& violation);
  // `history`: what `config history --json` shows once all is over.
  void CheckAtEnd(const nlohmann::json& history);
  std::vector<std::string> violations() const;
  std::string Summary() const;

 private:
  void CheckChange(const CommandEnd& end, const std::map<std::string, int64_t>& versions);
  void AddViolation(const std::string& violation);

  mutable std::mutex mutex_;
  std::vector<CommandEnd> ends_;
  Duration longest_{};
  std::vector<std::string> violations_;
};

}  // namespace turmericshift::soak
