// Records the outcomes reported to operators during a soak and checks them. Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::soak {

// The outcome of a command.
struct CommandEnd {
  // The command line for messages, such as "zone out a".
  std::string command;
  // Identifier of the change; empty for a command that changes nothing.
  std::string change;
  int status = -1;
  // The version that the command reported; 0 if none.
  int64_t version = 0;
  Duration duration{};
};

class OperatorHistory {
 public:
  // Records a command during which at least one entry served without interruption.
  void RecordCommand(const CommandEnd& end);
  void RecordViolation(const std::string& violation);
  // `history`: the output of `config history --json` after all commands have ended.
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
