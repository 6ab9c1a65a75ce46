// What this agent has seen of requests that may not be repeated. It is the one place that decides
// whether an attempt runs here; it lives as long as the agent's incarnation, and claims name that
// incarnation, so a restarted agent never answers for its predecessor.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "servers/ports/messages.h"

namespace turmericshift {

class RequestLedger {
 public:
  // Marks the attempt as running. Throws Error(kFenced), outcome not_run for this call, when the
  // attempt was already begun here, or was promised never to run, or a newer fence was seen.
  void Begin(const ServiceRequest& request);
  // The attempt ended with `answer`.
  void Finish(const ServiceRequest& request, const ServiceAnswer& answer);
  // The attempt surely did not reach the target; it never will from here on.
  void Abandon(const ServiceRequest& request);
  // The attempt may have run; nobody knows.
  void Lose(const ServiceRequest& request);

  // "Did you see this key? If not, never run it."
  SeenAnswer Resolve(const SeenQuestion& question);

 private:
  struct Row {
    SeenState state = SeenState::kRunning;
    Sequence fence = kNoSequence;
    ServiceAnswer answer;
  };
  Row* Find(const ServiceRequest& request);

  std::mutex mutex_;
  // By workspace, key and attempt.
  std::map<std::string, Row> rows_;
};

}  // namespace turmericshift
