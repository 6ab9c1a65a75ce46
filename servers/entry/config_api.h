// HTTP API for operators: the environment document and the state of availability zones.
//
//   GET  /v1/config                     the document in force: version, digest, author, text
//   GET  /v1/config/history             the newest versions, oldest first
//   GET  /v1/config/versions/N          version N with its text, for a rollback
//   GET  /v1/config/in-force?version=N  by zone: how many processes have version N in force, and
//                                       which don't
//   POST /v1/config?parent=N            publishes the body as version N+1
//        &author=NAME                   who publishes; shown in the history
//        &zone_states=replace           lets the document change the state of zones
//        &zone_states=keep              zones keep their state, whatever the document says
//        &trial_version=&trial_proof=   the trial's statement, where promotion requires it
//        &wait_ms=M                     answers once all have the version in force, or after M ms
//        &change=ID                     a change that is repeated under its ID, at any entry, takes
//                                       effect once
//   GET  /v1/config/statement?version=N a statement, with proof, that this whole environment has N
//                                       in force
//   POST /v1/zones/NAME/out             takes the zone out, on top of the newest document
//   POST /v1/zones/NAME/in              brings the zone back; both take author, wait_ms and change
#pragma once

#include <memory>
#include <string>

#include "core/http_server.h"
#include "servers/entry/in_force.h"
#include "servers/state/replicated_config.h"

namespace turmericshift {

class EntryServer;

// Proof that `environment` had the document of `digest` in force as `version`. Entries of the trial
// environment issue the proof, the operator's command transfers it, and entries of the production
// environment verify it. `key` is known to the entries of both environments.
std::string PromotionProof(const std::string& key, const std::string& environment, int64_t version,
                           const std::string& digest);

class ConfigApi {
 public:
  explicit ConfigApi(EntryServer* entry) : entry_(entry) {}

  // Whether `path` belongs to this API.
  static bool Handles(const std::string& path);
  // Requires that the caller was authenticated as an operator. Throws Error.
  HttpResponse Handle(const HttpRequest& request);

 private:
  HttpResponse ShowVersion(int64_t version) const;
  HttpResponse ShowHistory() const;
  HttpResponse ShowInForce(const HttpRequest& request) const;
  HttpResponse IssueStatement(const HttpRequest& request) const;
  HttpResponse Publish(const HttpRequest& request);
  HttpResponse SetZone(const HttpRequest& request);
  // Throws Error(kForbidden) unless the request carries the trial environment's PromotionProof for
  // the document of `digest`, this environment requires no trial, or the document was in force here
  // before.
  void RequireTrialProof(const HttpRequest& request, const std::string& digest) const;
  // The version in force. Throws Error(kNotFound) before the first document.
  std::shared_ptr<const ConfigVersion> Current() const;
  InForceReport Report(int64_t version) const;
  // The request's change id, or a new id if it has none. Throws Error(kInvalidInput).
  static std::string ChangeId(const HttpRequest& request);
  // Writes the record unless an earlier copy of it took effect, and returns the version that the
  // change made. Throws Error(kConflict) if the record is rejected.
  std::shared_ptr<const ConfigVersion> CommitChange(const Record& record);
  std::shared_ptr<const ConfigVersion> WriteChange(const Record& record);
  // Waits until all processes have the version in force or wait_ms has passed, and answers.
  HttpResponse AnswerAccepted(const HttpRequest& request, const ConfigVersion& version,
                              int64_t default_wait_ms) const;

  EntryServer* const entry_;
};

}  // namespace turmericshift
