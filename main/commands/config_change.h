// Shared by the commands that change the configuration: the id that makes a change idempotent, and
// the wait until the new version is in force.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "main/commands/api_client.h"

namespace turmericshift {

class ConfigChange {
 public:
  // Adds the options `wait` and `change`.
  static void AddOptions(CommandOptions* options, const std::string& default_wait);
  // Returns the value of `--wait`.
  static Duration WaitOption(const CommandOptions& options);

  // `client` and `options` must outlive the object.
  ConfigChange(const CommandOptions& options, ApiClient* client);

  // Posts the change; `query` begins with '?'. If the change was already accepted under its id, the
  // entry answers with that version. Throws Error; the message names the change's id if the outcome
  // is unknown.
  nlohmann::json Post(const std::string& path, const std::string& query, const std::string& body);
  // Prints `headline`, waits until the version is in force, for at most `--wait`, and prints which
  // processes have it in force. The headline is printed before the wait, on standard error if
  // standard output is JSON. Returns kFailed if a process that reported recently does not have the
  // version after the wait, and kTimedOut if the command's deadline ended the wait.
  ExitCode Finish(const nlohmann::json& accepted, const std::string& headline, Time now);

 private:
  // Returns the newest report on which processes have the version in force, once all of them have
  // it or the deadline has passed.
  nlohmann::json AwaitInForce(const nlohmann::json& accepted, Time deadline);

  const CommandOptions& options_;
  ApiClient* const client_;
  const std::string id_;
};

// Whether every process that reported recently has the version in force, according to an entry's
// report `in_force`. Silent entries are not waited for: an entry that reaches no agent can't act
// through one, and it reads the log before it serves again.
bool InForceAtReportingProcesses(const nlohmann::json& in_force);

}  // namespace turmericshift
