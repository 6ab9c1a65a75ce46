#include "servers/entry/entry_server.h"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

#include "core/error.h"
#include "core/logging.h"
#include "core/secret.h"
#include "servers/entry/caller_api.h"
#include "servers/entry/operator_api.h"

namespace turmericshift {
namespace {

constexpr Duration kStartupGracePeriod = std::chrono::seconds(10);
constexpr size_t kIncarnationBytes = 8;
constexpr Duration kRecordTimeout = std::chrono::seconds(3);
constexpr Duration kStepDownTimeout = std::chrono::seconds(5);
constexpr Duration kUpkeepInterval = std::chrono::seconds(1);
// Entries from which no agent has received an answer for this long are removed from the members.
// The time lets a partition heal; an entry that becomes reachable again finds itself missing and
// joins again.
constexpr Duration kMemberTimeout = std::chrono::seconds(60);
// Entries learn of each other through heartbeats; peers seen within this time are passed on.
constexpr Duration kMaxPeerAge = std::chrono::seconds(30);

}  // namespace

// This entry's side of the session with one agent.
class EntryServer::AgentSession : public EntryPort {
 public:
  AgentSession(EntryServer* entry, AgentHello hello) : entry_(entry), hello_(std::move(hello)) {}

  HeartbeatReply Heartbeat(const AgentHeartbeat& beat, Duration /*timeout*/) override {
    const Time now = DefaultClock().Now();
    entry_->directory_.RecordHeartbeat(hello_, beat, now);
    entry_->peers_.RecordHeartbeat(beat, now);
    return entry_->MakeHeartbeatReply(hello_, beat);
  }

 private:
  EntryServer* const entry_;
  const AgentHello hello_;
};

EntryServer::EntryServer(const EntryOptions& options, LogService* log, MetricsRegistry* metrics)
    : options_(options),
      metrics_(metrics),
      incarnation_(RandomHex(kIncarnationBytes)),
      budget_(options.appends_per_second),
      config_stream_(Stream::kConfig, log, &replicated_config_, metrics,
                     OptionsFor(Stream::kConfig)),
      job_stream_(Stream::kJobs, log, &replicated_jobs_, metrics, OptionsFor(Stream::kJobs)),
      request_stream_(Stream::kRequests, log, &replicated_requests_, metrics,
                      OptionsFor(Stream::kRequests)),
      member_stream_(Stream::kMembers, log, &replicated_members_, metrics,
                     OptionsFor(Stream::kMembers)),
      tokens_(&replicated_config_) {
  RouterOptions router;
  router.sender.own_zone = options.zone;
  router.sender.outliers.enabled = options.eject_outliers;
  router_ = std::make_unique<RequestRouter>(
      router, RoutingPolicyRegistry::Instance().Create(options.routing_policy, options.seed),
      &directory_, &request_stream_, &replicated_requests_, &replicated_config_, metrics);
  ZonePlannerManagerOptions planners;
  planners.process = options.process;
  planners.own_zone = options.zone;
  planners.policy = options.placement_policy;
  planners_ = std::make_unique<ZonePlannerManager>(planners, &directory_, &job_stream_,
                                                   &replicated_jobs_, &replicated_config_, metrics);
  caller_http_ = std::make_unique<HttpServer>(
      options.caller_http,
      [this](const HttpRequest& request) { return CallerApi(this).Handle(request); });
  operator_http_ = std::make_unique<HttpServer>(
      options.operator_http,
      [this](const HttpRequest& request) { return OperatorApi(this).Handle(request); });
  upkeep_ = Thread(ThreadRole::kEssential, "entry-upkeep", [this] { RunUpkeep(); });
}

EntryServer::~EntryServer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  caller_http_.reset();
  operator_http_.reset();
  planners_.reset();
  for (StreamClient* stream : {&config_stream_, &job_stream_, &request_stream_, &member_stream_}) {
    stream->BeginStop();
  }
  upkeep_.Join();
}

