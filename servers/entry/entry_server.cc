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

constexpr Duration kSettleTime = std::chrono::seconds(10);
constexpr size_t kIncarnationBytes = 8;
constexpr Duration kRecordTimeout = std::chrono::seconds(3);
constexpr Duration kHandOverLimit = std::chrono::seconds(5);
constexpr Duration kUpkeepPeriod = std::chrono::seconds(1);
// An entry of which no agent has heard for so long is gone. Long enough for a partition to heal:
// an entry that comes back finds itself missing and joins again.
constexpr Duration kMemberSilence = std::chrono::seconds(60);
// Word of entries spreads with the heartbeats; a peer that was heard so lately is passed on.
constexpr Duration kPeerSilence = std::chrono::seconds(30);

}  // namespace

// One agent's session, as this entry serves it.
class EntryServer::Port : public EntryPort {
 public:
  Port(EntryServer* entry, AgentHello hello) : entry_(entry), hello_(std::move(hello)) {}

  EntryBeat Heartbeat(const AgentBeat& beat, Duration /*timeout*/) override {
    const Time now = DefaultClock().Now();
    entry_->directory_.Heard(hello_, beat, now);
    entry_->peers_.Hear(beat, now);
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
      budget_(options.appends_per_second),
      config_stream_(Stream::kConfig, log, &config_fold_, metrics, OptionsFor(Stream::kConfig)),
      job_stream_(Stream::kJobs, log, &job_fold_, metrics, OptionsFor(Stream::kJobs)),
      request_stream_(Stream::kRequests, log, &request_fold_, metrics,
                      OptionsFor(Stream::kRequests)),
      member_stream_(Stream::kMembers, log, &member_fold_, metrics, OptionsFor(Stream::kMembers)),
      tokens_(&config_fold_) {
  RouterOptions router;
  router.sender.own_zone = options.zone;
  router.sender.outliers.enabled = options.eject_outliers;
  router_ = std::make_unique<RequestRouter>(
      router, RoutingPolicyRegistry::Instance().Create(options.routing_policy, options.seed),
      &directory_, &request_stream_, &request_fold_, &config_fold_, metrics);
  ZonePlannerManagerOptions planners;
  planners.process = options.process;
  planners.own_zone = options.zone;
  planners.policy = options.placement_policy;
  planners_ = std::make_unique<ZonePlannerManager>(planners, &directory_, &job_stream_, &job_fold_,
                                                   &config_fold_, metrics);
  caller_http_ = std::make_unique<HttpServer>(
      options.caller_http,
      [this](const HttpRequest& request) { return CallerApi(this).Handle(request); });
  operator_http_ = std::make_unique<HttpServer>(
      options.operator_http,
      [this](const HttpRequest& request) { return OperatorApi(this).Handle(request); });
  upkeep_ = Thread("entry-upkeep", [this] { RunUpkeep(); });
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
  return std::make_shared<Port>(this, hello);
}

StreamOptions EntryServer::OptionsFor(Stream stream) {
  StreamOptions options;
  options.budget = &budget_;
  options.snapshot_period = options_.snapshot_period;
  if (stream == Stream::kConfig) {
    // A read that hangs must count as failed before the bound on zone changes has passed.
    options.read_wait = std::chrono::milliseconds(500);
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
    // The upkeep tries again.
    LogEvent(LogLevel::kWarning, "member_not_recorded", {{"error", error.what()}});
  }
}

std::string EntryServer::CallerAddress(const std::string& peer_address) const {
  // The same machine as its peers reach; the caller port is another.
  return peer_address.substr(0, peer_address.rfind(':')) + ":" + std::to_string(caller_port());
}

void EntryServer::JoinIfMissing() {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    address = address_;
  }
  if (address.empty() || leaving_.load()) return;
  for (const MemberJoined& member : member_fold_.members()) {
    if (member.process != options_.process) continue;
    if (member.incarnation == incarnation_ && member.address == address) return;
  }
  member_stream_.Write(MemberJoined{NewRecordId(), options_.process, "entry", options_.zone,
                                    address, incarnation_, CallerAddress(address)},
                       kRecordTimeout);
}

void EntryServer::DropSilentMembers(Time now) {
  std::set<std::string> heard;
  for (const PeerState& peer : peers_.Heard(now, kMemberSilence)) {
    heard.insert(peer.entry.process);
  }
  // Without agents this entry hears of nobody and can tell nothing about others.
  if (heard.count(options_.process) == 0) {
    missed_since_.clear();
    return;
  }
  for (const MemberJoined& member : member_fold_.members()) {
    if (heard.count(member.process) != 0) {
      missed_since_.erase(member.process);
      continue;
    }
    const Time since = missed_since_.try_emplace(member.process, now).first->second;
    if (now - since < kMemberSilence) continue;
    missed_since_.erase(member.process);
    member_stream_.Write(MemberLeft{NewRecordId(), member.process, member.incarnation},
                         kRecordTimeout);
    LogEvent(LogLevel::kWarning, "member_dropped", {{"entry", member.process}});
  }
}

void EntryServer::RunUpkeep() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop_.wait_for(lock, kUpkeepPeriod, [this] { return stopping_; })) {
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
      DropSilentMembers(now);
    }
    for (StreamClient* stream :
         {&config_stream_, &request_stream_, &job_stream_, &member_stream_}) {
      stream->KeepSnapshot(now, wall_ms);
    }
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "upkeep_failed", {{"error", error.what()}});
  }
}

