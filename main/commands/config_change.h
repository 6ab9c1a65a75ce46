// What the commands that change the configuration share: the change's id, and the wait until the
// version they made is in force.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "main/commands/api_client.h"

namespace turmericshift {

class ConfigChange {
 public:
  // Adds the options `wait` and `change`.
  static void AddOptions(CommandOptions* options, const std::string& default_wait);
  // `--wait`.
  static Duration WaitOf(const CommandOptions& options);

  // `client` and `options` must outlive it.
  ConfigChange(const CommandOptions& options, ApiClient* client);

  // Posts the change; `query` begins with '?'. An entry that has the change already answers for it.
  // Throws Error; one with an unknown outcome names the change's id.
  nlohmann::json Post(const std::string& path, const std::string& query, const std::string& body);
  // Tells that the change was accepted, in the words of `headline`, waits until the version is in
  // force, at most as long as `--wait` says, and tells who has it. What was accepted is told before
  // the wait, on standard error where standard output is to be JSON.
  // kFailed when somebody who was heard of late is behind, kTimedOut when the command's time is up
  // before `--wait` is over.
  ExitCode Finish(const nlohmann::json& accepted, const std::string& headline, Time now);

 private:
  // The newest report of who has the version in force, once all have it or the time is up.
  nlohmann::json AwaitInForce(const nlohmann::json& accepted, Time limit);

  const CommandOptions& options_;
  ApiClient* const client_;
  const std::string id_;
};

// Whether every process that was heard of late has the version, by an entry's `in_force`. Entries
// of which no agent has heard can act through none, and read the log before they serve again.
bool InForceWhereHeard(const nlohmann::json& in_force);

}  // namespace turmericshift
