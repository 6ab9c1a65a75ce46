// Sends orders to a worker and repeats those that are not answered. Some workers leave a few orders
// in a hundred unanswered and execute them seconds later; without retries every second gang of
// twenty would be stopped because the start of one member is unknown. Orders are idempotent by run
// number, so a repeated order gets the answer of the first, and a duplicate that arrives later
// changes nothing.
#pragma once

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

class OrderSender {
 public:
  // `worker` must outlive the sender. `attempt_timeout`: how long each attempt waits for an answer.
  OrderSender(PoolWorker* worker, Duration attempt_timeout);

  // Returns kUnanswered also if a later attempt was refused, since the first one may have been
  // executed or may still be.
  StartAnswer Start(const StartCall& call) const;
  OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence) const;

 private:
  PoolWorker* const worker_;
  const Duration attempt_timeout_;
};

}  // namespace turmericshift::pool