bool EntryServer::ready() const {
  // An entry that has just started knows no target until agents find it, and would turn callers
  // away whom the other entries could serve. Where no agent comes at all it must still take jobs.
  const bool settled = DefaultClock().Now() - started_ > kSettleTime;
  if (!settled && directory_.Agents("").empty()) return false;
  return !leaving_.load() && config_fold_.current() != nullptr && job_stream_.view().ever_fresh &&
         request_stream_.view().ever_fresh;
}

// The balancer looks only now and then whether this entry is ready; until then it sends callers
// here, who would find the door closed.
void EntryServer::WaitForBalancer() const { std::this_thread::sleep_for(options_.balancer_notice); }

bool EntryServer::Leave(Duration limit) {
  const Time until = DefaultClock().Now() + limit;
  leaving_.store(true);
  LogEvent(LogLevel::kInfo, "entry_leaving");
  caller_http_->CloseAfterAnswers();
  WaitForBalancer();
  caller_http_->StopAccepting();
  bool drained = caller_http_->Drain(limit);
  // So that the next planner need not wait until this one is missed.
  planners_->Leave(kHandOverLimit);
  try {
    member_stream_.Write(MemberLeft{NewRecordId(), options_.process, incarnation_}, kRecordTimeout);
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "member_not_recorded", {{"error", error.what()}});
  }
  operator_http_->StopAccepting();
  drained = operator_http_->Drain(until - DefaultClock().Now()) && drained;
  return drained;
}

EntryBeat EntryServer::MakeBeat(const AgentHello& hello, const AgentBeat& beat) const {
  EntryBeat answer;
  const Time now = DefaultClock().Now();
  const StreamView view = config_stream_.view();
  if (view.ever_fresh) answer.freshness.age = now - view.fresh_at;
  answer.freshness.failing = view.failing;
  // Read after the freshness, so that the document is at least as new as the freshness says.
  const auto current = config_fold_.current();
  if (current) {
    answer.config_version = current->version;
    answer.config_digest = current->digest;
    if (current->version > beat.config_version) answer.config_text = current->text;
  }
  // The freshness is read before the epoch, so that the epoch is at least as new.
  const StreamView jobs = job_stream_.view();
  if (jobs.ever_fresh) answer.jobs_freshness.age = now - jobs.fresh_at;
  answer.jobs_freshness.failing = jobs.failing;
  const PlannerEpoch epoch = job_fold_.Planner(hello.zone);
  answer.planner_epoch = epoch.epoch;
  answer.planner_active = epoch.process == options_.process && planners_->Active(hello.zone);
  // An agent may have a version from an entry that could read it and has gone since. Naming it
  // without its text tells other agents that what this entry has is not the newest.
  if (peers_.highest_version() > answer.config_version) {
    answer.config_version = peers_.highest_version();
    answer.config_digest.clear();
    answer.config_text.clear();
  }
  answer.environment = config_fold_.environment_name();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer.self = {options_.process, options_.zone, address_};
  }
  std::vector<EntryMember> members = KnownEntries(now);
  for (const EntryMember& member : members) {
    // The first is the one that joined last.
    const bool first = answer.planner_address.empty();
    if (first && member.process == epoch.process) answer.planner_address = member.address;
  }
  if (DigestMembers(members) != beat.members_digest) answer.members = std::move(members);
  return answer;
}

std::vector<EntryMember> EntryServer::KnownEntries(Time now) const {
  std::vector<EntryMember> result;
  for (const MemberJoined& member : member_fold_.members()) {
    result.push_back({member.process, member.zone, member.address});
  }
  // While the log is down, agents know of entries that could not join. What they heard is added and
  // never put in place of what joined: an entry that was replaced has been heard at its old address
  // until just now, and agents would go on trying that one and never find its successor.
  for (const PeerState& peer : peers_.Heard(now, kPeerSilence)) {
    const EntryMember& entry = peer.entry;
    const bool listed = std::any_of(result.begin(), result.end(), [&](const EntryMember& member) {
      return member.process == entry.process && member.address == entry.address;
    });
    if (!entry.address.empty() && !listed) result.push_back(entry);
  }
  return result;
}

}  // namespace turmericshift
