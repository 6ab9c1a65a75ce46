// Checks the outcome of a replay against the expectations in its trace.
#pragma once

#include <string>
#include <vector>

#include "servers/history/history_check.h"
#include "servers/replay/replayer.h"
#include "servers/replay/trace.h"

namespace turmericshift {

struct ExpectationResult {
  Expectation expectation;
  bool holds = true;
  // The value or the facts that were found, for reports.
  std::string found;
  // The history events around a violation.
  std::vector<HistoryEvent> evidence;
};

// Returns the bounds for the history checks of a replay, derived from the document and the trace.
HistoryBounds BoundsOf(const Trace& trace, const Bounds& bounds);

// Returns the results in the order of the trace. Throws Error(kInvalidInput), with the line, for an
// unknown promise (history check), measure or job.
std::vector<ExpectationResult> CheckExpectations(const Trace& trace, const ReplayResult& result);

// Formats an expectation for reports, such as "fragmentation below 0.2".
std::string DescribeExpectation(const Expectation& expectation);

}  // namespace turmericshift
