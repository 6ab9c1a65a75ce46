#include "servers/history/history_event.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr int kKindCount = static_cast<int>(HistoryEventKind::kGuaranteeWithdrawn) + 1;
constexpr std::array<const char*, kKindCount> kNames = {
    "request_run",     "request_ran",     "request_answered",  "job_accepted",
    "job_started",     "job_stopped",     "job_ended",         "job_moved",
    "gang_planned",    "gang_released",   "gang_stopped",      "gang_forgotten",
    "config_accepted", "config_in_force", "guarantee_claimed", "guarantee_withdrawn"};

std::optional<HistoryEventKind> KindFromName(const std::string& name) {
  for (size_t index = 0; index < kNames.size(); ++index) {
    if (name == kNames.at(index)) return static_cast<HistoryEventKind>(index);
  }
  return std::nullopt;
}

std::string Text(const nlohmann::json& json, const char* field) {
  return json.value(field, std::string());
}

// Returns the value of the first field that names a process.
std::string ProcessOf(const nlohmann::json& json) {
  for (const char* field : {"worker", "agent", "process"}) {
    if (json.contains(field)) return json.at(field).get<std::string>();
  }
  return "";
}

void RequireField(const nlohmann::json& json, HistoryEventKind kind) {
  const char* field = "time_ms";
  switch (kind) {
    case HistoryEventKind::kRequestRun:
    case HistoryEventKind::kRequestRan:
    case HistoryEventKind::kRequestAnswered:
      field = "request";
      break;
    case HistoryEventKind::kConfigAccepted:
    case HistoryEventKind::kConfigInForce:
      field = "version";
      break;
    default:
      field = "job";
      break;
  }
  if (!json.contains(field)) {
    throw Error(ErrorKind::kInvalidInput,
                std::string(HistoryEventName(kind)) + " lacks '" + field + "'");
  }
}

HistoryEvent EventFrom(const nlohmann::json& json, HistoryEventKind kind) {
  RequireField(json, kind);
  HistoryEvent event;
  event.kind = kind;
  event.time_ms = json.at("time_ms").get<int64_t>();
  event.process = ProcessOf(json);
  event.incarnation = Text(json, "incarnation");
  event.zone = Text(json, "zone");
  event.workspace = Text(json, "workspace");
  event.request = Text(json, "request");
  event.key_tag = Text(json, "key_tag");
  event.digest = json.contains("digest") ? Text(json, "digest") : Text(json, "answer_digest");
  event.outcome = Text(json, "outcome");
  event.error = Text(json, "kind");
  event.status = json.value("status", 0);
  event.job = Text(json, "job");
  event.state = Text(json, "state");
  event.reason = Text(json, "reason");
  event.attempt = json.value("attempt", int64_t{0});
  event.version = json.value("version", int64_t{0});
  event.tasks = json.value("tasks", 0);
  event.borrowed = json.value("borrowed", false);
  event.took_ms = json.value("took_ms", 0.0);
  event.waited_ms = json.value("waited_ms", 0.0);
  event.declared_ms = json.value("declared_ms", 0.0);
  event.zones_out = json.value("zones_out", std::vector<std::string>());
  return event;
}

}  // namespace

const char* HistoryEventName(HistoryEventKind kind) { return kNames.at(static_cast<size_t>(kind)); }

void AddHistoryLine(const std::string& place, std::string_view line, History* history) {
  if (line.empty()) return;
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object()) {
    ++history->unreadable;
    return;
  }
  try {
    const auto kind = KindFromName(json.value("event", std::string()));
    if (!kind) return;
    HistoryEvent event = EventFrom(json, *kind);
    event.place = place;
    event.text = line;
    history->events.push_back(std::move(event));
  } catch (const std::exception& error) {
    throw Error(ErrorKind::kInvalidInput, place + ": " + error.what());
  }
}

void ReadHistory(const std::string& name, std::istream* lines, History* history) {
  std::string line;
  for (int number = 1; std::getline(*lines, line); ++number) {
    AddHistoryLine(name + ":" + std::to_string(number), line, history);
  }
}

void SortHistory(History* history) {
  std::stable_sort(history->events.begin(), history->events.end(),
                   [](const HistoryEvent& left, const HistoryEvent& right) {
                     return left.time_ms < right.time_ms;
                   });
}

History ReadHistoryFiles(const std::vector<std::string>& files) {
  History history;
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) throw Error(ErrorKind::kInvalidInput, "can't read " + name);
    ReadHistory(name, &file, &history);
  }
  SortHistory(&history);
  return history;
}

}  // namespace turmericshift
