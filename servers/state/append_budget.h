// Rate limit for the appends of one process, shared by its streams. The platform's log takes
// several hundred appends a second from all processes together. Streams are prioritized, so that a
// burst of jobs does not delay a zone change.
#pragma once

#include <condition_variable>
#include <list>
#include <mutex>

#include "core/clock.h"
#include "servers/platform/log_service.h"

namespace turmericshift {

class AppendBudget {
 public:
  explicit AppendBudget(double appends_per_second);

  // Waits until the stream may append. Priority order: config, requests, jobs, members. An append
  // that has waited longer than kMaxPriorityWait goes before all others, so that no stream starves.
  void Acquire(Stream stream);

  // The steps of Acquire without blocking: Enqueue joins the queue, TryAcquire returns whether the
  // ticket's append may start now.
  using Ticket = int64_t;
  Ticket Enqueue(Stream stream, Time now);
  bool TryAcquire(Ticket ticket, Time now);

 private:
  struct Waiting {
    Ticket ticket = 0;
    Stream stream = Stream::kConfig;
    Time since{};
  };

  bool TryAcquireLocked(Ticket ticket, Time now);
  Ticket EnqueueLocked(Stream stream, Time now);
  // Returns the queued append that must start next.
  std::list<Waiting>::iterator NextWaiter(Time now);

  const Duration interval_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Ticket last_ticket_ = 0;
  std::list<Waiting> waiting_;
  // Earliest start of the next append. After idle time, up to kBurstAppends intervals in the past.
  Time next_append_at_{};
};

}  // namespace turmericshift
