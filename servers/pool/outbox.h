// Records to be appended to the work topic. All pending records go out in one append as soon as the
// previous append is answered, so the number of appends does not grow with the load.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/platform/keyed_log.h"

namespace turmericshift::pool {

// Numbers the records in the order of Put. A record is durable once `durable` has reached its
// ticket.
using Ticket = int64_t;

class Outbox {
 public:
  // `max_bytes`: size limit of one append, set by the platform.
  explicit Outbox(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Queues a record. It replaces a queued record with the same key that has not been sent.
  Ticket Put(const std::string& key, const std::string& value);
  // Removes a record that has not been sent. Returns false if none is queued: a record that was
  // sent may still become durable.
  bool Withdraw(const std::string& key);

  // Returns the records of the next append, up to its size limit but at least one if any is queued,
  // and marks them as in flight.
  std::vector<KeyedRecord> Take();
  // Marks the records of the last Take as durable; called when their append is answered.
  void MarkDurable();

  bool empty() const { return waiting_.empty(); }
  size_t waiting() const { return waiting_.size(); }
  Ticket newest() const { return next_ - 1; }
  Ticket durable() const { return durable_; }

 private:
  struct PendingRecord {
    KeyedRecord record;
    Ticket ticket = 0;
  };

  const size_t max_bytes_;
  std::vector<PendingRecord> waiting_;
  Ticket next_ = 1;
  Ticket newest_in_flight_ = 0;
  Ticket durable_ = 0;
};

}  // namespace turmericshift::pool
