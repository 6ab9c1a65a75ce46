#include "servers/entry/entry_server.h"

#include <utility>

#include "core/error.h"
#include "core/logging.h"
#include "core/secret.h"
#include "servers/entry/caller_api.h"
#include "servers/entry/operator_api.h"

namespace turmericshift {
namespace {

constexpr size_t kIncarnationBytes = 8;
constexpr Duration kRecordTimeout = std::chrono::seconds(3);

}  // namespace

// One agent's session, as this entry serves it.
class EntryServer::Port : public EntryPort {
 public:
  Port(EntryServer* entry, AgentHello hello) : entry_(entry), hello_(std::move(hello)) {}

  EntryBeat Heartbeat(const AgentBeat& beat, Duration /*timeout*/) override {
    entry_->directory_.Heard(hello_, beat, DefaultClock().Now());
    return entry_->MakeBeat(hello_, beat);
  }

 private:
  EntryServer* const entry_;
  const AgentHello hello_;
};

EntryServer::EntryServer(const EntryOptions& options, LogService* log, MetricsRegistry* metrics)
    : options_(options),
      metrics_(metrics),
      incarnation_(RandomHex(kIncarnationBytes)),
      config_stream_(Stream::kConfig, log, &config_fold_, metrics),
      job_stream_(Stream::kJobs, log, &job_fold_, metrics),
      request_stream_(Stream::kRequests, log, &request_fold_, metrics),
      member_stream_(Stream::kMembers, log, &member_fold_, metrics),
      tokens_(&config_fold_) {
  RouterOptions router;
  router.sender.own_zone = options.zone;
  router.sender.judge.enabled = options.eject_outliers;
  router_ = std::make_unique<RequestRouter>(
      router, RoutingPolicyRegistry::Instance().Create(options.routing_policy, options.seed),
      &directory_, &request_stream_, &request_fold_, &config_fold_, metrics);
  PlannerOptions planner;
  planner.zone = options.zone;
  planner.process = options.process;
  planner.policy = options.placement_policy;
  planner_ = std::make_unique<PlannerDuty>(planner, &directory_, &job_stream_, &job_fold_,
                                           &config_fold_, metrics);
  caller_http_ = std::make_unique<HttpServer>(
      options.caller_http,
      [this](const HttpRequest& request) { return CallerApi(this).Handle(request); });
  operator_http_ = std::make_unique<HttpServer>(
      options.operator_http,
      [this](const HttpRequest& request) { return OperatorApi(this).Handle(request); });
}

EntryServer::~EntryServer() {
  caller_http_.reset();
  operator_http_.reset();
  planner_.reset();
  for (StreamClient* stream : {&config_stream_, &job_stream_, &request_stream_, &member_stream_}) {
    stream->BeginStop();
  }
}

std::shared_ptr<EntryPort> EntryServer::OpenAgent(const AgentHello& hello,
                                                  std::shared_ptr<AgentPort> agent) {
  directory_.Open(hello, std::move(agent), DefaultClock().Now());
  LogEvent(LogLevel::kInfo, "agent_opened",
           {{"agent", hello.process}, {"incarnation", hello.incarnation}});
  return std::make_shared<Port>(this, hello);
}

void EntryServer::AnnounceAddress(const std::string& address) {
  address_ = address;
  try {
    member_stream_.Write(MemberJoined{NewRecordId(), options_.process, "entry", options_.zone,
                                      address, incarnation_},
                         kRecordTimeout);
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "member_not_recorded", {{"error", error.what()}});
  }
}

bool EntryServer::ready() const {
  return !leaving_.load() && config_fold_.current() != nullptr && job_stream_.view().ever_fresh &&
         request_stream_.view().ever_fresh;
}

bool EntryServer::Leave(Duration limit) {
  leaving_.store(true);
  LogEvent(LogLevel::kInfo, "entry_leaving");
  caller_http_->StopAccepting();
  const bool drained = caller_http_->Drain(limit);
  try {
    member_stream_.Write(MemberLeft{NewRecordId(), options_.process, incarnation_}, kRecordTimeout);
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "member_not_recorded", {{"error", error.what()}});
  }
  return drained;
}

EntryBeat EntryServer::MakeBeat(const AgentHello& hello, const AgentBeat& beat) const {
  EntryBeat answer;
  const StreamView view = config_stream_.view();
  if (view.ever_fresh) answer.freshness.age = DefaultClock().Now() - view.fresh_at;
  answer.freshness.failing = view.failing;
  // Read after the freshness, so that the document is at least as new as the freshness says.
  const auto current = config_fold_.current();
  if (current) {
    answer.config_version = current->version;
    if (current->version > beat.config_version) answer.config_text = current->text;
  }
  // The freshness is read before the epoch, so that the epoch is at least as new.
  const StreamView jobs = job_stream_.view();
  if (jobs.ever_fresh) answer.jobs_freshness.age = DefaultClock().Now() - jobs.fresh_at;
  answer.jobs_freshness.failing = jobs.failing;
  const PlannerEpoch epoch = job_fold_.Planner(hello.zone);
  answer.planner_epoch = epoch.epoch;
  answer.planner_active = epoch.process == options_.process;
  for (const MemberJoined& member : member_fold_.members()) {
    answer.entries.push_back(member.address);
    if (member.process == epoch.process) answer.planner_address = member.address;
  }
  return answer;
}

}  // namespace turmericshift
