// Decides which announcements come from the agent's own worker. Whoever reaches the agent can send
// one, and the planner gives up all runs of a worker that has a new incarnation. Only the worker
// itself answers the agent's calls, so an announcement of an incarnation that is new to the agent
// counts once a call that names its ID has been answered with its start time.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

class AnnouncementVerifier {
 public:
  // Whether the announcement may be used without a call to the worker. `start_time_ms`: start time
  // of the incarnation that answered the agent's newest call; 0 if none has.
  bool IsVerified(const WorkerAnnouncement& announcement, int64_t start_time_ms) const;
  // Keeps an announcement that is not verified until its ID has been checked; of one incarnation
  // the newest one. If too many are kept, the oldest is dropped.
  void Add(const WorkerAnnouncement& announcement);

  // Returns the worker ID for the next check: a hold without a lease that names the ID. Empty if
  // there is none or a check is in flight.
  std::optional<std::string> NextId();
  // Handles the answer to the check of `worker_id`. Returns the announcement that the answer
  // verifies, if any. Without an answer from the worker all are kept for another check.
  std::optional<WorkerAnnouncement> HandleAnswer(const std::string& worker_id,
                                                 const HoldAnswer& answer);
  // Drops the announcements of a worker that has left. Returns whether there were any.
  bool Remove(const std::string& worker_id);
  // Number of announcements that are kept for a check.
  size_t unverified() const { return unverified_.size(); }

 private:
  std::deque<WorkerAnnouncement> unverified_;
  bool check_in_flight_ = false;
  // ID and start time of the incarnation that was verified last.
  std::string verified_id_;
  int64_t verified_start_time_ms_ = 0;
};

}  // namespace turmericshift::pool
