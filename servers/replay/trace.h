// A recorded or hand-written trace: a cluster, the events in it with their times, and the expected
// outcome. docs/TRACES.md specifies the file format.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/jobs/job.h"

namespace turmericshift {

enum class TraceEventKind {
  kSubmit,
  kCancel,
  kCancelWave,
  kWorkerDown,
  kWorkerUp,
  kWorkerFailsAll,
  kWorkerMended,
  kZoneOut,
  kZoneIn,
  kLogDown,
  kLogUp,
  kEntryLost,
  kPublish,
};
const char* TraceEventName(TraceEventKind kind);

// A job, together with its actual behaviour, which the decision code does not see.
struct TracedJob {
  JobSpec spec;
  // The true run time if nothing stops the job.
  Duration run_time{};
  // The job fails at the end of its run.
  bool fails = false;
};

struct TraceEvent {
  // Time since the start of the trace.
  Duration at{};
  TraceEventKind kind = TraceEventKind::kSubmit;
  // The line of the trace that contains the event.
  int line = 0;
  // Set for kSubmit.
  TracedJob job;
  // Job id, prefix of job ids, worker, zone, or the text of a document, depending on `kind`.
  std::string subject;
  // For kCancelWave: which share of the waiting jobs whose ids begin with `subject` is cancelled.
  double share = 1;
};

// A condition at the end: a promise (history check) or a measure by name, or facts about one job.
struct Expectation {
  int line = 0;
  std::string name;
  // Bounds of a measure; times are in seconds.
  std::optional<double> below;
  std::optional<double> above;
  // Restricts the measure to the jobs of this workspace, unless "".
  std::string workspace;
  // Facts about one job; empty strings and absent values are not checked.
  std::string job;
  std::string state;
  std::optional<Duration> started_before;
  std::optional<Duration> ended_before;
  std::optional<int> attempts_below;
};

struct Trace {
  std::string name;
  // The purpose of the trace, for readers.
  std::string why;
  std::string document;
  uint64_t seed = 1;
  // Decisions are made at multiples of this interval.
  Duration tick = std::chrono::seconds(1);
  // The replay ends at this time, even if jobs are open.
  Duration until = std::chrono::hours(24);
  // The planner learns of ends and progress with this delay.
  Duration report_lag = std::chrono::seconds(1);
  // A zone has no planner for this long after its entry was lost.
  Duration takeover = std::chrono::seconds(5);
  // The time that a task takes to save its work and stop.
  Duration stop_time = std::chrono::seconds(2);
  // The time after its start at which a task fails on a worker with `fails_all`.
  Duration fails_after = std::chrono::seconds(5);
  // In order of time, including generated events.
  std::vector<TraceEvent> events;
  std::vector<Expectation> expectations;
};

// Parses a trace. Paths of documents are relative to the working directory. Throws
// Error(kInvalidInput) as "NAME:LINE: what is wrong".
Trace ParseTrace(const std::string& name, const std::string& text);

}  // namespace turmericshift
