// Sends orders to a worker, again where no answer comes. Some workers leave a few orders in a
// hundred unanswered and carry them out seconds later; of a gang of twenty every second one would
// be stopped again for a member whose start is not known of. Orders are idempotent by run number,
// so that the second one is answered as if it were the first, and one that arrives late changes
// nothing.
#pragma once

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

class OrderSender {
 public:
  // `worker` must outlive the sender. One try is waited for during `attempt_timeout`.
  OrderSender(PoolWorker* worker, Duration attempt_timeout);

  // kUnanswered also when a later try was refused: the first one may have been carried out, or may
  // still be.
  OrderAnswer Start(const StartCall& call) const;
  OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence) const;

 private:
  PoolWorker* const worker_;
  const Duration attempt_timeout_;
};

}  // namespace turmericshift::pool
