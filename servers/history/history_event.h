// Events of a run as the daemons' JSON log lines tell them. Lines of other events are left out, so
// a whole production log can be read as it is.
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

// Fields that a kind does not have stay empty.
struct HistoryEvent {
  HistoryEventKind kind = HistoryEventKind::kRequestRun;
  // Milliseconds since 1970, by the writer's clock.
  int64_t time_ms = 0;
  // The agent, worker or other process that the event is about.
  std::string process;
  std::string incarnation;
  std::string zone;
  std::string workspace;
  std::string request;
  // Digest of workspace and idempotency key; empty for a repeatable request.
  std::string key_tag;
  // Of the answer or of the document.
  std::string digest;
  std::string outcome;
  // Error kind of a refusal.
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
  // Where it was read, "FILE:LINE", and the line itself, for reports.
  std::string place;
  std::string text;
};

struct History {
  // In order of time; events of the same millisecond in the order in which they were read.
  std::vector<HistoryEvent> events;
  // Lines that are not JSON: cut or foreign. They are counted, not trusted.
  int unreadable = 0;
};

// Adds the events of one log. `name` stands in their places.
// Throws Error(kInvalidInput), with the line's number, when a known event lacks a field or has one
// of the wrong type.
void ReadHistory(const std::string& name, std::istream* lines, History* history);

// The same from files, sorted. Throws Error(kInvalidInput) for a file that can't be read.
History ReadHistoryFiles(const std::vector<std::string>& files);

// One line; adds nothing if it is not one of our events.
void AddHistoryLine(const std::string& place, std::string_view line, History* history);

void SortHistory(History* history);

}  // namespace turmericshift
