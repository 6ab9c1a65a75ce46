// Holds the outcome of a replay against what the trace states.
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
  // What was found.
  std::string found;
  // The events around a violation.
  std::vector<HistoryEvent> evidence;
};

// The bounds of a replay's checks, from the document and the trace.
HistoryBounds BoundsOf(const Trace& trace, const Bounds& bounds);

// In the order of the trace. Throws Error(kInvalidInput), with the line, for an unknown promise,
// measure or job.
std::vector<ExpectationResult> CheckExpectations(const Trace& trace, const ReplayResult& result);

// "fragmentation below 0.2", for reports.
std::string DescribeExpectation(const Expectation& expectation);

}  // namespace turmericshift
