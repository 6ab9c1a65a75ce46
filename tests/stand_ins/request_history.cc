#include "tests/stand_ins/request_history.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "servers/ports/messages.h"

namespace turmericshift {

std::string AnswerTo(const std::string& body) { return "done: " + body; }

void RequestHistory::Add(const RunEvent& event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(event);
}

void RequestHistory::Add(const AnswerEvent& event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answers_.push_back(event);
}

std::vector<std::string> RequestHistory::Violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> violations;
  std::map<std::string, int> runs_of_work;
  std::set<std::string> run_requests;
  for (const RunEvent& run : runs_) {
    run_requests.insert(CallerRequestId(run.request_id));
    if (++runs_of_work[run.key.empty() ? CallerRequestId(run.request_id) : run.key] == 2) {
      violations.push_back("ran twice: " + run.key + " " + run.request_id);
    }
  }
  for (const AnswerEvent& event : answers_) {
    if (event.answered && event.answer != AnswerTo(event.body)) {
      violations.push_back("answer of another request: " + event.request_id);
    }
    if (event.outcome == Outcome::kNotRun && run_requests.contains(event.request_id)) {
      violations.push_back("reported as not_run but ran: " + event.request_id + " " + event.error);
    }
  }
  return violations;
}

size_t RequestHistory::answered() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<size_t>(std::count_if(
      answers_.begin(), answers_.end(), [](const AnswerEvent& event) { return event.answered; }));
}

std::string RequestHistory::JsonLines() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string lines;
  for (const RunEvent& run : runs_) {
    const nlohmann::json json = {{"event", "run"},
                                 {"agent", run.agent},
                                 {"request", run.request_id},
                                 {"key", run.key},
                                 {"body", run.body}};
    lines += json.dump() + "\n";
  }
  for (const AnswerEvent& event : answers_) {
    const nlohmann::json json = {
        {"event", "answer"},  {"request", event.request_id},           {"key", event.key},
        {"body", event.body}, {"outcome", OutcomeName(event.outcome)}, {"error", event.error}};
    lines += json.dump() + "\n";
  }
  return lines;
}

}  // namespace turmericshift
