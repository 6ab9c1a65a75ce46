// What operators may ask about configuration and availability zones over HTTP.
//
//   GET  /v1/config                     the document in force: version, digest, author, text
//   GET  /v1/config/history             the newest versions, oldest first
//   GET  /v1/config/versions/N          one of them, with its text, for a rollback
//   GET  /v1/config/in-force?version=N  by zone: how many have it in force, and who has not
//   POST /v1/config?parent=N            publishes the body as version N+1
//        &author=NAME                   who asks; shown in the history
//        &zone_states=replace           lets the document change the state of zones
//        &zone_states=keep              zones stay in or out as they are, whatever it says
//        &trial_version=&trial_proof=   the trial's statement, where promotion asks for one
//        &wait_ms=M                     answers once all have it in force, at most after M
//        &change=ID                     sent again under its ID, to any entry, it takes effect once
//   GET  /v1/config/statement?version=N says, provably, that all of this environment has N in force
//   POST /v1/zones/NAME/out             takes the zone out on whatever document is newest
//   POST /v1/zones/NAME/in              brings it back; both take author, wait_ms and change
#pragma once

#include <memory>
#include <string>

#include "core/http_server.h"
#include "servers/entry/in_force.h"
#include "servers/state/config_fold.h"

namespace turmericshift {

class EntryServer;

// Made by the trial's entries, checked by production's; the operator's command carries it over. A
// proof for `digest` that the environment had it in force as `version`, under a key that both
// environments' entries know.
std::string PromotionProof(const std::string& key, const std::string& environment, int64_t version,
                           const std::string& digest);

class ConfigApi {
 public:
  explicit ConfigApi(EntryServer* entry) : entry_(entry) {}

  // Whether the path is one of this class.
  static bool Handles(const std::string& path);
  // The caller is known to be an operator. Throws Error.
  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse ShowVersion(int64_t version) const;
  HttpResponse ShowHistory() const;
  HttpResponse ShowInForce(const HttpRequest& request) const;
  HttpResponse IssueStatement(const HttpRequest& request) const;
  HttpResponse Publish(const HttpRequest& request);
  HttpResponse SetZone(const HttpRequest& request);
  // Throws Error(kForbidden) unless the request carries a trial's statement about `digest`, or this
  // environment asks for none.
  void RequireTrialProof(const HttpRequest& request, const std::string& digest) const;
  // The current version. Throws Error(kNotFound).
  std::shared_ptr<const ConfigVersion> Current() const;
  InForceReport Report(int64_t version) const;
  // The id that the request gives its change; a new one if it gives none. Throws Error.
  static std::string ChangeId(const HttpRequest& request);
  // Writes the record; returns the version it made, also when an earlier copy made it. Throws
  // Error(kConflict) if it is void.
  std::shared_ptr<const ConfigVersion> CommitChange(const Record& record);
  std::shared_ptr<const ConfigVersion> WriteChange(const Record& record);
  // Waits until all have the version, at most as long as the request says, and answers.
  HttpResponse AnswerAccepted(const HttpRequest& request, const ConfigVersion& version,
                              int64_t default_wait_ms) const;

  EntryServer* const entry_;
};

}  // namespace turmericshift