std::shared_ptr<EntryPort> EntryServer::OpenAgent(const AgentHello& hello,
                                                  std::shared_ptr<AgentPort> agent) {
  directory_.Open(hello, std::move(agent), DefaultClock().Now());
  LogEvent(LogLevel::kInfo, "agent_opened",
           {{"agent", hello.process}, {"incarnation", hello.incarnation}});
  return std::make_shared<AgentSession>(this, hello);
}

StreamOptions EntryServer::OptionsFor(Stream stream) {
  StreamOptions options;
  options.budget = &budget_;
  options.snapshot_period = options_.snapshot_period;
  if (stream == Stream::kConfig) {
    // A read that hangs must be counted as failed before the bound for zone changes has passed.
    options.long_poll_wait = std::chrono::milliseconds(500);
    options.read_timeout = std::chrono::milliseconds(1500);
  }
  return options;
}

void EntryServer::AnnounceAddress(const std::string& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    address_ = address;
  }
  try {
    JoinIfMissing();
  } catch (const Error& error) {
    // The next round of Upkeep retries.
    LogEvent(LogLevel::kWarning, "member_not_recorded", {{"error", error.what()}});
  }
}

std::string EntryServer::CallerAddress(const std::string& peer_address) const {
  // The host that peers reach, with the caller port.
  return peer_address.substr(0, peer_address.rfind(':')) + ":" + std::to_string(caller_port());
}

void EntryServer::JoinIfMissing() {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    address = address_;
  }
  if (address.empty() || leaving_.load()) return;
  for (const MemberJoined& member : replicated_members_.members()) {
    if (member.process != options_.process) continue;
    if (member.incarnation == incarnation_ && member.address == address) return;
  }
  member_stream_.Write(MemberJoined{NewRecordId(), options_.process, "entry", options_.zone,
                                    address, incarnation_, CallerAddress(address)},
                       kRecordTimeout);
}

void EntryServer::RemoveSilentMembers(Time now) {
  std::set<std::string> seen;
  for (const PeerState& peer : peers_.RecentlySeen(now, kMemberTimeout)) {
    seen.insert(peer.entry.process);
  }
  // Without agents this entry gets no reports about entries and can't tell which entries are
  // silent.
  if (seen.count(options_.process) == 0) {
    silent_since_.clear();
    return;
  }
  for (const MemberJoined& member : replicated_members_.members()) {
    if (seen.count(member.process) != 0) {
      silent_since_.erase(member.process);
      continue;
    }
    const Time since = silent_since_.try_emplace(member.process, now).first->second;
    if (now - since < kMemberTimeout) continue;
    silent_since_.erase(member.process);
    member_stream_.Write(MemberLeft{NewRecordId(), member.process, member.incarnation},
                         kRecordTimeout);
    LogEvent(LogLevel::kWarning, "member_dropped", {{"entry", member.process}});
  }
}

void EntryServer::RunUpkeep() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop_.wait_for(lock, kUpkeepInterval, [this] { return stopping_; })) {
    lock.unlock();
    Upkeep(DefaultClock().Now());
    lock.lock();
  }
}

void EntryServer::Upkeep(Time now) {
  const int64_t wall_ms = DefaultClock().WallMillis();
  try {
    if (member_stream_.view().ever_fresh && !member_stream_.view().failing) {
      JoinIfMissing();
      RemoveSilentMembers(now);
    }
    for (StreamClient* stream :
         {&config_stream_, &request_stream_, &job_stream_, &member_stream_}) {
      stream->WriteSnapshotIfDue(now, wall_ms);
    }
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "upkeep_failed", {{"error", error.what()}});
  }
}

bool EntryServer::ready() const {
  // An entry that has just started knows no target until agents connect, and would turn away
  // callers whom other entries could serve. After the grace period it becomes ready without agents,
  // as it must still accept jobs.
  const bool grace_period_over = DefaultClock().Now() - started_ > kStartupGracePeriod;
  if (!grace_period_over && directory_.Agents("").empty()) return false;
  return !leaving_.load() && replicated_config_.current() != nullptr &&
         job_stream_.view().ever_fresh && request_stream_.view().ever_fresh;
}

