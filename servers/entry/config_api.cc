#include "servers/entry/config_api.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <thread>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"
#include "core/secret.h"
#include "core/units.h"
#include "servers/config/guarantee_check.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(5);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr int64_t kMaxWaitMs = 60000;
// An operator who takes a zone out needs to know that it is out, so the answer waits by default.
constexpr int64_t kDefaultZoneWaitMs = 5000;
constexpr size_t kMaxChangeIdBytes = 64;
constexpr const char* kConfigPath = "/v1/config";
constexpr const char* kVersionsPath = "/v1/config/versions/";
constexpr const char* kZonesPath = "/v1/zones/";

nlohmann::json VersionJson(const ConfigVersion& version) {
  return {{"version", version.version},
          {"change", version.change},
          {"digest", version.digest},
          {"author", version.author},
          {"published_ms", version.wall_ms}};
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

int64_t RequiredNumber(const HttpRequest& request, const std::string& name) {
  const std::string text = request.argument(name);
  if (text.empty()) throw Error(ErrorKind::kInvalidInput, "expected a number: ?" + name + "=N");
  return ParseInteger(text, 0, INT64_MAX);
}

}  // namespace

std::string PromotionProof(const std::string& key, const std::string& environment, int64_t version,
                           const std::string& digest) {
  return Prove(key, "promotion:" + environment + ":" + std::to_string(version) + ":" + digest);
}

bool ConfigApi::Handles(const std::string& path) {
  return StartsWith(path, kConfigPath) || StartsWith(path, kZonesPath);
}

HttpResponse ConfigApi::Handle(const HttpRequest& request) {
  const bool is_get = request.method == "GET";
  if (request.path == kConfigPath && is_get) return ShowVersion(Current()->version);
  if (request.path == kConfigPath) return Publish(request);
  if (request.path == "/v1/config/history" && is_get) return ShowHistory();
  if (request.path == "/v1/config/in-force" && is_get) return ShowInForce(request);
  if (request.path == "/v1/config/statement" && is_get) return IssueStatement(request);
  if (StartsWith(request.path, kVersionsPath) && is_get) {
    const std::string number = request.path.substr(std::string(kVersionsPath).size());
    return ShowVersion(ParseInteger(number, 1, INT64_MAX));
  }
  if (StartsWith(request.path, kZonesPath) && !is_get) return SetZone(request);
  throw Error(ErrorKind::kNotFound, "no such path: " + request.path);
}

std::shared_ptr<const ConfigVersion> ConfigApi::Current() const {
  auto current = entry_->replicated_config_.current();
  if (!current) throw Error(ErrorKind::kNotFound, "no environment document has been published yet");
  return current;
}

HttpResponse ConfigApi::ShowVersion(int64_t version) const {
  const auto found = entry_->replicated_config_.Find(version);
  if (!found) {
    throw Error(ErrorKind::kNotFound,
                "version " + std::to_string(version) + " is not in the history");
  }
  nlohmann::json json = VersionJson(*found);
  json["environment"] = entry_->replicated_config_.environment_name();
  json["text"] = found->text;
  return JsonResponse(json.dump());
}

HttpResponse ConfigApi::ShowHistory() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& item : entry_->replicated_config_.history()) list.push_back(VersionJson(*item));
  return JsonResponse(list.dump());
}

InForceReport ConfigApi::Report(int64_t version) const {
  const Time now = DefaultClock().Now();
  std::vector<PeerState> peers = entry_->peers_.RecentlySeen(now, kInForceMaxReportAge);
  // This entry knows its own version without an agent's report.
  const auto current = entry_->replicated_config_.current();
  const EntryMember self{entry_->options_.process, entry_->options_.zone, ""};
  peers.push_back({self, current ? current->version : 0, now});
  return ReportInForce(version, entry_->directory_.Agents(""),
                       entry_->replicated_members_.members(), peers, now);
}

HttpResponse ConfigApi::ShowInForce(const HttpRequest& request) const {
  return JsonResponse(Report(RequiredNumber(request, "version")).ToJson());
}

HttpResponse ConfigApi::IssueStatement(const HttpRequest& request) const {
  const EntryOptions& options = entry_->options_;
  if (options.promotion_key.empty() || options.environment.empty()) {
    throw Error(
        ErrorKind::kConflict,
        "this entry has no promotion key or no environment name, so it can't make statements");
  }
  const auto current = Current();
  if (RequiredNumber(request, "version") != current->version) {
    throw Error(ErrorKind::kConflict,
                "a statement is possible only for the newest version, which is " +
                    std::to_string(current->version));
  }
  const InForceReport report = Report(current->version);
  const bool has_agents = std::any_of(report.zones.begin(), report.zones.end(),
                                      [](const auto& zone) { return zone.second.agents > 0; });
  if (!report.complete() || !has_agents) {
    throw Error(ErrorKind::kConflict, "the version is not in force everywhere: " + report.ToJson());
  }
  return JsonResponse(
      nlohmann::json({{"environment", options.environment},
                      {"version", current->version},
                      {"digest", current->digest},
                      {"proof", PromotionProof(options.promotion_key, options.environment,
                                               current->version, current->digest)}})
          .dump());
}

