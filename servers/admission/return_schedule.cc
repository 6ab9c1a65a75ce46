#include "servers/admission/return_schedule.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericshift::admission {
namespace {

// With 300 bytes an entry, the table takes at most 0.3 MB.
constexpr size_t kMaxEntries = 1000;
// Callers that return later than this after their time have given up the job.
constexpr Duration kRetention = std::chrono::seconds(30);

// Callers that give up are dropped some time after their last submission; kept until their time to
// return, they would postpone others long after an overload has ended.
Time ExpiryOf(Time return_at, Time now) {
  return std::min(return_at, now + kRetention) + kRetention;
}

}  // namespace

Time ReturnSchedule::Assign(const ReturnRequest& request, Time now) {
  RemoveExpired(now);
  auto known = by_id_.find(request.id);
  Key key = {request.service, request.priority, now, ++refusals_};
  if (known != by_id_.end()) {
    const Key& former = known->second;
    if (std::get<0>(former) == request.service && std::get<1>(former) == request.priority) {
      key = former;
    } else {
      // The operators have changed the queue's terms.
      std::get<2>(key) = std::get<2>(former);
      order_.erase(former);
      by_id_.erase(known);
    }
  }
  const Time return_at = After(key, std::max(request.earliest, now));
  if (order_.count(key) == 0 && order_.size() >= kMaxEntries) {
    const auto last = std::prev(order_.end());
    if (last->first < key) return AssignBeyondTable(request, return_at);
    by_id_.erase(last->second.id);
    order_.erase(last);
  }
  by_id_[request.id] = key;
  order_[key] = {request.id, return_at, request.work_time, ExpiryOf(return_at, now)};
  Postpone(key, return_at + request.work_time);
  return return_at;
}

void ReturnSchedule::Remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  order_.erase(found->second);
  by_id_.erase(found);
}

void ReturnSchedule::RemoveExpired(Time now) {
  for (auto entry = order_.begin(); entry != order_.end();) {
    if (now < entry->second.expires) {
      ++entry;
      continue;
    }
    by_id_.erase(entry->second.id);
    entry = order_.erase(entry);
  }
  std::erase_if(beyond_table_, [now](const auto& row) { return row.second < now; });
}

std::optional<Time> ReturnSchedule::FirstRefusal(const std::string& id) const {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return std::nullopt;
  return std::get<2>(found->second);
}

Time ReturnSchedule::After(const Key& key, Time earliest) const {
  const auto next = order_.lower_bound(key);
  if (next == order_.begin()) return earliest;
  const auto& [before, entry] = *std::prev(next);
  if (std::get<0>(before) != std::get<0>(key)) return earliest;
  return std::max(earliest, entry.return_at + entry.work_time);
}

void ReturnSchedule::Postpone(const Key& key, Time free_at) {
  for (auto entry = order_.upper_bound(key); entry != order_.end(); ++entry) {
    if (std::get<0>(entry->first) != std::get<0>(key)) return;
    Entry& later = entry->second;
    if (later.return_at >= free_at) return;
    later.return_at = free_at;
    free_at += later.work_time;
  }
}

Time ReturnSchedule::AssignBeyondTable(const ReturnRequest& request, Time begin) {
  Time& free_at = beyond_table_[request.service];
  const Time return_at = std::max(begin, free_at);
  free_at = return_at + request.work_time;
  return return_at;
}

}  // namespace turmericshift::admission