// The load balancer checks only from time to time whether this entry is ready, and sends callers
// here until it finds that the entry is not. The callers' connections would be refused if the entry
// stopped accepting earlier.
void EntryServer::WaitForBalancer() const { std::this_thread::sleep_for(options_.balancer_notice); }

bool EntryServer::Leave(Duration limit) {
  const Time until = DefaultClock().Now() + limit;
  leaving_.store(true);
  LogEvent(LogLevel::kInfo, "entry_leaving");
  caller_http_->CloseAfterAnswers();
  WaitForBalancer();
  caller_http_->StopAccepting();
  bool drained = caller_http_->Drain(limit);
  // Steps down, so that the next planner need not wait until this entry times out.
  planners_->Leave(kStepDownTimeout);
  try {
    member_stream_.Write(MemberLeft{NewRecordId(), options_.process, incarnation_}, kRecordTimeout);
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "member_not_recorded", {{"error", error.what()}});
  }
  operator_http_->StopAccepting();
  drained = operator_http_->Drain(until - DefaultClock().Now()) && drained;
  return drained;
}

HeartbeatReply EntryServer::MakeHeartbeatReply(const AgentHello& hello,
                                               const AgentHeartbeat& beat) const {
  HeartbeatReply answer;
  const Time now = DefaultClock().Now();
  const StreamView view = config_stream_.view();
  if (view.ever_fresh) answer.freshness.age = now - view.fresh_at;
  answer.freshness.failing = view.failing;
  // The document is fetched after the time of the newest log read (the freshness), so that the
  // document is at least as new as that read.
  const auto current = replicated_config_.current();
  if (current) {
    answer.config_version = current->version;
    answer.config_digest = current->digest;
    if (current->version > beat.config_version) answer.config_text = current->text;
  }
  // The epoch is fetched after the time of the newest log read (the freshness), so that the epoch
  // is at least as new as that read.
  const StreamView jobs = job_stream_.view();
  if (jobs.ever_fresh) answer.jobs_freshness.age = now - jobs.fresh_at;
  answer.jobs_freshness.failing = jobs.failing;
  const PlannerEpoch epoch = replicated_jobs_.Planner(hello.zone);
  answer.planner_epoch = epoch.epoch;
  answer.planner_active = epoch.process == options_.process && planners_->Active(hello.zone);
  // An agent may have received a newer version from an entry that has ended since. Reporting that
  // version without its text tells other agents that this entry's document is not the newest.
  if (peers_.highest_version() > answer.config_version) {
    answer.config_version = peers_.highest_version();
    answer.config_digest.clear();
    answer.config_text.clear();
  }
  answer.environment = replicated_config_.environment_name();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer.self = {options_.process, options_.zone, address_};
  }
  std::vector<EntryMember> members = KnownEntries(now);
  for (const EntryMember& member : members) {
    // Recorded members come before reported peers, so the first match is the recorded address.
    const bool first = answer.planner_address.empty();
    if (first && member.process == epoch.process) answer.planner_address = member.address;
  }
  if (DigestMembers(members) != beat.members_digest) answer.members = std::move(members);
  return answer;
}

std::vector<EntryMember> EntryServer::KnownEntries(Time now) const {
  std::vector<EntryMember> result;
  for (const MemberJoined& member : replicated_members_.members()) {
    result.push_back({member.process, member.zone, member.address});
  }
  // While the log is down, agents know of entries that could not join. Reported entries are added
  // to the recorded ones and never replace them: agents still report a replaced entry at its old
  // address, and would keep trying that address and never find its successor.
  for (const PeerState& peer : peers_.RecentlySeen(now, kMaxPeerAge)) {
    const EntryMember& entry = peer.entry;
    const bool listed = std::any_of(result.begin(), result.end(), [&](const EntryMember& member) {
      return member.process == entry.process && member.address == entry.address;
    });
    if (!entry.address.empty() && !listed) result.push_back(entry);
  }
  return result;
}

}  // namespace turmericshift
