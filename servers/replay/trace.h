// A recorded or hand-written trace: a cluster, what happened to it and when, and what must come of
// it. docs/TRACES.md specifies the file format.
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

// A job and the truth about it, which no decision sees.
struct TracedJob {
  JobSpec spec;
  // How long it runs when nothing stops it.
  Duration run_time{};
  // Fails at the end of its run.
  bool fails = false;
};

struct TraceEvent {
  // Since the trace's start.
  Duration at{};
  TraceEventKind kind = TraceEventKind::kSubmit;
  // Where it was read.
  int line = 0;
  // Set for kSubmit.
  TracedJob job;
  // Job id, prefix of job ids, worker, zone, or the text of a document.
  std::string subject;
  // For kCancelWave: the share of the open jobs with that prefix.
  double share = 1;
};

// What must hold at the end. Either a promise or measure by name, or facts about one job.
struct Expectation {
  int line = 0;
  std::string name;
  // Bounds of a measure; times are in seconds.
  std::optional<double> below;
  std::optional<double> above;
  // The measure over the jobs of one workspace only.
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
  // Why it matters, for people.
  std::string why;
  std::string document;
  uint64_t seed = 1;
  // Decisions are taken at multiples of this.
  Duration tick = std::chrono::seconds(1);
  // The trace ends here even if jobs are open.
  Duration until = std::chrono::hours(24);
  // An end or a progress is known to the planner this much later.
  Duration report_lag = std::chrono::seconds(1);
  // A zone has no planner for this long after its entry was lost.
  Duration takeover = std::chrono::seconds(5);
  // A task takes this long to save its work and stop.
  Duration stop_time = std::chrono::seconds(2);
  // A worker that fails everything does so this long after the start.
  Duration fails_after = std::chrono::seconds(5);
  // In order of time; generated ones included.
  std::vector<TraceEvent> events;
  std::vector<Expectation> expectations;
};

// Reads a trace; paths of documents are taken from the working directory.
// Throws Error(kInvalidInput) as "NAME:LINE: what is wrong".
Trace ParseTrace(const std::string& name, const std::string& text);

}  // namespace turmericshift
