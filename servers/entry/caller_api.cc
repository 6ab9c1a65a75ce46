#include "servers/entry/caller_api.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "core/digest.h"
#include "core/error.h"
#include "core/http_client.h"
#include "core/logging.h"
#include "core/secret.h"
#include "core/units.h"
#include "servers/entry/entry_server.h"
#include "servers/planner/zone_choice.h"

namespace turmericshift {
namespace {

constexpr const char* kServicesPrefix = "/v1/services/";
constexpr const char* kJobsPath = "/v1/jobs";
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
constexpr Duration kMaxDeadline = std::chrono::minutes(10);
constexpr Duration kRecordTimeout = std::chrono::seconds(5);
constexpr size_t kUuidBytes = 36;
constexpr size_t kUuidVersionOffset = 14;
constexpr size_t kRequestIdBytes = 8;
constexpr size_t kMaxKeyBytes = 200;
// Header of a job query forwarded to the zone's planner; holds the forwarding entry's name.
constexpr const char* kAskedByHeader = "X-Asked-By";
constexpr Duration kAskPlannerTimeout = std::chrono::seconds(1);

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

Duration DeadlineOf(const HttpRequest& request) {
  const std::string header = request.header("Deadline");
  if (header.empty()) return kDefaultDeadline;
  return std::min(ParseDuration(header), kMaxDeadline);
}

// When the caller first used its key, in milliseconds since 1970: from the header
// "Idempotency-Key-Time", or from the key itself if it is a UUID of version 7 (RFC 9562), which
// begins with that time. 0 if neither is given.
int64_t KeyFirstUsedMs(const HttpRequest& request) {
  const std::string header = request.header("Idempotency-Key-Time");
  if (!header.empty()) return ParseInteger(header, 1, std::numeric_limits<int64_t>::max());
  std::string key = request.header("Idempotency-Key");
  const bool uuid7 = key.size() == kUuidBytes && key[8] == '-' && key[13] == '-' &&
                     key[kUuidVersionOffset] == '7' && key[18] == '-' && key[23] == '-';
  if (!uuid7) return 0;
  key = key.substr(0, 8) + key.substr(9, 4);
  const bool hexadecimal = key.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
  return hexadecimal ? std::stoll(key, nullptr, 16) : 0;
}

nlohmann::json JobJson(const JobRecord& job, int64_t running_attempt, const std::string& why) {
  nlohmann::json json = {
      {"job", job.id},          {"state", JobStateName(job.state)},      {"zone", job.zone},
      {"attempt", job.attempt}, {"submitted_ms", job.submitted_wall_ms}, {"spec", job.spec}};
  if (!job.reason.empty()) json["reason"] = job.reason;
  if (job.ended_wall_ms != 0) json["ended_ms"] = job.ended_wall_ms;
  if (job.state != JobState::kWaiting) return json;
  if (running_attempt != 0) {
    json["state"] = JobStateName(JobState::kRunning);
    json["attempt"] = running_attempt;
  } else {
    json["waiting_for"] = why.empty() ? "the zone's planner has not considered the job yet" : why;
  }
  return json;
}

// Logs the answer that the caller got; history checks compare it with what the agents ran.
void LogAnswered(const ServiceRequest& request, Time begun, nlohmann::json fields) {
  fields["request"] = request.request_id;
  fields["workspace"] = request.workspace;
  fields["key_tag"] = KeyTag(request.workspace, request.idempotency_key);
  fields["took_ms"] = 1000 * Seconds(DefaultClock().Now() - begun);
  LogEvent(LogLevel::kInfo, "request_answered", fields);
}

// Explains to the caller why this entry doesn't know what a job waits for.
std::string PlannerUnavailableReason(const PlannerEpoch& planner, const std::string& zone) {
  if (planner.process.empty()) return "no entry plans availability zone " + zone + " at present";
  return "entry " + planner.process + " plans availability zone " + zone +
         " but can't be reached at present";
}

}  // namespace

HttpResponse CallerApi::Handle(const HttpRequest& request) {
  if (request.path == "/healthz") return {200, "ok\n", {}};
  if (request.path == "/readyz") {
    if (entry_->ready()) return {200, "ready\n", {}};
    return {503, "not ready\n", {}};
  }
  const std::string workspace = entry_->tokens_.RequireWorkspace(request);
  if (StartsWith(request.path, kServicesPrefix)) return HandleService(request, workspace);
  if (StartsWith(request.path, kJobsPath)) return HandleJobs(request, workspace);
  throw Error(ErrorKind::kNotFound, "no such path: " + request.path);
}

HttpResponse CallerApi::HandleService(const HttpRequest& request, const std::string& workspace) {
  ServiceRequest service_request;
  service_request.request_id = RandomHex(kRequestIdBytes);
  service_request.workspace = workspace;
  const Time begun = DefaultClock().Now();
  try {
    if (request.method != "POST") throw Error(ErrorKind::kInvalidInput, "expected POST");
    const std::string rest = request.path.substr(std::string(kServicesPrefix).size());
    const size_t slash = rest.find('/');
    service_request.service = rest.substr(0, slash);
    service_request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    service_request.content_type = request.header("Content-Type");
    service_request.body = request.body;
    service_request.body_digest = Digest(request.body);
    service_request.time_left = DeadlineOf(request);
    service_request.idempotency_key = request.header("Idempotency-Key");
    if (service_request.idempotency_key.size() > kMaxKeyBytes) {
      throw Error(ErrorKind::kInvalidInput, "the idempotency key is too long");
    }
    const ServiceAnswer answer = entry_->router_->Route(service_request, KeyFirstUsedMs(request));
    LogAnswered(service_request, begun,
                {{"outcome", OutcomeName(Outcome::kRan)},
                 {"status", answer.status},
                 {"answer_digest", answer.body_digest}});
    HttpResponse response;
    response.status = answer.status;
    response.body = answer.body;
    response.headers = {{"X-Request-Id", service_request.request_id},
                        {"X-Body-Digest", answer.body_digest}};
    if (!answer.content_type.empty()) {
      response.headers.push_back({"Content-Type", answer.content_type});
    }
    return response;
  } catch (const Error& error) {
    LogAnswered(service_request, begun,
                {{"outcome", OutcomeName(error.outcome())},
                 {"status", ErrorInfoFor(error.kind()).http_status},
                 {"kind", ErrorInfoFor(error.kind()).name}});
    return ProblemResponse(error, service_request.request_id,
                           entry_->router_->RetryAfter(service_request.service, error));
  }
}

HttpResponse CallerApi::HandleJobs(const HttpRequest& request, const std::string& workspace) {
  const std::string key = request.path.size() > std::string(kJobsPath).size()
                              ? request.path.substr(std::string(kJobsPath).size() + 1)
                              : "";
  if (request.method == "POST" && key.empty()) return SubmitJob(request, workspace);
  if (request.method == "GET" && !key.empty()) return ShowJob(request, workspace, key);
  if (request.method == "DELETE" && !key.empty()) return CancelJob(request, workspace, key);
  if (request.method == "GET") {
    nlohmann::json list = nlohmann::json::array();
    for (const JobRecord& job : entry_->replicated_jobs_.List(workspace)) {
      list.push_back(JobJson(job, entry_->planners_->RunningAttempt(job),
                             entry_->planners_->WaitReasonFor(job)));
    }
    return JsonResponse(list.dump());
  }
  throw Error(ErrorKind::kInvalidInput,
              "expected POST or GET /v1/jobs, or GET or DELETE /v1/jobs/KEY");
}

HttpResponse CallerApi::SubmitJob(const HttpRequest& request, const std::string& workspace) {
  JobSubmitted record;
  record.spec = ParseJobSpec(request.body);
  if (record.spec.workspace != workspace) {
    throw Error(ErrorKind::kForbidden,
                "the job's workspace differs from the token's workspace, " + workspace);
  }
  const auto config = entry_->replicated_config_.current();
  record.id = NewRecordId();
  record.config_version = config->version;
  record.wall_ms = DefaultClock().WallMillis();
  const Feasibility feasibility(config->environment);
  if (const auto refusal = feasibility.Anywhere(record.spec)) {
    throw Error(ErrorKind::kImpossible, "the job can never run: " + refusal->Text());
  }
  const ZoneLoads loads = LoadsOf(*config->environment, entry_->replicated_jobs_);
  record.zone = ChooseZone(*config->environment, feasibility, record.spec, loads);
  if (record.zone.empty()) {
    throw Error(ErrorKind::kUnavailable,
                "none of the availability zones that the job allows is in");
  }
  const WriteResult written = entry_->job_stream_.Write(record, kRecordTimeout);
  const std::string id = JobId(workspace, record.spec.key);
  LogEvent(LogLevel::kInfo, "job_accepted",
           {{"job", id}, {"zone", record.zone}, {"workspace", workspace}});
  const std::optional<JobRecord> job = entry_->replicated_jobs_.Find(id);
  return JsonResponse(JobJson(*job, 0, "").dump(), written.verdict.accepted ? 201 : 200);
}

HttpResponse CallerApi::ShowJob(const HttpRequest& request, const std::string& workspace,
                                const std::string& key) {
  const std::optional<JobRecord> job = entry_->replicated_jobs_.Find(JobId(workspace, key));
  if (!job) throw Error(ErrorKind::kNotFound, "no job '" + key + "' in this workspace");
  const std::string planner_answer = AskPlanner(request, *job);
  if (!planner_answer.empty()) return JsonResponse(planner_answer);
  std::string why = entry_->planners_->WaitReasonFor(*job);
  if (why.empty()) {
    why = PlannerUnavailableReason(entry_->replicated_jobs_.Planner(job->zone), job->zone);
  }
  return JsonResponse(JobJson(*job, entry_->planners_->RunningAttempt(*job), why).dump());
}

std::string CallerApi::AskPlanner(const HttpRequest& request, const JobRecord& job) {
  const PlannerEpoch planner = entry_->replicated_jobs_.Planner(job.zone);
  const bool self = planner.process.empty() || planner.process == entry_->options_.process;
  // Forwarded only once, so that two entries with different views don't forward a query forever.
  if (job.state != JobState::kWaiting || self || !request.header(kAskedByHeader).empty()) return "";
  for (const MemberJoined& member : entry_->replicated_members_.members()) {
    if (member.process != planner.process || member.caller_address.empty()) continue;
    HttpCall call;
    call.url = "http://" + member.caller_address + kJobsPath + "/" + job.spec.key;
    call.headers = {{"Authorization", request.header("Authorization")},
                    {kAskedByHeader, entry_->options_.process}};
    call.timeout = kAskPlannerTimeout;
    try {
      const HttpReply reply = PerformHttp(call);
      if (reply.status == 200) return reply.body;
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "planner_not_asked",
               {{"planner", planner.process}, {"error", error.what()}});
    }
  }
  return "";
}

HttpResponse CallerApi::CancelJob(const HttpRequest& request, const std::string& workspace,
                                  const std::string& key) {
  const std::string id = JobId(workspace, key);
  if (!entry_->replicated_jobs_.Find(id)) {
    throw Error(ErrorKind::kNotFound, "no job '" + key + "' in this workspace");
  }
  entry_->job_stream_.Write(JobCancelled{NewRecordId(), id}, kRecordTimeout);
  return ShowJob(request, workspace, key);
}

}  // namespace turmericshift
