// Records what callers and targets saw of requests, and checks the invariants.
#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "core/error.h"

namespace turmericshift {

// A target started to run a request.
struct RunEvent {
  std::string agent;
  std::string request_id;
  std::string key;
  std::string body;
};

// A caller received an answer or an error.
struct AnswerEvent {
  std::string request_id;
  std::string key;
  std::string body;
  Outcome outcome = Outcome::kUnknown;
  // False if the caller received an error.
  bool answered = false;
  std::string answer;
  std::string error;
};

// The answer of a target to a request with `body`.
std::string AnswerTo(const std::string& body);

class RequestHistory {
 public:
  void Add(const RunEvent& event);
  void Add(const AnswerEvent& event);

  // One line for each violation: a key or an unrepeatable request that ran more than once, an
  // answer that belongs to another request, or a request that ran after "not_run" was reported.
  std::vector<std::string> Violations() const;
  size_t answered() const;
  // The events as JSON lines, runs first.
  std::string JsonLines() const;

 private:
  mutable std::mutex mutex_;
  std::vector<RunEvent> runs_;
  std::vector<AnswerEvent> answers_;
};

}  // namespace turmericshift
