// Events of a run, read from the daemons' JSON log lines. Lines with other events are ignored, so
// that a complete production log can be read.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace turmericshift {

enum class HistoryEventKind {
  kRequestRun,
  kRequestRan,
  kRequestAnswered,
  kJobAccepted,
  kJobStarted,
  kJobStopped,
  kJobEnded,
  kJobMoved,
  kGangPlanned,
  kGangReleased,
  kGangStopped,
  kGangForgotten,
  kConfigAccepted,
  kConfigInForce,
  kGuaranteeClaimed,
  kGuaranteeWithdrawn,
};
const char* HistoryEventName(HistoryEventKind kind);

// An event of the log. Fields that an event of this kind does not have are empty.
struct HistoryEvent {
  HistoryEventKind kind = HistoryEventKind::kRequestRun;
  // Milliseconds since 1970, by the clock of the process that logged the event.
  int64_t time_ms = 0;
  // The worker, agent or other process that the event is about.
  std::string process;
  std::string incarnation;
  std::string zone;
  std::string workspace;
  std::string request;
  // Digest of workspace and idempotency key; empty for a request that may be repeated.
  std::string key_tag;
  // Digest of the answer or of the document.
  std::string digest;
  std::string outcome;
  // Error kind of a failed or refused request.
  std::string error;
  int status = 0;
  std::string job;
  std::string state;
  std::string reason;
  int64_t attempt = 0;
  int64_t version = 0;
  int tasks = 0;
  bool borrowed = false;
  double took_ms = 0;
  double waited_ms = 0;
  double declared_ms = 0;
  std::vector<std::string> zones_out;
  // Source of the log line, "FILE:LINE", for reports.
  std::string place;
  // The log line itself, for reports.
  std::string text;
};

struct History {
  // Ordered by time; events of the same millisecond keep the order in which they were read.
  std::vector<HistoryEvent> events;
  // Number of lines that are not JSON objects, such as truncated lines, and were ignored.
  int unreadable = 0;
};

// Adds the events of a log to `history`. `name` is used as FILE in the events' `place`.
// Throws Error(kInvalidInput), with the line number, if a known event lacks a required field or a
// field has the wrong type.
void ReadHistory(const std::string& name, std::istream* lines, History* history);

// Reads log files and sorts their events by time. Throws Error(kInvalidInput) if a file can't be
// read.
History ReadHistoryFiles(const std::vector<std::string>& files);

// Adds the event of a log line to `history`; ignores lines with other events. Throws
// Error(kInvalidInput) as ReadHistory does.
void AddHistoryLine(const std::string& place, std::string_view line, History* history);

void SortHistory(History* history);

}  // namespace turmericshift
