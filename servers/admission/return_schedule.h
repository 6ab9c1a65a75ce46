// Assigns each refused job a time to return, so that refused callers neither return all at once nor
// overtake each other.
//
// Load pattern: many callers are refused at the same moment and, told the same time, would come
// back as a wave that overloads the pool again.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "core/clock.h"

namespace turmericshift::admission {

struct ReturnRequest {
  std::string id;
  // Jobs of one service compete for the same workers.
  std::string service;
  int priority = 0;
  // When the forecast allows the job, if no other refused job returns.
  Time earliest{};
  // How long the pool is busy with the job's work.
  Duration work_time{};
};

class ReturnSchedule {
 public:
  // Records that the job was refused and returns when it should be submitted again. Times of one
  // service follow priority, then the first refusal, and are apart by the work of the earlier job.
  Time Assign(const ReturnRequest& request, Time now);
  // Forgets a job that was admitted.
  void Remove(const std::string& id);
  // Drops entries that have expired.
  void RemoveExpired(Time now);
  std::optional<Time> FirstRefusal(const std::string& id) const;
  size_t size() const { return order_.size(); }

 private:
  // Service, priority, first refusal, number of the refusal.
  using Key = std::tuple<std::string, int, Time, int64_t>;
  struct Entry {
    std::string id;
    Time return_at{};
    Duration work_time{};
    // End of the entry's retention.
    Time expires{};
  };

  // Earliest time for an entry with this key after all that precede it.
  Time After(const Key& key, Time earliest) const;
  // Moves entries behind `key` that would return before `free_at`.
  void Postpone(const Key& key, Time free_at);
  Time AssignBeyondTable(const ReturnRequest& request, Time begin);

  std::map<Key, Entry> order_;
  std::map<std::string, Key> by_id_;
  int64_t refusals_ = 0;
  // By service, when the jobs that the table has no place for have returned.
  std::map<std::string, Time> beyond_table_;
};

}  // namespace turmericshift::admission
