// Shares one process's appends a second between its streams. The platform's log takes several
// hundred appends a second from everybody; a burst of jobs must not make a zone change wait.
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

  // Waits for the stream's turn. Streams rank config, requests, jobs, members; one that has waited
  // for kFairAfter goes before all ranks, so that none starves.
  void Acquire(Stream stream);

  // The decision behind Acquire, for one waiter: joins the queue, and asks whether it may go.
  using Ticket = int64_t;
  Ticket Enter(Stream stream, Time now);
  bool TryGo(Ticket ticket, Time now);

 private:
  struct Waiting {
    Ticket ticket = 0;
    Stream stream = Stream::kConfig;
    Time since{};
  };

  bool TryGoLocked(Ticket ticket, Time now);
  Ticket EnterLocked(Stream stream, Time now);
  // Whose turn it is.
  std::list<Waiting>::iterator Next(Time now);

  const Duration interval_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Ticket last_ticket_ = 0;
  std::list<Waiting> waiting_;
  // When the next append may go; up to kBurst intervals in the past after idle time.
  Time next_free_{};
};

}  // namespace turmericshift