void ConfigApi::RequireTrialProof(const HttpRequest& request, const std::string& digest) const {
  const EntryOptions& options = entry_->options_;
  if (options.trial.empty()) return;
  // A document that was in force here before is a rollback, which must not have to wait until the
  // trial environment has the document in force again.
  for (const auto& version : entry_->replicated_config_.history()) {
    if (version->digest == digest) return;
  }
  const std::string proof = request.argument("trial_proof");
  if (proof.empty()) {
    throw Error(ErrorKind::kForbidden,
                "this environment accepts only documents that " + options.trial + " had in force");
  }
  const std::string expected = PromotionProof(options.promotion_key, options.trial,
                                              RequiredNumber(request, "trial_version"), digest);
  // Compares keyed hashes of both proofs, in constant time.
  if (options.promotion_key.empty() ||
      !ProofHolds("promotion", proof, Prove("promotion", expected))) {
    throw Error(ErrorKind::kForbidden,
                options.trial + " did not have this document in force as the stated version");
  }
}

std::string ConfigApi::ChangeId(const HttpRequest& request) {
  const std::string change = request.argument("change");
  if (change.empty()) return NewRecordId();
  const bool plain = std::all_of(change.begin(), change.end(), [](unsigned char letter) {
    return std::isalnum(letter) != 0 || letter == '-';
  });
  if (!plain || change.size() > kMaxChangeIdBytes) {
    throw Error(ErrorKind::kInvalidInput,
                "a change id may hold only letters, digits and '-', with a maximum length of " +
                    std::to_string(kMaxChangeIdBytes));
  }
  return change;
}

HttpResponse ConfigApi::Publish(const HttpRequest& request) {
  const Environment environment = ParseEnvironment("document", request.body);
  RequireGuarantees("document", CheckGuarantees(environment));
  ConfigPublished record;
  record.id = ChangeId(request);
  record.parent = RequiredNumber(request, "parent");
  record.version = record.parent + 1;
  record.text = request.body;
  record.digest = Digest(record.text);
  record.author = request.argument("author");
  record.wall_ms = DefaultClock().WallMillis();
  record.environment = entry_->options_.environment;
  record.sets_zones = request.argument("zone_states") == "replace";
  record.keeps_zones = request.argument("zone_states") == "keep";
  RequireTrialProof(request, record.digest);
  return AnswerAccepted(request, *CommitChange(record), 0);
}

HttpResponse ConfigApi::SetZone(const HttpRequest& request) {
  const std::string rest = request.path.substr(std::string(kZonesPath).size());
  const size_t slash = rest.find('/');
  const std::string state = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (state != "in" && state != "out") {
    throw Error(ErrorKind::kInvalidInput, "use /v1/zones/NAME/in or /v1/zones/NAME/out");
  }
  ZoneChanged record{
      ChangeId(request),          rest.substr(0, slash),       state == "in",
      request.argument("author"), DefaultClock().WallMillis(), entry_->options_.environment};
  if (Current()->environment->FindZone(record.zone) == nullptr) {
    throw Error(ErrorKind::kNotFound, "no availability zone named '" + record.zone + "'");
  }
  return AnswerAccepted(request, *CommitChange(record), kDefaultZoneWaitMs);
}

std::shared_ptr<const ConfigVersion> ConfigApi::CommitChange(const Record& record) {
  if (auto earlier = entry_->replicated_config_.FindChange(RecordId(record))) return earlier;
  std::shared_ptr<const ConfigVersion> accepted = WriteChange(record);
  LogEvent(LogLevel::kInfo, "config_accepted",
           {{"version", accepted->version},
            {"change", accepted->change},
            {"digest", accepted->digest},
            {"author", accepted->author},
            {"zones_out", accepted->environment->ZonesOut()}});
  return accepted;
}

std::shared_ptr<const ConfigVersion> ConfigApi::WriteChange(const Record& record) {
  try {
    const WriteResult written = entry_->config_stream_.Write(record, kRecordTimeout);
    if (!written.verdict.accepted) throw Error(ErrorKind::kConflict, written.verdict.reason);
  } catch (const Error& error) {
    // A copy that another entry wrote may have been applied just before this entry's own.
    auto earlier = entry_->replicated_config_.FindChange(RecordId(record));
    if (!earlier) throw;
    LogEvent(LogLevel::kInfo, "config_change_found",
             {{"change", earlier->change}, {"error", error.what()}});
    return earlier;
  }
  // Missing only if so many changes followed that this change has left the history again.
  auto accepted = entry_->replicated_config_.FindChange(RecordId(record));
  return accepted ? accepted : Current();
}

HttpResponse ConfigApi::AnswerAccepted(const HttpRequest& request, const ConfigVersion& version,
                                       int64_t default_wait_ms) const {
  const std::string wait = request.argument("wait_ms");
  const int64_t wait_ms = wait.empty() ? default_wait_ms : ParseInteger(wait, 0, kMaxWaitMs);
  const Time limit = DefaultClock().Now() + std::chrono::milliseconds(wait_ms);
  InForceReport report = Report(version.version);
  while (!report.complete() && !entry_->leaving_.load() && DefaultClock().Now() < limit) {
    std::this_thread::sleep_for(kPollInterval);
    report = Report(version.version);
  }
  nlohmann::json json = VersionJson(version);
  json["in_force"] = nlohmann::json::parse(report.ToJson());
  json["warnings"] = CheckGuarantees(*version.environment).warnings;
  return JsonResponse(json.dump(), 201);
}

}  // namespace turmericshift
