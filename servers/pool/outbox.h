// Records on their way into the work topic. Everything that waits goes out in one append as soon as
// the one before is answered, so the number of appends does not grow with the load.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/platform/keyed_log.h"

namespace turmericshift::pool {

// Numbers the records in the order in which they were put: a record is kept once `kept` has reached
// its ticket.
using Ticket = int64_t;

class Outbox {
 public:
  // `most_bytes`: what one append may carry; a setting of the platform.
  explicit Outbox(size_t most_bytes) : most_bytes_(most_bytes) {}

  // A later record of the same key that is not on its way yet replaces the earlier one.
  Ticket Put(const std::string& key, const std::string& value);
  // Takes a record back that is not on its way yet; false when it is, so that its fate is open.
  bool Withdraw(const std::string& key);

  // The records of the next append, at most as many as one may carry; they count as on their way.
  std::vector<KeyedRecord> Take();
  // The append of what Take gave last is answered.
  void MarkDurable();

  bool empty() const { return waiting_.empty(); }
  size_t waiting() const { return waiting_.size(); }
  Ticket newest() const { return next_ - 1; }
  Ticket durable() const { return kept_; }

 private:
  struct Waiting {
    KeyedRecord record;
    Ticket ticket = 0;
  };

  const size_t most_bytes_;
  std::vector<Waiting> waiting_;
  Ticket next_ = 1;
  Ticket on_way_ = 0;
  Ticket kept_ = 0;
};

}  // namespace turmericshift::pool
