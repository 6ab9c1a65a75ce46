#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "servers/releases/release_tracker.h"

namespace turmericshift::releases {
namespace {

// A planner that has just begun reaches nearly all agents within this time, and cannot tell which
// of their versions is newer.
constexpr Duration kLearningTime = std::chrono::seconds(3);
// A release in which no worker starts or leaves for this long has stopped. Replacing a worker takes
// seconds: it drains, and its successor starts.
constexpr Duration kReleasePause = std::chrono::seconds(30);
// A worker that leaves within this time after an additional one has started is replaced by it.
constexpr Duration kReplacementTime = std::chrono::seconds(10);
// A single additional worker and a single departure may have nothing to do with each other.
constexpr int kMinReplacements = 2;
// Versions remembered per service; the oldest are dropped.
constexpr size_t kMaxVersions = 100;
// Order of workers that have not announced a version.
constexpr int kUnknown = -1;

constexpr std::array<std::pair<ReleaseEnd, const char*>, 3> kEndNames = {{
    {ReleaseEnd::kAllReplaced, "all_replaced"},
    {ReleaseEnd::kStopped, "stopped"},
    {ReleaseEnd::kRolledBack, "rolled_back"},
}};

constexpr std::array<std::pair<ReleaseSign, const char*>, 2> kSignNames = {{
    {ReleaseSign::kNewVersion, "new_version"},
    {ReleaseSign::kReplacement, "replacement"},
}};

// An additional worker of a version that is known.
struct AdditionalStart {
  std::string node;
  Time at{};
  // Whether another worker has left since.
  bool replaces = false;
};

struct Service {
  // Order of each version: 0 for the versions that were found, higher for newer ones.
  std::map<std::string, int> orders;
  int newest = 0;
  std::string newest_version;
  // Number of workers that have not left, by the order of their version.
  std::map<int, int> workers;
  // Highest start time of a worker, by the workers' clocks.
  int64_t newest_start_ms = 0;
  // When the release of the newest version was last observed to go on; empty if there is none.
  std::optional<Time> evidence;
  bool rolled_back = false;
  ReleaseSign sign = ReleaseSign::kNewVersion;
  // Those of the last 10 s, oldest first, while no release is in progress.
  std::deque<AdditionalStart> additional;
  // Whether the release was in progress at the last Update.
  bool announced = false;

  int outdated() const {
    int count = 0;
    for (const auto& [order, number] : workers) {
      if (order != kUnknown && order < newest) count += number;
    }
    return count;
  }
  int updated() const {
    const auto found = workers.find(newest);
    return found == workers.end() ? 0 : found->second;
  }
  bool in_progress(Time now) const {
    return evidence && now - *evidence < kReleasePause && outdated() > 0;
  }
};

struct Worker {
  Service* service = nullptr;
  std::string version;
  int order = kUnknown;
  int64_t start_time_ms = 0;
  // Start time of the previous incarnation. A late report of it does not begin another one.
  int64_t former_start_ms = 0;
  bool gone = false;
};

class ObservedReleases : public ReleaseTracker {
 public:
  explicit ObservedReleases(Time now) : learned_at_(now + kLearningTime) {}

  void RecordWorker(const std::string& node, const std::string& service, const std::string& version,
                    int64_t start_time_ms, Time now) override {
    const auto [entry, is_new] = workers_.try_emplace(node);
    Worker& worker = entry->second;
    Service& in = services_[service];
    const Worker former = worker;
    const bool same_start = former.start_time_ms == start_time_ms && former.service == &in;
    if (!is_new && same_start && (former.gone || former.version == version)) return;
    const bool starts = IsStart(former, is_new, in, start_time_ms, now);
    const bool known = version.empty() || in.orders.count(version) > 0;
    if (!is_new && !former.gone) Count(*former.service, former.order, -1);
    worker = {&in,  version, OrderOf(&in, version, starts), start_time_ms, former.start_time_ms,
              false};
    if (same_start) worker.former_start_ms = former.former_start_ms;
    Count(in, worker.order, 1);
    in.newest_start_ms = std::max(in.newest_start_ms, start_time_ms);
    const bool replaces = !is_new && former.service == &in;
    if (starts) RecordStart(&in, worker.order, !known, replaces ? &former : nullptr, now);
    if (starts && is_new && known && !version.empty() && !in.in_progress(now)) {
      in.additional.push_back({node, now});
    }
  }

  void RecordGone(const std::string& node, Time now) override {
    const auto found = workers_.find(node);
    if (found == workers_.end() || found->second.gone) return;
    Worker& worker = found->second;
    const bool outdated = worker.order != kUnknown && worker.order < worker.service->newest;
    if (outdated && worker.service->in_progress(now)) RecordEvidence(worker.service, now);
    worker.gone = true;
    Count(*worker.service, worker.order, -1);
    if (!worker.service->in_progress(now)) RecordDeparture(node, worker, now);
  }

  bool IsOutdated(const std::string& node, Time now) const override {
    if (!newest_evidence_ || now - *newest_evidence_ >= kReleasePause) return false;
    const auto found = workers_.find(node);
    if (found == workers_.end() || found->second.gone) return false;
    const Worker& worker = found->second;
    return worker.order != kUnknown && worker.order < worker.service->newest &&
           worker.service->in_progress(now);
  }

  int outdated_workers() const override { return outdated_workers_; }

