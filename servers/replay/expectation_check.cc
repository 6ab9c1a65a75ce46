#include "servers/replay/expectation_check.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr size_t kContextEvents = 8;
// Margin that is added to the bounds, because releases and ends are reported with a lag.
constexpr Duration kReportMargin = std::chrono::seconds(1);

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

std::string TimeText(const std::optional<Duration>& time) {
  return time ? FormatDuration(*time) : "never";
}

ExpectationResult CheckMeasure(const Expectation& expectation, const ReplayResult& result) {
  ExpectationResult checked{expectation, true, "", {}};
  const std::vector<Measure> measures = expectation.workspace.empty()
                                            ? result.measures
                                            : MeasuresOf(result.jobs, expectation.workspace);
  const auto measure = std::find_if(measures.begin(), measures.end(), [&](const Measure& each) {
    return each.name == expectation.name;
  });
  if (measure == measures.end()) {
    throw Error(ErrorKind::kInvalidInput, "no promise or measure '" + expectation.name + "'");
  }
  checked.found = FormatNumber(measure->value);
  if (expectation.below && measure->value >= *expectation.below) checked.holds = false;
  if (expectation.above && measure->value <= *expectation.above) checked.holds = false;
  if (!expectation.below && !expectation.above) {
    throw Error(ErrorKind::kInvalidInput, "a measure needs 'below' or 'above'");
  }
  return checked;
}

std::vector<HistoryEvent> EventsOf(const std::string& job, const History& history) {
  std::vector<HistoryEvent> events;
  for (const HistoryEvent& event : history.events) {
    if (event.job == job) events.push_back(event);
  }
  if (events.size() > kContextEvents) events.erase(events.begin(), events.end() - kContextEvents);
  return events;
}

ExpectationResult CheckJob(const Expectation& expectation, const ReplayResult& result) {
  ExpectationResult checked{expectation, true, "", {}};
  const auto found = result.jobs.find(expectation.job);
  if (found == result.jobs.end()) {
    throw Error(ErrorKind::kInvalidInput, "the trace has no job '" + expectation.job + "'");
  }
  const ReplayJob& job = found->second;
  checked.found = std::string(JobStateName(job.state)) + ", started " + TimeText(job.started) +
                  ", ended " + TimeText(job.ended) + ", attempts " + std::to_string(job.attempts);
  const auto missed = [](const std::optional<Duration>& time,
                         const std::optional<Duration>& bound) {
    return bound && (!time || *time >= *bound);
  };
  if (!expectation.state.empty() && expectation.state != JobStateName(job.state)) {
    checked.holds = false;
  }
  if (missed(job.started, expectation.started_before)) checked.holds = false;
  if (missed(job.ended, expectation.ended_before)) checked.holds = false;
  if (expectation.attempts_below && job.attempts >= *expectation.attempts_below) {
    checked.holds = false;
  }
  if (!checked.holds) checked.evidence = EventsOf(job.id, result.history);
  return checked;
}

// Returns the evidence, with the events shortly before its last event.
std::vector<HistoryEvent> WithContext(const std::vector<HistoryEvent>& evidence,
                                      const History& history) {
  if (evidence.empty()) return {};
  std::vector<HistoryEvent> events(evidence.begin(), evidence.end() - 1);
  const std::string& last = evidence.back().place;
  const auto at = std::find_if(history.events.begin(), history.events.end(),
                               [&last](const HistoryEvent& event) { return event.place == last; });
  if (at == history.events.end()) return evidence;
  const auto before = std::min<std::ptrdiff_t>(kContextEvents, at - history.events.begin());
  events.insert(events.end(), at - before, at + 1);
  return events;
}

bool IsPromise(const std::string& name) {
  const std::vector<std::string> names = HistoryCheckNames();
  return std::find(names.begin(), names.end(), name) != names.end();
}

ExpectationResult CheckPromise(const Expectation& expectation, const ReplayResult& result,
                               const HistoryBounds& bounds) {
  ExpectationResult checked{expectation, true, "", {}};
  const CheckResult check = CheckHistory(result.history, bounds, {expectation.name}).front();
  checked.holds = check.verdict != CheckVerdict::kViolated;
  checked.found = CheckVerdictName(check.verdict);
  if (!check.message.empty()) checked.found += ": " + check.message;
  checked.evidence = WithContext(check.evidence, result.history);
  return checked;
}

}  // namespace

HistoryBounds BoundsOf(const Trace& trace, const Bounds& bounds) {
  const Duration margin = trace.report_lag + 2 * trace.tick + kReportMargin;
  HistoryBounds checks;
  checks.zone_out = bounds.zone_out;
  checks.partial_gang = bounds.lease + margin;
  checks.reclaim = bounds.reclaim;
  checks.job_silence = trace.until;
  return checks;
}

std::vector<ExpectationResult> CheckExpectations(const Trace& trace, const ReplayResult& result) {
  const HistoryBounds bounds = BoundsOf(trace, result.bounds);
  std::vector<ExpectationResult> results;
  for (const Expectation& expectation : trace.expectations) {
    try {
      if (expectation.name == "job") {
        results.push_back(CheckJob(expectation, result));
      } else if (IsPromise(expectation.name)) {
        results.push_back(CheckPromise(expectation, result, bounds));
      } else {
        results.push_back(CheckMeasure(expectation, result));
      }
    } catch (const Error& error) {
      throw Error(error.kind(),
                  trace.name + ":" + std::to_string(expectation.line) + ": " + error.what());
    }
  }
  return results;
}

std::string DescribeExpectation(const Expectation& expectation) {
  std::string text = expectation.name;
  if (!expectation.job.empty()) text += " " + expectation.job;
  if (!expectation.state.empty()) text += " " + expectation.state;
  if (!expectation.workspace.empty()) text += " of " + expectation.workspace;
  if (expectation.started_before) text += " started before " + TimeText(expectation.started_before);
  if (expectation.ended_before) text += " ended before " + TimeText(expectation.ended_before);
  if (expectation.attempts_below) {
    text += " attempts below " + std::to_string(*expectation.attempts_below);
  }
  if (expectation.below) text += " below " + FormatNumber(*expectation.below);
  if (expectation.above) text += " above " + FormatNumber(*expectation.above);
  return text;
}

}  // namespace turmericshift