  std::vector<ReleaseChange> Update(Time now) override {
    std::vector<ReleaseChange> changes;
    outdated_workers_ = 0;
    for (auto& [name, service] : services_) {
      const bool in_progress = service.in_progress(now);
      if (in_progress) outdated_workers_ += service.outdated();
      if (in_progress == service.announced) continue;
      service.announced = in_progress;
      ReleaseChange change;
      change.service = name;
      change.version = service.newest_version;
      change.began = in_progress;
      change.sign = service.sign;
      change.end = EndOf(service);
      change.outdated = service.outdated();
      change.updated = service.updated();
      if (service.evidence) change.evidence_age = now - *service.evidence;
      changes.push_back(std::move(change));
    }
    return changes;
  }

 private:
  static void Count(Service& service, int order, int change) {
    const auto count = service.workers.try_emplace(order).first;
    count->second += change;
    if (count->second == 0) service.workers.erase(count);
  }

  static ReleaseEnd EndOf(const Service& service) {
    if (service.rolled_back) return ReleaseEnd::kRolledBack;
    return service.outdated() == 0 ? ReleaseEnd::kAllReplaced : ReleaseEnd::kStopped;
  }

  // Whether the worker has started lately, rather than been heard of for the first time. Start
  // times are compared among workers only: the clock of this VM may have jumped.
  bool IsStart(const Worker& former, bool is_new, const Service& service, int64_t start_time_ms,
               Time now) const {
    if (now < learned_at_) return false;
    if (!is_new) {
      return start_time_ms != former.start_time_ms && start_time_ms != former.former_start_ms;
    }
    const int64_t pause_ms = duration_cast<std::chrono::milliseconds>(kReleasePause).count();
    return start_time_ms + pause_ms >= service.newest_start_ms;
  }

  static int OrderOf(Service* service, const std::string& version, bool starts) {
    if (version.empty()) return kUnknown;
    const auto known = service->orders.find(version);
    if (known != service->orders.end()) return known->second;
    if (service->orders.size() >= kMaxVersions) {
      service->orders.erase(std::min_element(
          service->orders.begin(), service->orders.end(),
          [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    if (starts) {
      ++service->newest;
      service->newest_version = version;
      service->sign = ReleaseSign::kNewVersion;
    }
    return service->orders[version] = starts ? service->newest : 0;
  }

  // A worker of the service has started. `replaced`: the worker's former incarnation, if known.
  void RecordStart(Service* service, int order, bool first_of_version, const Worker* replaced,
                   Time now) {
    if (order == kUnknown || service->newest == 0) return;
    if (order < service->newest) {
      if (replaced == nullptr || replaced->order != service->newest) return;
      service->rolled_back = true;
      service->evidence.reset();
      return;
    }
    // Workers that restart in the newest version show nothing. Nor do additional ones once a
    // release has stopped: it may never go on.
    const bool goes_on = replaced != nullptr
                             ? replaced->order < order && service->sign == ReleaseSign::kNewVersion
                             : service->in_progress(now);
    if (first_of_version || goes_on) RecordEvidence(service, now);
  }

  // A worker has left while no release is in progress.
  void RecordDeparture(const std::string& node, const Worker& worker, Time now) {
    std::deque<AdditionalStart>& additional = worker.service->additional;
    while (!additional.empty() && now - additional.front().at > kReplacementTime) {
      additional.pop_front();
    }
    const auto is_start = [&](const AdditionalStart& start) { return start.node == node; };
    if (std::any_of(additional.begin(), additional.end(), is_start)) return;
    const auto start = std::find_if(additional.begin(), additional.end(),
                                    [](const AdditionalStart& each) { return !each.replaces; });
    if (start == additional.end()) return;
    start->replaces = true;
    const auto replacements =
        std::count_if(additional.begin(), additional.end(),
                      [](const AdditionalStart& each) { return each.replaces; });
    if (replacements >= kMinReplacements) BeginReplacement(worker.service, worker.version, now);
  }

  // Counts the additional workers, and all that start from now on, as a newer version.
  void BeginReplacement(Service* service, const std::string& version, Time now) {
    ++service->newest;
    service->newest_version = version;
    service->sign = ReleaseSign::kReplacement;
    service->orders[version] = service->newest;
    for (const AdditionalStart& start : service->additional) {
      Worker& worker = workers_[start.node];
      if (worker.gone || worker.service != service) continue;
      Count(*service, worker.order, -1);
      worker.order = service->newest;
      Count(*service, worker.order, 1);
    }
    service->additional.clear();
    RecordEvidence(service, now);
  }

  void RecordEvidence(Service* service, Time now) {
    service->rolled_back = false;
    service->evidence = now;
    newest_evidence_ = now;
  }

  const Time learned_at_;
  std::map<std::string, Service> services_;
  std::map<std::string, Worker> workers_;
  std::optional<Time> newest_evidence_;
  int outdated_workers_ = 0;
};

}  // namespace

const char* ReleaseSignName(ReleaseSign sign) {
  for (const auto& [known, name] : kSignNames) {
    if (sign == known) return name;
  }
  return "";
}

const char* ReleaseEndName(ReleaseEnd end) {
  for (const auto& [known, name] : kEndNames) {
    if (end == known) return name;
  }
  return "";
}

std::unique_ptr<ReleaseTracker> MakeReleaseTracker(Time now) {
  return std::make_unique<ObservedReleases>(now);
}

}  // namespace turmericshift::releases
